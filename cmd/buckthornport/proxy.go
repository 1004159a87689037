package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/gravitational/trace"
	"go.uber.org/zap"

	"buckthornport.example/buckthornport/internal/proxy"
	"buckthornport.example/buckthornport/internal/settings"
	"buckthornport.example/buckthornport/pkg/bundle"
)

// memoryLimitPercent is the part of the machine's memory at which the runtime's soft limit is set. The garbage collector runs more
// often as memory use approaches it.
const memoryLimitPercent = 50

type proxyCommand struct {
	Settings string `required:"" type:"path" help:"Settings file, JSON with comments."`
	Policy   string `enum:",ours,fifo" default:"" help:"Scheduling policy, in place of the one in the settings: ours or fifo."`
}

// Run serves callers until a signal, then drains the node. SIGHUP reloads the settings. It returns an error if the drain
// disconnected callers.
func (c proxyCommand) Run(env *environment) error {
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	source, err := os.ReadFile(c.Settings)
	if err != nil {
		return trace.ConvertSystemError(err)
	}
	s, err := settings.ParseProxy(c.Settings, source)
	if err != nil {
		return err
	}
	debug.SetMemoryLimit(int64(s.Memory()) << 20 / 100 * memoryLimitPercent)
	if c.Policy != "" {
		s.Policy = c.Policy
	}
	b, err := readBundle(s.BundleFile)
	if err != nil {
		return err
	}
	log, level, err := newLogger(s.LogLevel)
	if err != nil {
		return trace.Wrap(err)
	}
	n, err := proxy.New(context.Background(), s, b, proxy.WithLogger(log.With(zap.String("node", s.Node)), level))
	if err != nil {
		return trace.Wrap(err)
	}
	disconnected := make(chan int, 1)
	go drainOnSignal(env, n, log, disconnected)
	read := func() ([]byte, error) { return os.ReadFile(c.Settings) }
	go settings.Follow(env.ctx, source, read, reload, time.Tick(settings.PollInterval), func(source []byte, err error) {
		if err == nil {
			err = n.Reload(c.Settings, source)
		}
		n.ReportReloadError(err)
	})
	if err := n.Run(); err != nil {
		return trace.Wrap(err)
	}
	if k := <-disconnected; k > 0 {
		return fmt.Errorf("%d callers were still connected when the drain ended", k)
	}
	return nil
}

// drainOnSignal drains the node on the first signal and stops it immediately on a SIGINT after that. It sends the number of callers
// that were still connected when the drain ended.
func drainOnSignal(env *environment, n *proxy.Node, log *zap.Logger, disconnected chan<- int) {
	<-env.ctx.Done()
	go func() {
		<-env.forceStop
		n.Stop()
	}()
	k := n.Drain()
	log.Info("drained", zap.Int("cut_off", k))
	disconnected <- k
}

// readBundle reads and checks an unsigned bundle file.
func readBundle(file string) (bundle.Bundle, error) {
	source, err := os.ReadFile(file)
	if err != nil {
		return bundle.Bundle{}, trace.ConvertSystemError(err)
	}
	return bundle.Parse(file, source)
}

type settingsCommand struct {
	Check settingsCheckCommand `cmd:"" help:"Report all mistakes in a settings file."`
}

type settingsCheckCommand struct {
	File string `arg:"" type:"path" help:"Settings file."`
	Kind string `enum:"proxy,group,platform,bundle" default:"proxy" help:"Kind of the file: proxy, group, platform or bundle."`
}

// Run checks the file and returns all mistakes.
func (c settingsCheckCommand) Run() error {
	source, err := os.ReadFile(c.File)
	if err != nil {
		return trace.ConvertSystemError(err)
	}
	if err := settingsCheckers[c.Kind](c.File, source); err != nil {
		return err
	}
	fmt.Printf("%s: no mistakes\n", c.File)
	return nil
}
