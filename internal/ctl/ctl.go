// Package ctl is the command line of operators and callers, yuccactl.
//
// Usage:
//
//	os.Exit(ctl.Parse(os.Args[1:], os.Stdin, os.Stdout, os.Stderr))
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
)

// Exit codes.
const (
	exitOK      = 0
	exitFailure = 1
	exitUsage   = 2
)

const help = `yuccactl asks entry instances.

Usage: yuccactl COMMAND [FLAGS]

Commands for callers:
  look-up     which instances to use
  ticket      an idempotency key for once-only work
  send        send work and print the answer
  load        send work at a steady rate and print latencies

Commands for operators:
  show        the configuration in force
  check       check a configuration file; nothing is sent
  patch       apply a JSON Patch, or a whole file, to a numbered version
  wait        wait until a version is in force everywhere
  status      the instances and their view of the fleet
  timeline    decisions of all instances, in causal order

Every command takes -entry ADDRESS (or YUCCATHREAD_ENTRY) and -json.
'yuccactl COMMAND -help' lists the flags of a command.
`

const (
	defaultEntry = "127.0.0.1:8080"
	callTimeout  = 10 * time.Second
)

// tool is one run of the command line.
type tool struct {
	in  io.Reader
	out io.Writer
	err io.Writer

	entry string
	json  bool
	flags *flag.FlagSet
	http  *http.Client
}

// subcommand is a command with its flags.
type subcommand struct {
	name string
	// prepare defines flags and returns what runs after they are parsed.
	prepare func(*tool) func(context.Context) error
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
	}
}

// Parse runs a command line and returns the exit code.
func Parse(arguments []string, in io.Reader, out, err io.Writer) int {
	if len(arguments) == 0 {
		fmt.Fprint(err, help)
		return exitUsage
	}
	name := arguments[0]
	if name == "help" || name == "-h" || name == "-help" || name == "--help" {
		fmt.Fprint(out, help)
		return exitOK
	}
	for _, s := range subcommands() {
		if s.name == name {
			t := &tool{in: in, out: out, err: err, http: newHTTPClient()}
			return t.run(s, arguments[1:])
		}
	}
	fmt.Fprintf(err, "yuccactl: no command %q\n\n%s", name, help)
	return exitUsage
}

func newHTTPClient() *http.Client {
	const idle = 1024
	return &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: idle}}
}

func (t *tool) run(s subcommand, arguments []string) int {
	t.flags = flag.NewFlagSet("yuccactl "+s.name, flag.ContinueOnError)
	t.flags.SetOutput(t.err)
	entry := os.Getenv("YUCCATHREAD_ENTRY")
	if entry == "" {
		entry = defaultEntry
	}
	t.flags.StringVar(&t.entry, "entry", entry, "`address` of any entry instance")
	t.flags.BoolVar(&t.json, "json", false, "print JSON")
	run := s.prepare(t)
	if err := t.flags.Parse(arguments); err != nil {
		if errors.Is(err, flag.ErrHelp) {
			return exitOK
		}
		return exitUsage
	}
	if t.flags.NArg() > 0 {
		fmt.Fprintf(t.err, "yuccactl: unexpected argument %q\n", t.flags.Arg(0))
		return exitUsage
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	if err := run(ctx); err != nil {
		t.printError(err)
		return exitFailure
	}
	return exitOK
}

func (t *tool) client(address string) (*api.Client, error) {
	return api.NewClient("http://"+address, api.WithClient(t.http))
}

// printError prints a problem with everything that an operator needs to act.
func (t *tool) printError(err error) {
	p, ok := errors.AsType[*api.ProblemStatusCode](err)
	if !ok {
		fmt.Fprintln(t.err, "yuccactl:", err)
		return
	}
	if t.json {
		t.print(&p.Response)
		return
	}
	fmt.Fprintf(t.err, "yuccactl: %s (%s): %s\n", p.Response.Code, p.Response.Outcome, p.Response.Message)
	for _, f := range p.Response.Findings {
		fmt.Fprintf(t.err, "  %d:%d %s: %s\n", f.Line.Value, f.Column.Value, f.Field, f.Message)
	}
	for _, c := range p.Response.Conflicts {
		fmt.Fprintf(t.err, "  version %d by %s changed %v\n", c.Version, c.Author, c.Paths)
	}
}

func (t *tool) print(value any) {
	encoder := json.NewEncoder(t.out)
	encoder.SetIndent("", "  ")
	if err := encoder.Encode(value); err != nil {
		fmt.Fprintln(t.err, "yuccactl:", err)
	}
}

func bounded(ctx context.Context) (context.Context, context.CancelFunc) {
	return context.WithTimeout(ctx, callTimeout)
}
