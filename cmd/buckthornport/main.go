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

// cli is the command line; each field is a command with its flags.
type cli struct {
	Proxy    proxyCommand    `cmd:"" help:"Run one proxy."`
	Demo     demoCommand     `cmd:"" help:"Run a whole deployment on loopback, to try things out."`
	Standin  standinCommand  `cmd:"" help:"Run a stand-in for something that the proxy talks to."`
	Settings settingsCommand `cmd:"" help:"Check settings files."`
	Bundle   bundleCommand   `cmd:"" help:"Work with bundles."`
	Status   statusCommand   `cmd:"" help:"Show nodes on one screen."`
	Audit    auditCommand    `cmd:"" help:"Read the audit trail."`
	Explain  explainCommand  `cmd:"" help:"Tell in plain sentences what happened."`
	Outcome  outcomeCommand  `cmd:"" help:"Settle what became of a request by its idempotency key."`
	Load     loadCommand     `cmd:"" help:"Play callers by a scenario, and count slow and wrong answers."`
	Capacity capacityCommand `cmd:"" help:"Print the tables of docs/CAPACITY.md from measured slopes."`
	Version  versionCommand  `cmd:"" help:"Print the version."`
}

// environment is what commands get besides their flags.
type environment struct {
	ctx context.Context
	// forceStop is closed by a forceStop signal, which asks to stop without waiting.
	forceStop <-chan struct{}
}

type versionCommand struct{}

// Run prints the module's version and revision.
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
	ctx, second := signals()
	if err := parser.Run(&environment{ctx: ctx, forceStop: second}); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// signals returns a context that the first SIGINT or SIGTERM ends, and a channel that the second closes.
func signals() (context.Context, <-chan struct{}) {
	ctx, stop := context.WithCancel(context.Background())
	second := make(chan struct{})
	c := make(chan os.Signal, 2)
	signal.Notify(c, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-c
		stop()
		<-c
		close(second)
	}()
	return ctx, second
}

// newLogger returns a logger that writes JSON lines to standard error.
func newLogger(level string) (*zap.Logger, error) {
	cfg := zap.NewProductionConfig()
	if err := cfg.Level.UnmarshalText([]byte(level)); err != nil {
		return nil, err
	}
	cfg.Sampling = nil
	cfg.DisableStacktrace = true
	cfg.EncoderConfig.TimeKey = "time"
	cfg.EncoderConfig.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	return cfg.Build()
}
