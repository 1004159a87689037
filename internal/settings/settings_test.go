package settings_test

import (
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"buckthornport.example/buckthornport/internal/settings"
)

const validSettings = `{
  // A proxy of the tests.
  "node": "n0",
  "zone": "z0",
  "bundle_file": "bundle.jsonc",
  "token_key": "MDEyMzQ1Njc4OWFiY2RlZg==",
}
`

func TestParseProxy(t *testing.T) {
	t.Run("defaults of valid settings", func(t *testing.T) {
		c := qt.New(t)
		p, err := settings.ParseProxy("x", []byte(validSettings))
		c.Assert(err, qt.IsNil)
		c.Assert(p.Listen, qt.Equals, settings.DefaultListen)
	})
	for _, k := range []struct{ name, old, new, want string }{
		{"unknown key", `"zone"`, `"zoen"`, `(?s).*x:4:3: zoen: unknown key; did you mean "zone"\?.*`},
		{"host name", `"zone": "z0",`, `"zone": "z0", "listen": "localhost:6432",`, `x:4:27: listen: .*want IP:PORT.*`},
		{"short key", "MDEyMzQ1Njc4OWFiY2RlZg==", "MDEy", `x:6:16: token_key: is not a valid key.*`},
		{
			"key without certificate", `"zone": "z0",`, `"zone": "z0", "key_file": "k",`,
			`.*certificate and its key must be set together.*`,
		},
		{"duplicate key", `"zone": "z0",`, `"zone": "z0", "zone": "z1",`, `x:4:17: zone: key given twice; keep one of them`},
		{"little memory", `"zone": "z0",`, `"zone": "z0", "memory_mb": 4,`, `.*memory_mb: is too small; want 0 .* or at least 48 MB`},
		{"few descriptors", `"zone": "z0",`, `"zone": "z0", "max_fds": 4,`, `.*max_fds: is too small; want 0 .* or at least 300`},
		{"unknown policy", `"zone": "z0",`, `"zone": "z0", "policy": "best",`, `.*want one of \[ours fifo\]`},
	} {
		t.Run(k.name, func(t *testing.T) {
			c := qt.New(t)
			_, err := settings.ParseProxy("x", []byte(strings.Replace(validSettings, k.old, k.new, 1)))
			c.Assert(err, qt.ErrorMatches, k.want)
		})
	}
}

func FuzzParseProxy(f *testing.F) {
	f.Add([]byte(validSettings))
	f.Fuzz(func(_ *testing.T, text []byte) {
		_, _ = settings.ParseProxy("x", text)
	})
}

const validFleetSettings = `{
  "node": "n", "zone": "a", "listen": "127.0.0.1:1", "ready": "127.0.0.1:2", "peer": "127.0.0.1:3", "store": "127.0.0.1:4",
}`

// TestRateSettings guards against a tolerance within which no credit could be lent, or with which limits mean nothing.
func TestRateSettings(t *testing.T) {
	for _, k := range []struct{ setting, want string }{
		{`"rate_window_ms": 0`, `(?s).*rate_window_ms: is out of range.*`},
		{`"rate_tolerance": 2`, `.*rate_tolerance: is out of range.*`},
		{`"rate_tolerance": 0.01`, `.*rate_tolerance: is too small for the window.*`},
		{`"rate_slack": -1`, `.*rate_slack: is negative.*`},
		{`"rate_window_ms": 1000, "rate_tolerance": 0.2, "rate_slack": 0`, ``},
	} {
		t.Run(k.setting, func(t *testing.T) {
			c := qt.New(t)
			_, err := settings.ParseFleetNode("x", []byte(strings.Replace(validFleetSettings, "\n}", "\n"+k.setting+"\n}", 1)))
			if k.want == "" {
				c.Assert(err, qt.IsNil)
			} else {
				c.Assert(err, qt.ErrorMatches, k.want)
			}
		})
	}
}
