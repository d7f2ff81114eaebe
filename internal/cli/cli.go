// Package cli is the command line of yuccathread.
//
// Usage:
//
//	os.Exit(cli.Parse(os.Args[1:], os.Stdout, os.Stderr))
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
	"runtime"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/yuccathread/yuccathread/internal/clock"
	"github.com/yuccathread/yuccathread/internal/decoder"
	"github.com/yuccathread/yuccathread/internal/demonstrator"
	"github.com/yuccathread/yuccathread/internal/model"
	"github.com/yuccathread/yuccathread/internal/runner"
	"github.com/yuccathread/yuccathread/internal/settings"
)

// Exit codes.
const (
	exitOK      = 0
	exitFailure = 1
	exitUsage   = 2
)

// Version is the program's version.
const Version = "0.1.0"

const (
	healthTimeout = 2 * time.Second
	// memoryLimit makes the collector work harder before a daemon's bound of
	// 128 MB is reached.
	memoryLimit = 112 << 20
)

const help = `yuccathread steers work to upstreams across regions.

Usage:
  yuccathread -demo                      a whole small fleet in this process
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

// command is a parsed command line.
type command struct {
	settings    string
	steer       string
	standIn     string
	demo        bool
	configCheck bool
	configDump  bool
	healthcheck bool
	version     bool

	out io.Writer
	err io.Writer
}

// Parse runs a command line and returns the exit code.
func Parse(arguments []string, out, err io.Writer) int {
	c := &command{out: out, err: err}
	flags := flag.NewFlagSet("yuccathread", flag.ContinueOnError)
	flags.SetOutput(err)
	flags.Usage = func() {
		fmt.Fprint(err, help)
		flags.PrintDefaults()
	}
	flags.StringVar(&c.settings, "settings", "", "`file` with the settings, JSON with comments")
	flags.StringVar(&c.steer, "steer", "", "run on a managed platform with the settings in a `file`, JSON with comments")
	flags.StringVar(&c.standIn, "stand-in", "", "run the stand-ins that a `file` describes")
	flags.BoolVar(&c.demo, "demo", false, "run a demonstration")
	flags.BoolVar(&c.configCheck, "config-check", false, "check the settings and print every finding")
	flags.BoolVar(&c.configDump, "config-dump", false, "print the settings in force, defaults included")
	flags.BoolVar(&c.healthcheck, "healthcheck", false, "ask the running instance whether it is ready")
	flags.BoolVar(&c.version, "version", false, "print the version")
	if parseErr := flags.Parse(arguments); parseErr != nil {
		if errors.Is(parseErr, flag.ErrHelp) {
			return exitOK
		}
		return exitUsage
	}
	if flags.NArg() > 0 {
		fmt.Fprintf(err, "yuccathread: unexpected argument %q\n", flags.Arg(0))
		return exitUsage
	}
	return c.run()
}

func (c *command) run() int {
	switch {
	case c.version:
		fmt.Fprintf(c.out, "yuccathread %s %s %s/%s\n", Version, runtime.Version(), runtime.GOOS, runtime.GOARCH)
		return exitOK
	case c.demo:
		fmt.Fprint(c.out, demoText)
		d := demonstrator.Demonstrator{Clock: clock.System(), Logger: c.logger("warn")}
		return c.until(d.Run)
	case c.standIn != "":
		return c.runStandIns()
	case c.steer != "":
		return c.runSteering()
	case c.settings == "" && c.configDump:
		var l settings.Loader
		return c.printValue(l.Defaults())
	case c.settings == "":
		fmt.Fprintln(c.err, "yuccathread: name a settings file with -settings, or try -demo")
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
		fmt.Fprintf(c.out, "%s: no findings\n", c.settings)
		return exitOK
	case c.configDump:
		return c.printValue(s)
	case c.healthcheck:
		return c.askHealth(s)
	}
	debug.SetMemoryLimit(memoryLimit)
	logger := c.logger(s.LogLevel).With("instance", s.Instance, "failure_domain", s.FailureDomain)
	r := runner.Runner{Settings: s, Clock: clock.System(), Logger: logger}
	return c.until(r.Run)
}

func (c *command) runStandIns() int {
	data, err := os.ReadFile(c.standIn)
	if err != nil {
		return c.fail(fmt.Errorf("cli: %w", err))
	}
	var s model.StandIns
	d := decoder.Decoder{File: c.standIn}
	if findings := d.Decode(data, &s); len(findings) > 0 {
		return c.fail(&model.FindingsError{Findings: findings})
	}
	demo := demonstrator.Demonstrator{Clock: clock.System(), Logger: c.logger("warn")}
	return c.until(func(ctx context.Context) error { return demo.RunStandIns(ctx, s) })
}

// until runs a function until it ends or the process is told to stop.
func (c *command) until(run func(context.Context) error) int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	if err := run(ctx); err != nil {
		return c.fail(err)
	}
	return exitOK
}

func (c *command) logger(level string) *slog.Logger {
	var l slog.Level
	if err := l.UnmarshalText([]byte(level)); err != nil {
		l = slog.LevelInfo
	}
	return slog.New(slog.NewJSONHandler(c.err, &slog.HandlerOptions{Level: l}))
}

func (c *command) askHealth(s model.Settings) int {
	client := http.Client{Timeout: healthTimeout}
	response, err := client.Get("http://" + s.Address + "/readyz")
	if err != nil {
		return c.fail(err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		fmt.Fprintln(c.err, "yuccathread: not ready")
		return exitFailure
	}
	fmt.Fprintln(c.out, "ready")
	return exitOK
}

func (c *command) fail(err error) int {
	fmt.Fprintln(c.err, err)
	return exitFailure
}
