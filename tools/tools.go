// Package tools pins the code generators, so that the product's own module
// stays small.
//
// Usage:
//
//	cd tools && go run github.com/ogen-go/ogen/cmd/ogen ...
//
// `make generate` at the root does this with the right arguments.
package tools

import _ "github.com/ogen-go/ogen" // Keeps the generator's version in go.mod.
