.PHONY: crowds build test check generate tools bench

build:
	go build -o bin/ ./cmd/...

test:
	go test ./...

# Formatter and linter, as CI runs them.
check:
	golangci-lint fmt --diff
	golangci-lint run ./...

generate:
	cd tools && go tool ogen --config ../ogen.yaml --target ../internal/api --package api --clean ../api/openapi.yaml

tools:
	go install github.com/golangci/golangci-lint/v2/cmd/golangci-lint@v2.15.0

bench:
	go test -run '^$$' -bench . -benchmem ./internal/...

crowds:
	go test -tags crowds -count=1 -p 1 -run Crowd ./platform
