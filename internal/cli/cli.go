// Package cli implements the command line of yuccathread.
//
// Usage:
//
//	os.Exit(cli.Run(os.Args[1:], os.Stdout, os.Stderr))
package cli

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/yuccathread/yuccathread/internal/clock"
	"github.com/yuccathread/yuccathread/internal/decoder"
	"github.com/yuccathread/yuccathread/internal/demonstrator"
	"github.com/yuccathread/yuccathread/internal/model"
	"github.com/yuccathread/yuccathread/internal/runner"
	"github.com/yuccathread/yuccathread/internal/settings"
	"github.com/yuccathread/yuccathread/internal/versioner"
)

// Exit codes.
const (
	exitOK      = 0
	exitFailure = 1
	exitUsage   = 2
)

const (
	healthcheckTimeout = 2 * time.Second
	// memoryLimit is the soft memory limit of the Go runtime: the garbage
	// collector runs more often as memory use approaches it. It lies below the
	// 128 MB that an instance may use.
	memoryLimit = 112 << 20
)

const usage = `yuccathread steers work to upstreams across regions.

Usage:
  yuccathread -demo                      a small fleet in this process, for a demonstration
  yuccathread -settings FILE             an entry instance
  yuccathread -settings FILE -config-check
  yuccathread -settings FILE -config-dump
  yuccathread -settings FILE -healthcheck
  yuccathread -steer FILE                an entry instance on a managed platform
  yuccathread -steer FILE -config-check
  yuccathread -steer FILE -config-dump
  yuccathread -stand-in FILE             stand-ins for the platform and upstreams
  yuccathread -version

Flags:
`

const demoText = `A fleet of two entry instances in two regions is starting.

Try, from another terminal:
  yuccactl look-up -kind stock
  yuccactl send -kind stock -body 'magnetic core 55 mm?'
  yuccactl send -kind order -body '2 x magnetic core'
  yuccactl status
  yuccactl timeline -limit 20
  yuccactl load -kind catalogue -rate 500 -duration 5s
Stop with Ctrl-C.

`

// command holds the parsed flags and the output streams.
type command struct {
	settings    string
	steer       string
	standIn     string
	demo        bool
	configCheck bool
	configDump  bool
	healthcheck bool
	version     bool

	stdout io.Writer
	stderr io.Writer

	// stopRequested is done once SIGINT or SIGTERM has come; later ones change nothing.
	stopRequested context.Context
}

// Run executes a command line and returns its exit code.
func Run(arguments []string, stdout, stderr io.Writer) int {
	c := &command{stdout: stdout, stderr: stderr}
	flags := flag.NewFlagSet("yuccathread", flag.ContinueOnError)
	flags.SetOutput(stderr)
	flags.Usage = func() {
		fmt.Fprint(stderr, usage)
		flags.PrintDefaults()
	}
	flags.StringVar(&c.settings, "settings", "", "`file` with the settings, JSON with comments")
	flags.StringVar(&c.steer, "steer", "", "run on a managed platform with the settings in a `file`, JSON with comments")
	flags.StringVar(&c.standIn, "stand-in", "", "run the stand-ins (simulated platform and upstreams) that a `file` describes")
	flags.BoolVar(&c.demo, "demo", false, "run a demonstration fleet in this process")
	flags.BoolVar(&c.configCheck, "config-check", false, "check the settings and print every finding")
	flags.BoolVar(&c.configDump, "config-dump", false, "print the settings in force, defaults included")
	flags.BoolVar(&c.healthcheck, "healthcheck", false, "ask the running instance whether it is ready")
	flags.BoolVar(&c.version, "version", false, "print the version")
	if err := flags.Parse(arguments); err != nil {
		if errors.Is(err, flag.ErrHelp) {
			return exitOK
		}
		return exitUsage
	}
	if flags.NArg() > 0 {
		fmt.Fprintf(stderr, "yuccathread: unexpected argument %q\n", flags.Arg(0))
		return exitUsage
	}
	return c.run()
}

func (c *command) run() int {
	// A signal ends the process until it is caught, so this comes before all else.
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	c.stopRequested = ctx
	switch {
	case c.version:
		fmt.Fprintln(c.stdout, versioner.Versioner{Program: "yuccathread"})
		return exitOK
	case c.demo:
		fmt.Fprint(c.stdout, demoText)
		demo := demonstrator.Demonstrator{Clock: clock.System(), Logger: c.logger("warn")}
		return c.runUntilSignal(demo.Run)
	case c.standIn != "":
		return c.runStandIns()
	case c.steer != "":
		return c.runSteering()
	case c.settings == "" && c.configDump:
		var l settings.Loader
		return c.printValue(l.Defaults())
	case c.settings == "":
		fmt.Fprintln(c.stderr, "yuccathread: no settings file given; use -settings FILE, or try -demo")
		return exitUsage
	}
	return c.runWithSettings()
}

func (c *command) runWithSettings() int {
	l := settings.Loader{File: c.settings}
	s, err := l.Load()
	if err != nil {
		return c.fail(err)
	}
	switch {
	case c.configCheck:
		fmt.Fprintf(c.stdout, "%s: no findings\n", c.settings)
		return exitOK
	case c.configDump:
		return c.printValue(s)
	case c.healthcheck:
		return c.checkHealth(s)
	}
	debug.SetMemoryLimit(memoryLimit)
	logger := c.logger(s.LogLevel).With("instance", s.Instance, "failure_domain", s.FailureDomain)
	r := runner.Runner{Settings: s, Clock: clock.System(), Logger: logger}
	return c.runUntilSignal(r.Run)
}

func (c *command) runStandIns() int {
	data, err := os.ReadFile(c.standIn)
	if err != nil {
		return c.fail(fmt.Errorf("read stand-ins: %w", err))
	}
	var standIns model.StandIns
	d := decoder.Decoder{File: c.standIn}
	if findings := d.Decode(data, &standIns); len(findings) > 0 {
		return c.fail(&model.FindingsError{Findings: findings})
	}
	demo := demonstrator.Demonstrator{Clock: clock.System(), Logger: c.logger("warn")}
	return c.runUntilSignal(func(ctx context.Context) error { return demo.RunStandIns(ctx, standIns) })
}

// runUntilSignal calls run with a context that SIGINT and SIGTERM cancel, and
// returns the exit code.
func (c *command) runUntilSignal(run func(context.Context) error) int {
	if err := run(c.stopRequested); err != nil {
		return c.fail(err)
	}
	return exitOK
}

func (c *command) logger(level string) *slog.Logger {
	var l slog.Level
	if err := l.UnmarshalText([]byte(level)); err != nil {
		l = slog.LevelInfo
	}
	return slog.New(slog.NewJSONHandler(c.stderr, &slog.HandlerOptions{Level: l}))
}

func (c *command) checkHealth(s model.Settings) int {
	client := http.Client{Timeout: healthcheckTimeout}
	response, err := client.Get("http://" + s.Address + "/readyz")
	if err != nil {
		return c.fail(err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		fmt.Fprintln(c.stderr, "yuccathread: not ready")
		return exitFailure
	}
	fmt.Fprintln(c.stdout, "ready")
	return exitOK
}

func (c *command) fail(err error) int {
	fmt.Fprintln(c.stderr, err)
	return exitFailure
}
