package metrics_test

import (
	"io"
	"net"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"buckthornport.example/buckthornport/internal/metrics"
	"buckthornport.example/buckthornport/internal/traffic"
)

// assertLines checks that write produces the given lines, which lack the prefix buckthornport_.
func assertLines(c *qt.C, write func(t metrics.TextWriter), want ...string) {
	c.Helper()
	var b strings.Builder
	write(metrics.NewTextWriter(&b, "n"))
	for _, line := range want {
		c.Check(strings.Split(b.String(), "\n"), qt.Contains, "buckthornport_"+line)
	}
}

func TestText(t *testing.T) {
	t.Run("histogram", func(t *testing.T) {
		h := metrics.Histogram{}.WithSample(5 * time.Millisecond).WithSample(6 * time.Millisecond).WithSample(time.Minute)
		assertLines(qt.New(t), func(t metrics.TextWriter) { t.Histogram("wait_seconds", h, "class", "aged") },
			`wait_seconds_bucket{node="n",class="aged",le="0.005"} 1`,
			`wait_seconds_bucket{node="n",class="aged",le="0.01"} 2`,
			`wait_seconds_bucket{node="n",class="aged",le="3.2"} 2`,
			`wait_seconds_bucket{node="n",class="aged",le="+Inf"} 3`,
			`wait_seconds_sum{node="n",class="aged"} 60.011`,
			`wait_seconds_count{node="n",class="aged"} 3`)
	})
	t.Run("bytes of a connection", func(t *testing.T) {
		c := qt.New(t)
		var b metrics.ByteCounter
		local, remote := net.Pipe()
		go func() {
			_, _ = io.ReadFull(remote, make([]byte, 3))
			_, _ = remote.Write([]byte("12345"))
		}()
		conn := b.WrapConn(local, metrics.DistanceBetween("a", "r", "m", "q"))
		_, err := conn.Write([]byte("abc"))
		c.Assert(err, qt.IsNil)
		_, err = io.ReadFull(conn, make([]byte, 5))
		c.Assert(err, qt.IsNil)
		assertLines(c, func(t metrics.TextWriter) { t.Bytes("server", &b) },
			`bytes_total{node="n",peer="server",distance="other_region",direction="sent"} 3`,
			`bytes_total{node="n",peer="server",distance="other_region",direction="received"} 5`,
			`bytes_total{node="n",peer="server",distance="same_zone",direction="sent"} 0`)
	})
	t.Run("a closed connection is detected through the wrapper", func(t *testing.T) {
		c := qt.New(t)
		var b metrics.ByteCounter
		l, err := net.Listen("tcp", "127.0.0.1:0")
		c.Assert(err, qt.IsNil)
		defer func() { c.Assert(l.Close(), qt.IsNil) }()
		raw, err := net.Dial("tcp", l.Addr().String())
		c.Assert(err, qt.IsNil)
		conn := b.WrapConn(raw, metrics.SameZone)
		c.Assert(traffic.IdleConnUsable(conn), qt.IsTrue)
		accepted, err := l.Accept()
		c.Assert(err, qt.IsNil)
		c.Assert(accepted.Close(), qt.IsNil)
		for traffic.IdleConnUsable(conn) {
			time.Sleep(time.Millisecond)
		}
	})
}
