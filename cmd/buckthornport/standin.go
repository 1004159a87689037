package main

import (
	"context"
	"errors"
	"net/http"
	"os"

	"github.com/gravitational/trace"
	"github.com/oklog/run"
	"go.uber.org/zap"

	"buckthornport.example/buckthornport/internal/settings"
	"buckthornport.example/buckthornport/internal/standin/group"
	"buckthornport.example/buckthornport/internal/standin/platform"
	"buckthornport.example/buckthornport/pkg/bundle"
)

type standinCommand struct {
	Group    standinGroupCommand    `cmd:"" help:"Run the three servers of a database group."`
	Platform standinPlatformCommand `cmd:"" help:"Run the platform's table service, object store and VM list."`
}

// settingsCheckers holds the function that checks each kind of file.
var settingsCheckers = map[string]func(file string, source []byte) error{
	"proxy":    func(f string, s []byte) error { _, err := settings.ParseProxy(f, s); return err },
	"group":    func(f string, s []byte) error { _, err := group.ParseSettings(f, s); return err },
	"platform": func(f string, s []byte) error { _, err := platform.ParseSettings(f, s); return err },
	"bundle":   func(f string, s []byte) error { _, err := bundle.Parse(f, s); return err },
}

type standinGroupCommand struct {
	Settings string `required:"" type:"path" help:"Settings file, JSON with comments."`
}

// Run runs the servers and the admin interface of a database group until a signal.
func (c standinGroupCommand) Run(env *environment) error {
	source, err := os.ReadFile(c.Settings)
	if err != nil {
		return trace.ConvertSystemError(err)
	}
	s, err := group.ParseSettings(c.Settings, source)
	if err != nil {
		return err
	}
	g, err := group.New(env.ctx, s)
	if err != nil {
		return trace.Wrap(err)
	}
	var rg run.Group
	addActor(&rg, env.ctx, g.Run)
	if s.Admin != "" {
		addHTTPServer(&rg, s.Admin, g.Handler())
	}
	return logReadyAndRun(&rg, "group stand-in", s.Servers[0].Address)
}

type standinPlatformCommand struct {
	Settings string `required:"" type:"path" help:"Settings file, JSON with comments."`
}

// Run serves the platform's HTTP interfaces until a signal.
func (c standinPlatformCommand) Run(env *environment) error {
	source, err := os.ReadFile(c.Settings)
	if err != nil {
		return trace.ConvertSystemError(err)
	}
	s, err := platform.ParseSettings(c.Settings, source)
	if err != nil {
		return err
	}
	var rg run.Group
	addActor(&rg, env.ctx, func(ctx context.Context) error { <-ctx.Done(); return ctx.Err() })
	addHTTPServer(&rg, s.Listen, platform.New(s).Handler())
	return logReadyAndRun(&rg, "platform stand-in", s.Listen)
}

// addActor adds a function that runs until the run group cancels its context.
func addActor(rg *run.Group, parent context.Context, f func(ctx context.Context) error) {
	ctx, stop := context.WithCancel(parent)
	rg.Add(func() error { return f(ctx) }, func(error) { stop() })
}

// addHTTPServer adds an HTTP server that listens on an address.
func addHTTPServer(rg *run.Group, address string, h http.Handler) {
	srv := &http.Server{Addr: address, Handler: h, ReadHeaderTimeout: readHeaderTimeout}
	rg.Add(func() error {
		if err := srv.ListenAndServe(); !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		return nil
	}, func(error) { _ = srv.Close() })
}

// logReadyAndRun logs that the stand-in is ready and runs the group.
func logReadyAndRun(rg *run.Group, what, address string) error {
	log, _, err := newLogger("info")
	if err != nil {
		return trace.Wrap(err)
	}
	log.Info("ready", zap.String("what", what), zap.String("listen", address))
	if err := rg.Run(); !errors.Is(err, context.Canceled) {
		return trace.Wrap(err)
	}
	return nil
}
