// Package versioner says which version of a program runs.
//
// Usage:
//
//	v := versioner.Versioner{Program: "yuccactl"}
//	fmt.Println(v.String())   // yuccactl 0.1.0 go1.26.0 linux/amd64
package versioner

import (
	"fmt"
	"runtime"
)

// version is the version of all programs.
const version = "0.1.0"

// Versioner describes the version of one program.
type Versioner struct {
	Program string
}

// String returns the program's name and version, and those of its toolchain and platform.
func (v Versioner) String() string {
	return fmt.Sprintf("%s %s %s %s/%s", v.Program, version, runtime.Version(), runtime.GOOS, runtime.GOARCH)
}
