package cli

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/yuccathread/yuccathread/internal/clock"
	"github.com/yuccathread/yuccathread/internal/launcher"
	"github.com/yuccathread/yuccathread/internal/preparer"
	"github.com/yuccathread/yuccathread/internal/spooler"
	"github.com/yuccathread/yuccathread/internal/traffic"
	"github.com/yuccathread/yuccathread/platform"
)

const (
	// logQueueLines bounds the log lines that wait to be written.
	logQueueLines = 4096
	// memoryPercent of the process's bound is where the collector works harder.
	memoryPercent = 70
	// reloadInterval is the time between two looks at the settings file.
	reloadInterval = 2 * time.Second
)

// runSteering runs an instance on a managed platform.
func (c *command) runSteering() int {
	// A hang-up may come at any moment; before this call it would end the process.
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	p := preparer.Preparer{File: c.steer}
	s, err := p.Load()
	if err != nil {
		return c.fail(err)
	}
	switch {
	case c.configCheck:
		fmt.Fprintf(c.out, "%s: no findings\n", c.steer)
		return exitOK
	case c.configDump:
		return c.printValue(s)
	}
	debug.SetMemoryLimit(s.MemoryMB << 20 * memoryPercent / 100)
	spool := &spooler.Spooler{Writer: c.out, Lines: logQueueLines}
	defer spool.Close()
	logger := steeringLogger(spool, s)
	reload := make(chan traffic.Settings)
	go watchSettings(&p, hangups, reload, logger)
	l := launcher.Launcher{
		Settings:   s,
		Store:      &platform.Store{Address: s.StoreAddress},
		Codec:      platform.Codec{},
		ReadyPath:  platform.ReadyPath,
		LookUpPath: platform.LookUpPath,
		Clock:      clock.System(),
		Logger:     logger,
		Reload:     reload,
	}
	return c.until(func(ctx context.Context) error {
		err := l.Run(ctx)
		if err != nil {
			logger.Error("ended", "error", err.Error())
		}
		return err
	})
}

func steeringLogger(spool *spooler.Spooler, s traffic.Settings) *slog.Logger {
	var level slog.Level
	if err := level.UnmarshalText([]byte(s.LogLevel)); err != nil {
		level = slog.LevelInfo
	}
	handler := slog.NewJSONHandler(spool, &slog.HandlerOptions{Level: level})
	return slog.New(handler).With("instance", s.Instance, "failure_domain", s.Domain)
}

// watchSettings reloads the settings on SIGHUP and when the file has changed.
// Settings with findings are logged and left alone.
func watchSettings(p *preparer.Preparer, hangups <-chan os.Signal, reload chan<- traffic.Settings, logger *slog.Logger) {
	ticker := time.NewTicker(reloadInterval)
	defer ticker.Stop()
	last := modified(p.File)
	for {
		select {
		case <-hangups:
		case <-ticker.C:
			if at := modified(p.File); at.Equal(last) {
				continue
			}
		}
		last = modified(p.File)
		s, err := p.Load()
		if err != nil {
			logger.Error("settings not reloaded", "error", err.Error())
			continue
		}
		reload <- s
	}
}

func modified(file string) time.Time {
	info, err := os.Stat(file)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}

func (c *command) printValue(value any) int {
	encoder := json.NewEncoder(c.out)
	encoder.SetIndent("", "  ")
	if err := encoder.Encode(value); err != nil {
		return c.fail(err)
	}
	return exitOK
}
