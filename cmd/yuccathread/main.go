// Command yuccathread runs an entry instance.
package main

import (
	"os"

	"github.com/yuccathread/yuccathread/internal/cli"
)

func main() {
	os.Exit(cli.Run(os.Args[1:], os.Stdout, os.Stderr))
}
