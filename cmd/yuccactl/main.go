// Command yuccactl is the command line of operators and callers.
package main

import (
	"os"

	"github.com/yuccathread/yuccathread/internal/ctl"
)

func main() {
	os.Exit(ctl.Parse(os.Args[1:], os.Stdin, os.Stdout, os.Stderr))
}
