// Command buckthornport-fleet runs one proxy on the users' platform. It is a program of its own because memory is dear there:
// it holds neither the SQL grammar nor the stand-ins.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/alecthomas/kong"
	"github.com/gravitational/trace"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"buckthornport.example/buckthornport/internal/fleet"
	"buckthornport.example/buckthornport/internal/logsink"
	"buckthornport.example/buckthornport/internal/settings"
)

const (
	// gcPercent trades a little processor time for a small heap, since memory at its peak is what the platform charges for.
	gcPercent = 40
	// memoryLimitBytes is the heap above which the collector works harder, in bytes.
	memoryLimitBytes = 24 << 20
	// settingsPollInterval is the time between looks at the settings file, which may change without a signal.
	settingsPollInterval = 10 * time.Second
)

type cli struct {
	Settings string `env:"BUCKTHORNPORT_SETTINGS" required:"" type:"path" help:"Settings file, JSON with comments."`
	Check    bool   `help:"Check the settings and exit."`
}

func main() {
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(memoryLimitBytes)
	var c cli
	kong.Parse(&c, kong.Name("buckthornport-fleet"), kong.Description("One proxy on the users' platform."))
	if err := c.run(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func (c cli) run() error {
	source, err := os.ReadFile(c.Settings)
	if err != nil {
		return trace.ConvertSystemError(err)
	}
	s, err := settings.ParseFleetNode(c.Settings, source)
	if err != nil || c.Check {
		return err
	}
	level, err := zap.ParseAtomicLevel(s.LogLevel)
	if err != nil {
		return trace.Wrap(err)
	}
	sink := logsink.New(os.Stdout)
	log := newLogger(sink, level)
	defer func() { _ = log.Sync() }()
	n, err := fleet.New(context.Background(), s, fleet.WithLogger(log.With(zap.String("node", s.Node)), level),
		fleet.WithDroppedLogLines(func() uint64 {
			_, dropped := sink.Counts()
			return dropped
		}))
	if err != nil {
		return trace.Wrap(err)
	}
	go drainOnSignal(n)
	go c.reloadOnSignal(n)
	return n.Run()
}

// drainOnSignal drains the node on the first signal and stops it at once on the second.
func drainOnSignal(n *fleet.Node) {
	c := make(chan os.Signal, 2)
	signal.Notify(c, syscall.SIGINT, syscall.SIGTERM)
	<-c
	go n.Drain()
	<-c
	n.Stop()
}

// reloadOnSignal reads the settings again on SIGHUP, and when the file has changed without one.
func (c cli) reloadOnSignal(n *fleet.Node) {
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	look := time.NewTicker(settingsPollInterval)
	for {
		select {
		case <-hup:
		case <-look.C:
		}
		source, err := os.ReadFile(c.Settings)
		if err == nil {
			err = n.Reload(c.Settings, source)
		}
		n.ReportReloadError(err)
	}
}

// newLogger returns a logger that writes JSON lines to a sink that never blocks.
func newLogger(sink zapcore.WriteSyncer, level zap.AtomicLevel) *zap.Logger {
	cfg := zap.NewProductionEncoderConfig()
	cfg.TimeKey = "time"
	cfg.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	return zap.New(zapcore.NewCore(zapcore.NewJSONEncoder(cfg), sink, level))
}
