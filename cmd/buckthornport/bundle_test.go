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

// rollFixture is a place to sign and roll bundles, with a platform of its own.
type rollFixture struct {
	dir      string
	platform *httptest.Server
	env      *environment
}

func newRollFixture(c *qt.C) *rollFixture {
	c.Helper()
	d := &rollFixture{dir: c.TempDir(), env: &environment{ctx: context.Background()}}
	d.platform = httptest.NewServer(platform.New(platform.Settings{}).Handler())
	c.Cleanup(d.platform.Close)
	for _, k := range []string{"amina", "brian"} {
		c.Assert(bundleKeyCommand{Name: k, Out: d.path(k + ".key")}.Run(), qt.IsNil)
	}
	return d
}

func (d *rollFixture) path(name string) string {
	return filepath.Join(d.dir, name)
}

func (d *rollFixture) flags() storeFlags {
	return storeFlags{Platform: strings.TrimPrefix(d.platform.URL, "http://"), Deployment: "mvule"}
}

func (d *rollFixture) setSwitches(c *qt.C, body string) {
	c.Helper()
	resp, err := d.platform.Client().Post(d.platform.URL+"/switches", "application/json", strings.NewReader(body))
	c.Assert(err, qt.IsNil)
	c.Assert(resp.Body.Close(), qt.IsNil)
}

// writeSignedBundle writes a bundle that both have writeSignedBundle, and returns its path.
func (d *rollFixture) writeSignedBundle(c *qt.C, version uint64, connections int) string {
	c.Helper()
	b, err := bundle.Parse("mvule", bundle.Example("mvule"))
	c.Assert(err, qt.IsNil)
	for i, k := range []string{"amina", "brian"} {
		b.Keys[i] = bundle.Key{Name: k, Public: readPublicKey(c, d.path(k+".key"))}
	}
	g := b.Groups[0]
	g.Connections = connections
	body, err := b.WithVersion(version).WithGroup(g).Canonical()
	c.Assert(err, qt.IsNil)
	file := d.path(fmt.Sprintf("v%d-%d.json", version, connections))
	c.Assert(os.WriteFile(file, body, 0o600), qt.IsNil)
	for _, k := range []string{"amina", "brian"} {
		c.Assert(bundleSignCommand{File: file, Name: k, Key: d.path(k + ".key"), Out: file}.Run(), qt.IsNil)
	}
	return file
}

func (d *rollFixture) roll(file string) error {
	return bundleRollCommand{storeFlags: d.flags(), File: file, Expect: -1, By: filepath.Base(file)}.Run(d.env)
}

// assertVersion2Active checks that the platform's row names the second version.
func assertVersion2Active(c *qt.C, d *rollFixture) bundle.Bundle {
	c.Helper()
	_, p, b, err := d.flags().activeBundle(context.Background(), tablehttp.New(d.flags().Platform))
	c.Assert(err, qt.IsNil)
	c.Assert(p.Version, qt.Equals, uint64(2))
	c.Assert(b.Version, qt.Equals, uint64(2))
	return b
}

func TestRoll(t *testing.T) {
	t.Run("one after the other", func(t *testing.T) {
		c := qt.New(t)
		d := newRollFixture(c)
		c.Assert(d.roll(d.writeSignedBundle(c, 1, 30)), qt.IsNil)
		c.Assert(d.roll(d.writeSignedBundle(c, 2, 31)), qt.IsNil)
		assertVersion2Active(c, d)
		c.Assert(d.roll(d.writeSignedBundle(c, 1, 32)), qt.ErrorMatches, ".*version 2 is already active")
		assertVersion2Active(c, d)
	})
	t.Run("of racing rolls exactly one wins, and the others are told", func(t *testing.T) {
		c := qt.New(t)
		d := newRollFixture(c)
		c.Assert(d.roll(d.writeSignedBundle(c, 1, 30)), qt.IsNil)
		errs := make([]error, 6)
		var wg sync.WaitGroup
		for i := range errs {
			file := d.writeSignedBundle(c, 2, 40+i)
			wg.Go(func() { errs[i] = d.roll(file) })
		}
		wg.Wait()
		won := -1
		for i, err := range errs {
			if err == nil {
				c.Check(won, qt.Equals, -1, qt.Commentf("two winners"))
				won = i
				continue
			}
			c.Check(err, qt.ErrorMatches,
				`(?s).*(the race was lost: version 2 is in force, rolled by "v2-4\d.json"|version 2 is already active).*`)
		}
		c.Assert(won >= 0, qt.IsTrue)
		c.Assert(assertVersion2Active(c, d).Groups[0].Connections, qt.Equals, 40+won)
	})
	t.Run("a lost answer is settled by reading back", func(t *testing.T) {
		c := qt.New(t)
		d := newRollFixture(c)
		c.Assert(d.roll(d.writeSignedBundle(c, 1, 30)), qt.IsNil)
		file := d.writeSignedBundle(c, 2, 31)
		d.setSwitches(c, `{"lose_answers": 1}`)
		err := d.roll(file)
		d.setSwitches(c, `{}`)
		if err == nil {
			assertVersion2Active(c, d)
			return
		}
		c.Assert(d.roll(file), qt.IsNil)
		assertVersion2Active(c, d)
	})
	t.Run("a version that is no longer in force is not built on", func(t *testing.T) {
		c := qt.New(t)
		d := newRollFixture(c)
		c.Assert(d.roll(d.writeSignedBundle(c, 1, 30)), qt.IsNil)
		err := bundleRollCommand{storeFlags: d.flags(), File: d.writeSignedBundle(c, 2, 31), Expect: 7}.Run(d.env)
		c.Assert(err, qt.ErrorMatches, "(?s).*version 1 is in force, not 7.*")
	})
}

// readPublicKey reads the public half of a private key's file.
func readPublicKey(c *qt.C, file string) string {
	c.Helper()
	key, err := readKey(file)
	c.Assert(err, qt.IsNil)
	return encodePublicKey(key)
}
