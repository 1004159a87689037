package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/alecthomas/kong"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// cli is the command line. Each field is a command.
type cli struct {
	Proxy    proxyCommand    `cmd:"" help:"Run one proxy."`
	Demo     demoCommand     `cmd:"" help:"Run a whole deployment on loopback, to try the proxy."`
	Standin  standinCommand  `cmd:"" help:"Run a stand-in for a database group or for the platform."`
	Settings settingsCommand `cmd:"" help:"Check settings files."`
	Bundle   bundleCommand   `cmd:"" help:"Create, check, sign and roll out bundles."`
	Status   statusCommand   `cmd:"" help:"Show the status of nodes in one table."`
	Audit    auditCommand    `cmd:"" help:"Read the audit trail."`
	Explain  explainCommand  `cmd:"" help:"Explain failovers, requests and configurations in plain sentences."`
	Route    routeCommand    `cmd:"" help:"Explain where a request would go now, without sending it."`
	Outcome  outcomeCommand  `cmd:"" help:"Resolve the outcome of a request by its idempotency key."`
	Load     loadCommand     `cmd:"" help:"Run a load scenario and report latencies and wrong answers."`
	Capacity capacityCommand `cmd:"" help:"Print the tables of docs/CAPACITY.md from measured data."`
	Version  versionCommand  `cmd:"" help:"Print the version."`
}

// environment holds the signals for the commands.
type environment struct {
	// ctx ends at the first SIGINT or SIGTERM, which asks for a graceful stop.
	ctx context.Context
	// forceStop is closed at a SIGINT after the first signal, which asks to stop without draining.
	forceStop <-chan struct{}
}

type versionCommand struct{}

// Run prints the version of the module and the revision that it was built from.
func (versionCommand) Run() error {
	version, revision := "unreleased", "unknown"
	if i, ok := debug.ReadBuildInfo(); ok {
		if i.Main.Version != "" {
			version = i.Main.Version
		}
		for _, s := range i.Settings {
			if s.Key == "vcs.revision" {
				revision = s.Value
			}
		}
	}
	_, err := fmt.Printf("buckthornport %s (%s)\n", version, revision)
	return err
}

func main() {
	var c cli
	parser := kong.Parse(&c, kong.Name("buckthornport"), kong.UsageOnError(),
		kong.Description("A database proxy with session consistency."))
	ctx, forceStop := signals()
	if err := parser.Run(&environment{ctx: ctx, forceStop: forceStop}); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// signals returns a context that ends at the first SIGINT or SIGTERM, and a channel that is closed at a further SIGINT. A further
// SIGTERM changes nothing, as whoever stops processes may send it more than once.
func signals() (context.Context, <-chan struct{}) {
	ctx, stop := context.WithCancel(context.Background())
	forceStop := make(chan struct{})
	c := make(chan os.Signal, 2)
	signal.Notify(c, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-c
		stop()
		for s := range c {
			if s == os.Interrupt {
				close(forceStop)
				return
			}
		}
	}()
	return ctx, forceStop
}

// newLogger returns a logger that writes JSON lines to standard error, and its level, which can be changed.
func newLogger(level string) (*zap.Logger, zap.AtomicLevel, error) {
	cfg := zap.NewProductionConfig()
	if err := cfg.Level.UnmarshalText([]byte(level)); err != nil {
		return nil, cfg.Level, err
	}
	cfg.Sampling = nil
	cfg.DisableStacktrace = true
	cfg.EncoderConfig.TimeKey = "time"
	cfg.EncoderConfig.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	log, err := cfg.Build()
	return log, cfg.Level, err
}
