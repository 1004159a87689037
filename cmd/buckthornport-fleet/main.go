// Command buckthornport-fleet runs one proxy on the users' platform. The platform charges for memory, so this is a separate
// program without the SQL grammar and the stand-ins.
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
	// gcPercent is below Go's default of 100: a smaller heap costs some processor time, and the platform charges for peak memory.
	gcPercent = 40
	// memoryLimitBytes is the least of the runtime's soft memory limit. The garbage collector runs more often as memory use approaches
	// it.
	memoryLimitBytes = 24 << 20
	// memoryLimitPercent is the part of the machine's memory at which the limit is set otherwise. The rest is for stacks and the
	// kernel.
	memoryLimitPercent = 50
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
	stop, reload := notify(syscall.SIGINT, syscall.SIGTERM), notify(syscall.SIGHUP)
	source, err := os.ReadFile(c.Settings)
	if err != nil {
		return trace.ConvertSystemError(err)
	}
	s, err := settings.ParseFleetNode(c.Settings, source)
	if err != nil || c.Check {
		return err
	}
	debug.SetMemoryLimit(max(memoryLimitBytes, int64(s.Memory())<<20/100*memoryLimitPercent))
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
	go drainOnSignal(n, stop)
	read := func() ([]byte, error) { return os.ReadFile(c.Settings) }
	go settings.Follow(n.Context(), source, read, reload, time.Tick(settings.PollInterval), func(source []byte, err error) {
		if err == nil {
			err = n.Reload(c.Settings, source)
		}
		n.ReportReloadError(err)
	})
	return n.Run()
}

// notify returns a channel that receives the given signals from now on. They no longer end the process, also while it starts.
func notify(signals ...os.Signal) <-chan os.Signal {
	c := make(chan os.Signal, 2)
	signal.Notify(c, signals...)
	return c
}

// drainOnSignal drains the node on the first signal. A further SIGINT stops it immediately; a further SIGTERM changes nothing, as
// whoever stops processes may send it more than once.
func drainOnSignal(n *fleet.Node, signals <-chan os.Signal) {
	<-signals
	go n.Drain()
	for s := range signals {
		if s == os.Interrupt {
			n.Stop()
			return
		}
	}
}

// newLogger returns a logger that writes JSON lines to sink, which must not block.
func newLogger(sink zapcore.WriteSyncer, level zap.AtomicLevel) *zap.Logger {
	cfg := zap.NewProductionEncoderConfig()
	cfg.TimeKey = "time"
	cfg.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	return zap.New(zapcore.NewCore(zapcore.NewJSONEncoder(cfg), sink, level))
}
