// Command yuccactl is the command-line tool of operators and callers.
package main

import (
	"os"

	"github.com/yuccathread/yuccathread/internal/ctl"
)

func main() {
	os.Exit(ctl.Run(os.Args[1:], os.Stdin, os.Stdout, os.Stderr))
}
