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
