// Command yuccathread is an entry instance.
package main

import (
	"os"

	"github.com/yuccathread/yuccathread/internal/cli"
)

func main() {
	os.Exit(cli.Parse(os.Args[1:], os.Stdout, os.Stderr))
}
