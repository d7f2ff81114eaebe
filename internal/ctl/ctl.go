// Package ctl implements yuccactl, the command-line tool of operators and callers.
//
// Usage:
//
//	os.Exit(ctl.Run(os.Args[1:], os.Stdin, os.Stdout, os.Stderr))
package ctl

import (
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/yuccathread/yuccathread/internal/api"
	"github.com/yuccathread/yuccathread/internal/versioner"
)

// Exit codes.
const (
	exitOK      = 0
	exitFailure = 1
	exitUsage   = 2
)

const usage = `yuccactl sends requests to entry instances.

Usage: yuccactl COMMAND [FLAGS]
       yuccactl -version

Commands for callers:
  look-up     which instances to use
  ticket      an idempotency key for once-only work
  send        send work and print the answer
  load        send work at a steady rate and print latencies

Commands for operators:
  show        the configuration in force
  check       check a configuration file; nothing is sent
  patch       apply a JSON Patch, or a whole file, to a given version
  wait        wait until a version is in force everywhere
  status      the instances and their view of the fleet
  timeline    decisions of all instances, in causal order
  explain     where a request would go now, and why, on a managed platform

Every command takes -entry ADDRESS (or YUCCATHREAD_ENTRY) and -json.
'yuccactl COMMAND -help' lists the flags of a command.
`

const (
	defaultEntry = "127.0.0.1:8080"
	callTimeout  = 10 * time.Second
)

// invocation holds the state of one yuccactl run: its standard streams, the
// flags that every command has, and the HTTP client.
type invocation struct {
	stdin  io.Reader
	stdout io.Writer
	stderr io.Writer

	entry string
	json  bool
	flags *flag.FlagSet
	http  *http.Client
}

// subcommand is one command of yuccactl, such as look-up.
type subcommand struct {
	name string
	// prepare registers the flags of the command and returns the function that
	// runs it once they are parsed.
	prepare func(*invocation) func(context.Context) error
}

func subcommands() []subcommand {
	return []subcommand{
		{"look-up", prepareLookUp},
		{"ticket", prepareTicket},
		{"send", prepareSend},
		{"load", prepareLoad},
		{"show", prepareShow},
		{"check", prepareCheck},
		{"patch", preparePatch},
		{"wait", prepareWait},
		{"status", prepareStatus},
		{"timeline", prepareTimeline},
		{"explain", prepareExplain},
	}
}

// Run executes a command line and returns its exit code.
func Run(arguments []string, stdin io.Reader, stdout, stderr io.Writer) int {
	if len(arguments) == 0 {
		fmt.Fprint(stderr, usage)
		return exitUsage
	}
	name := arguments[0]
	if name == "help" || name == "-h" || name == "-help" || name == "--help" {
		fmt.Fprint(stdout, usage)
		return exitOK
	}
	if name == "version" || name == "-version" || name == "--version" {
		fmt.Fprintln(stdout, versioner.Versioner{Program: "yuccactl"})
		return exitOK
	}
	for _, command := range subcommands() {
		if command.name == name {
			inv := &invocation{stdin: stdin, stdout: stdout, stderr: stderr, http: newHTTPClient()}
			return inv.run(command, arguments[1:])
		}
	}
	fmt.Fprintf(stderr, "yuccactl: unknown command %q\n\n%s", name, usage)
	return exitUsage
}

func newHTTPClient() *http.Client {
	const maxIdleConnections = 1024
	return &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: maxIdleConnections}}
}

func (inv *invocation) run(command subcommand, arguments []string) int {
	inv.flags = flag.NewFlagSet("yuccactl "+command.name, flag.ContinueOnError)
	inv.flags.SetOutput(inv.stderr)
	entry := os.Getenv("YUCCATHREAD_ENTRY")
	if entry == "" {
		entry = defaultEntry
	}
	inv.flags.StringVar(&inv.entry, "entry", entry, "`address` of any entry instance")
	inv.flags.BoolVar(&inv.json, "json", false, "print JSON")
	run := command.prepare(inv)
	if err := inv.flags.Parse(arguments); err != nil {
		if errors.Is(err, flag.ErrHelp) {
			return exitOK
		}
		return exitUsage
	}
	if inv.flags.NArg() > 0 {
		fmt.Fprintf(inv.stderr, "yuccactl: unexpected argument %q\n", inv.flags.Arg(0))
		return exitUsage
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	if err := run(ctx); err != nil {
		inv.printError(err)
		return exitFailure
	}
	return exitOK
}

func (inv *invocation) client(address string) (*api.Client, error) {
	return api.NewClient("http://"+address, api.WithClient(inv.http))
}

// printError prints an error. For a problem reported by the API it adds the
// findings and conflicts that an operator needs to correct the request.
func (inv *invocation) printError(err error) {
	problem, ok := errors.AsType[*api.ProblemStatusCode](err)
	if !ok {
		fmt.Fprintln(inv.stderr, "yuccactl:", err)
		return
	}
	if inv.json {
		inv.printJSON(&problem.Response)
		return
	}
	fmt.Fprintf(inv.stderr, "yuccactl: %s (%s): %s\n", problem.Response.Code, problem.Response.Outcome, problem.Response.Message)
	for _, finding := range problem.Response.Findings {
		fmt.Fprintf(inv.stderr, "  %d:%d %s: %s\n", finding.Line.Value, finding.Column.Value, finding.Field, finding.Message)
	}
	for _, conflict := range problem.Response.Conflicts {
		fmt.Fprintf(inv.stderr, "  version %d by %s changed %v\n", conflict.Version, conflict.Author, conflict.Paths)
	}
}

func (inv *invocation) printJSON(value any) {
	encoder := json.NewEncoder(inv.stdout)
	encoder.SetIndent("", "  ")
	if err := encoder.Encode(value); err != nil {
		fmt.Fprintln(inv.stderr, "yuccactl:", err)
	}
}

func withCallTimeout(ctx context.Context) (context.Context, context.CancelFunc) {
	return context.WithTimeout(ctx, callTimeout)
}
