package settings_test

import (
	"context"
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"buckthornport.example/buckthornport/internal/settings"
)

// followed is a settings file that is followed until the test ends.
type followed struct {
	c       *qt.C
	file    string
	signals chan os.Signal
	reloads chan string
}

func follow(c *qt.C, content string, interval time.Duration) *followed {
	f := &followed{
		c: c, file: filepath.Join(c.TempDir(), "settings.jsonc"), signals: make(chan os.Signal, 1), reloads: make(chan string, 100),
	}
	f.write(content)
	ctx, stop := context.WithCancel(context.Background())
	c.Cleanup(stop)
	go settings.Follow(ctx, f.file, []byte(content), f.signals, interval, func(source []byte, err error) {
		if err != nil {
			source = []byte("error")
		}
		f.reloads <- string(source)
	})
	return f
}

func (f *followed) write(content string) {
	f.c.Assert(os.WriteFile(f.file, []byte(content), 0o600), qt.IsNil)
}

func (f *followed) assertReload(want string) {
	f.c.Helper()
	select {
	case got := <-f.reloads:
		f.c.Assert(got, qt.Equals, want)
	case <-time.After(5 * time.Second):
		f.c.Fatalf("no reload of %q", want)
	}
}

func (f *followed) assertNoReload() {
	f.c.Helper()
	select {
	case got := <-f.reloads:
		f.c.Fatalf("reload of %q", got)
	case <-time.After(30 * time.Millisecond):
	}
}

func TestFollow(t *testing.T) {
	t.Run("a signal reloads an unchanged file", func(t *testing.T) {
		f := follow(qt.New(t), "a", time.Hour)
		f.signals <- syscall.SIGHUP
		f.assertReload("a")
	})
	t.Run("a change is found without a signal, and once", func(t *testing.T) {
		f := follow(qt.New(t), "a", time.Millisecond)
		f.assertNoReload()
		f.write("bc")
		f.assertReload("bc")
		f.assertNoReload()
	})
	t.Run("a file that is gone is reported once", func(t *testing.T) {
		f := follow(qt.New(t), "a", time.Millisecond)
		f.c.Assert(os.Remove(f.file), qt.IsNil)
		f.assertReload("error")
		f.assertNoReload()
		f.write("a")
		f.assertNoReload()
	})
}
