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
	// logQueueLines is the maximum number of log lines waiting to be written.
	logQueueLines = 4096
	// memoryLimitPercent is the soft memory limit of the Go runtime, as a percentage
	// of the memory that the settings allow the process. The garbage collector
	// runs more often as memory use approaches it.
	memoryLimitPercent = 70
	// reloadInterval is how often the settings file is checked for changes.
	reloadInterval = 2 * time.Second
)

// runSteering runs an instance on a managed platform.
func (c *command) runSteering() int {
	// SIGHUP ends the process until it is caught, so this comes before the
	// settings are loaded.
	sighup := make(chan os.Signal, 1)
	signal.Notify(sighup, syscall.SIGHUP)
	p := preparer.Preparer{File: c.steer}
	s, err := p.Load()
	if err != nil {
		return c.fail(err)
	}
	switch {
	case c.configCheck:
		fmt.Fprintf(c.stdout, "%s: no findings\n", c.steer)
		return exitOK
	case c.configDump:
		return c.printValue(s)
	}
	debug.SetMemoryLimit(s.MemoryMB << 20 * memoryLimitPercent / 100)
	logWriter := &spooler.Spooler{Writer: c.stdout, Lines: logQueueLines}
	defer logWriter.Close()
	logger := newSteeringLogger(logWriter, s)
	reload := make(chan traffic.Settings)
	go watchSettings(&p, sighup, reload, logger)
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
	return c.runUntilSignal(func(ctx context.Context) error {
		err := l.Run(ctx)
		if err != nil {
			logger.Error("ended", "error", err.Error())
		}
		return err
	})
}

func newSteeringLogger(logWriter *spooler.Spooler, s traffic.Settings) *slog.Logger {
	var level slog.Level
	if err := level.UnmarshalText([]byte(s.LogLevel)); err != nil {
		level = slog.LevelInfo
	}
	handler := slog.NewJSONHandler(logWriter, &slog.HandlerOptions{Level: level})
	return slog.New(handler).With("instance", s.Instance, "failure_domain", s.Domain)
}

// watchSettings reloads the settings on SIGHUP and when the file has changed.
// If the new settings cannot be loaded, it logs the error and keeps those in
// force.
func watchSettings(p *preparer.Preparer, sighup <-chan os.Signal, reload chan<- traffic.Settings, logger *slog.Logger) {
	ticker := time.NewTicker(reloadInterval)
	defer ticker.Stop()
	lastModified := modificationTime(p.File)
	for {
		select {
		case <-sighup:
		case <-ticker.C:
			if current := modificationTime(p.File); current.Equal(lastModified) {
				continue
			}
		}
		lastModified = modificationTime(p.File)
		s, err := p.Load()
		if err != nil {
			logger.Error("settings not reloaded", "error", err.Error())
			continue
		}
		reload <- s
	}
}

func modificationTime(file string) time.Time {
	info, err := os.Stat(file)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}

func (c *command) printValue(value any) int {
	encoder := json.NewEncoder(c.stdout)
	encoder.SetIndent("", "  ")
	if err := encoder.Encode(value); err != nil {
		return c.fail(err)
	}
	return exitOK
}
