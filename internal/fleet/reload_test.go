package fleet

import (
	"bytes"
	"context"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"buckthornport.example/buckthornport/internal/settings"
)

const reloadSettings = `{
  "node": "n", "zone": "a", "listen": "127.0.0.1:1", "ready": "127.0.0.1:2", "peer": "127.0.0.1:3", "store": "127.0.0.1:4",
  "grace_ms": 2000, "log_level": "info"
}`

// reloadTest is a node that does not run, with its log.
type reloadTest struct {
	c     *qt.C
	node  *Node
	level zap.AtomicLevel
	log   bytes.Buffer
}

func newReloadTest(c *qt.C) *reloadTest {
	s, err := settings.ParseFleetNode("settings.jsonc", []byte(reloadSettings))
	c.Assert(err, qt.IsNil)
	h := &reloadTest{c: c, level: zap.NewAtomicLevel()}
	core := zapcore.NewCore(zapcore.NewJSONEncoder(zap.NewProductionEncoderConfig()), zapcore.AddSync(&h.log), h.level)
	h.node, err = New(context.Background(), s, WithLogger(zap.New(core), h.level))
	c.Assert(err, qt.IsNil)
	c.Cleanup(h.node.Stop)
	return h
}

func (h *reloadTest) reload(before, after string) error {
	return h.node.Reload("settings.jsonc", []byte(strings.Replace(reloadSettings, before, after, 1)))
}

// assertUnchanged checks that the node keeps the settings with which it started.
func (h *reloadTest) assertUnchanged() {
	h.c.Helper()
	h.c.Assert(h.level.Level(), qt.Equals, zap.InfoLevel)
	h.c.Assert(time.Duration(h.node.grace.Load()), qt.Equals, 2*time.Second)
}

func TestReload(t *testing.T) {
	for _, k := range []struct{ name, before, after, want string }{
		{"an unknown field", `"grace_ms"`, `"grace": 1, "grace_ms"`, `settings.jsonc:3:.*grace.*`},
		{"a value of another type", `2000`, `"2 s"`, `settings.jsonc:3:.*grace_ms.*`},
		{"a number out of range", `2000`, `0`, `settings.jsonc:3:.*grace_ms.*`},
		{"a file that is cut in the middle", "2000, \"log_level\": \"info\"\n}", `20`, `settings.jsonc:3:.*`},
		{"an empty file", reloadSettings, ``, `settings.jsonc:.*`},
	} {
		t.Run(k.name+" changes nothing", func(t *testing.T) {
			h := newReloadTest(qt.New(t))
			h.c.Assert(h.reload(k.before, k.after), qt.ErrorMatches, "(?s)"+k.want)
			h.assertUnchanged()
		})
	}
	t.Run("the log level and the grace period change at once", func(t *testing.T) {
		h := newReloadTest(qt.New(t))
		h.c.Assert(h.reload(`2000, "log_level": "info"`, `3000, "log_level": "debug"`), qt.IsNil)
		h.c.Assert(h.level.Level(), qt.Equals, zap.DebugLevel)
		h.c.Assert(time.Duration(h.node.grace.Load()), qt.Equals, 3*time.Second)
		h.c.Assert(strings.Contains(h.log.String(), "restart"), qt.IsFalse)
	})
	t.Run("a change that needs a restart is logged", func(t *testing.T) {
		h := newReloadTest(qt.New(t))
		h.c.Assert(h.reload("127.0.0.1:4", "127.0.0.1:5"), qt.IsNil)
		h.c.Assert(h.log.String(), qt.Contains, "take effect only after a restart")
	})
}
