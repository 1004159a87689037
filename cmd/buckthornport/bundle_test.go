package main

import (
	"context"
	"fmt"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"

	qt "github.com/frankban/quicktest"

	"buckthornport.example/buckthornport/internal/standin/platform"
	"buckthornport.example/buckthornport/internal/tablehttp"
	"buckthornport.example/buckthornport/pkg/bundle"
)

// rollFixture signs and rolls bundles. It has a temporary directory for keys and bundles and its own platform stand-in.
type rollFixture struct {
	dir      string
	platform *httptest.Server
	env      *environment
}

func newRollFixture(c *qt.C) *rollFixture {
	c.Helper()
	f := &rollFixture{dir: c.TempDir(), env: &environment{ctx: context.Background()}}
	f.platform = httptest.NewServer(platform.New(platform.Settings{}).Handler())
	c.Cleanup(f.platform.Close)
	for _, k := range []string{"amina", "brian"} {
		c.Assert(bundleKeyCommand{Name: k, Out: f.path(k + ".key")}.Run(), qt.IsNil)
	}
	return f
}

func (f *rollFixture) path(name string) string {
	return filepath.Join(f.dir, name)
}

func (f *rollFixture) flags() storeFlags {
	return storeFlags{Platform: strings.TrimPrefix(f.platform.URL, "http://"), Deployment: "mvule"}
}

// setFaults sets the faults of the platform stand-in from a JSON object.
func (f *rollFixture) setFaults(c *qt.C, body string) {
	c.Helper()
	resp, err := f.platform.Client().Post(f.platform.URL+"/switches", "application/json", strings.NewReader(body))
	c.Assert(err, qt.IsNil)
	c.Assert(resp.Body.Close(), qt.IsNil)
}

// writeSignedBundle writes a bundle with both signatures to a file and returns its path.
func (f *rollFixture) writeSignedBundle(c *qt.C, version uint64, connections int) string {
	c.Helper()
	b, err := bundle.Parse("mvule", bundle.Example("mvule"))
	c.Assert(err, qt.IsNil)
	for i, k := range []string{"amina", "brian"} {
		b.Keys[i] = bundle.Key{Name: k, Public: readPublicKey(c, f.path(k+".key"))}
	}
	g := b.Groups[0]
	g.Connections = connections
	body, err := b.WithVersion(version).WithGroup(g).Canonical()
	c.Assert(err, qt.IsNil)
	file := f.path(fmt.Sprintf("v%d-%d.json", version, connections))
	c.Assert(os.WriteFile(file, body, 0o600), qt.IsNil)
	for _, k := range []string{"amina", "brian"} {
		c.Assert(bundleSignCommand{File: file, Name: k, Key: f.path(k + ".key"), Out: file}.Run(), qt.IsNil)
	}
	return file
}

func (f *rollFixture) roll(file string) error {
	return bundleRollCommand{storeFlags: f.flags(), File: file, Expect: -1, By: filepath.Base(file)}.Run(f.env)
}

// assertVersion2Active checks that the pointer row names version 2, and returns that bundle.
func assertVersion2Active(c *qt.C, f *rollFixture) bundle.Bundle {
	c.Helper()
	_, p, b, err := f.flags().activeBundle(context.Background(), tablehttp.New(f.flags().Platform))
	c.Assert(err, qt.IsNil)
	c.Assert(p.Version, qt.Equals, uint64(2))
	c.Assert(b.Version, qt.Equals, uint64(2))
	return b
}

func TestRoll(t *testing.T) {
	t.Run("a newer version replaces an older one", func(t *testing.T) {
		c := qt.New(t)
		f := newRollFixture(c)
		c.Assert(f.roll(f.writeSignedBundle(c, 1, 30)), qt.IsNil)
		c.Assert(f.roll(f.writeSignedBundle(c, 2, 31)), qt.IsNil)
		assertVersion2Active(c, f)
		c.Assert(f.roll(f.writeSignedBundle(c, 1, 32)), qt.ErrorMatches, ".*version 2 is in force")
		assertVersion2Active(c, f)
	})
	t.Run("exactly one of several concurrent rolls succeeds", func(t *testing.T) {
		c := qt.New(t)
		f := newRollFixture(c)
		c.Assert(f.roll(f.writeSignedBundle(c, 1, 30)), qt.IsNil)
		errs := make([]error, 6)
		var wg sync.WaitGroup
		for i := range errs {
			file := f.writeSignedBundle(c, 2, 40+i)
			wg.Go(func() { errs[i] = f.roll(file) })
		}
		wg.Wait()
		winner := -1
		for i, err := range errs {
			if err == nil {
				c.Check(winner, qt.Equals, -1, qt.Commentf("two concurrent rolls succeeded"))
				winner = i
				continue
			}
			c.Check(err, qt.ErrorMatches,
				`(?s).*(a concurrent roll won: version 2 is active, rolled by "v2-4\d.json"|version 2 is in force).*`)
		}
		c.Assert(winner >= 0, qt.IsTrue)
		c.Assert(assertVersion2Active(c, f).Groups[0].Connections, qt.Equals, 40+winner)
	})
	t.Run("a lost answer is resolved by reading the pointer row", func(t *testing.T) {
		c := qt.New(t)
		f := newRollFixture(c)
		c.Assert(f.roll(f.writeSignedBundle(c, 1, 30)), qt.IsNil)
		file := f.writeSignedBundle(c, 2, 31)
		f.setFaults(c, `{"lose_answers": 1}`)
		err := f.roll(file)
		f.setFaults(c, `{}`)
		if err == nil {
			assertVersion2Active(c, f)
			return
		}
		c.Assert(f.roll(file), qt.IsNil)
		assertVersion2Active(c, f)
	})
	t.Run("a roll fails if another version than the expected one is active", func(t *testing.T) {
		c := qt.New(t)
		f := newRollFixture(c)
		c.Assert(f.roll(f.writeSignedBundle(c, 1, 30)), qt.IsNil)
		err := bundleRollCommand{storeFlags: f.flags(), File: f.writeSignedBundle(c, 2, 31), Expect: 7}.Run(f.env)
		c.Assert(err, qt.ErrorMatches, "(?s).*version 1 is active, want 7.*")
	})
}

// readPublicKey returns the public half of the private key in a file.
func readPublicKey(c *qt.C, file string) string {
	c.Helper()
	key, err := readKey(file)
	c.Assert(err, qt.IsNil)
	return encodePublicKey(key)
}
