package peerlink

import (
	"net"
	"reflect"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"buckthornport.example/buckthornport/internal/peer"
	"buckthornport.example/buckthornport/internal/standin/loopback"
	"buckthornport.example/buckthornport/internal/tenant"
)

// TestLimitMessage guards against fields of messages about limits that are lost on the way, and against numbers that overflow.
func TestLimitMessage(t *testing.T) {
	t.Run("every field arrives", func(t *testing.T) {
		rapid.Check(t, func(t *rapid.T) {
			m := tenant.Message{
				Kind: tenant.MessageKind(rapid.IntRange(1, 4).Draw(t, "kind")), Seq: rapid.Uint64().Draw(t, "seq"),
				Version: rapid.Uint64().Draw(t, "version"), Fallback: rapid.Bool().Draw(t, "fallback"),
				Tenants: rapid.SliceOfN(rapid.StringMatching(`[a-z]+`), 1, 3).Draw(t, "tenants"),
				Asks: []tenant.Ask{{
					Tenant: "a", Need: rapid.IntRange(0, maxCredit).Draw(t, "need"), Want: rapid.IntRange(0, maxCredit).Draw(t, "want"),
					Limit: tenant.Limit{Rate: rapid.Float64Range(0, 1e6).Draw(t, "rate"), Burst: 2},
				}},
				Grants: []tenant.Grant{{
					Tenant: "b", Credit: rapid.IntRange(0, maxCredit).Draw(t, "credit"), Unready: rapid.Bool().Draw(t, "unready"),
					RetryAfter: time.Duration(rapid.IntRange(0, 1e7).Draw(t, "retry us")) * time.Microsecond,
				}},
			}
			raw, err := proto.Marshal(encodeLimit(m))
			if err != nil {
				t.Fatal(err)
			}
			var p LimitMessage
			if err := proto.Unmarshal(raw, &p); err != nil {
				t.Fatal(err)
			}
			if got := decodeLimit(&p); !reflect.DeepEqual(got, m) {
				t.Fatalf("got %+v, want %+v", got, m)
			}
		})
	})
	t.Run("a message that has waited too long is dropped", func(t *testing.T) {
		c := qt.New(t)
		received := make(chan uint64, 2)
		to, err := New(func(peer.Message) {}, WithLimitHandler(func(_ string, m tenant.Message) { received <- m.Seq }, nil))
		c.Assert(err, qt.IsNil)
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		c.Assert(err, qt.IsNil)
		go func() { _ = to.Serve(listener) }()
		from, err := New(func(peer.Message) {})
		c.Assert(err, qt.IsNil)
		defer from.Close()
		address := listener.Addr().String()
		from.enqueue(address, address, outgoing{until: time.Now(), encode: func() (*Message, error) {
			return &Message{Kind: kindLimit, Limit: &LimitMessage{Seq: 1}}, nil
		}})
		from.SendLimit("a", address, "", tenant.Message{Seq: 2})
		c.Assert(<-received, qt.Equals, uint64(2))
		c.Assert(listener.Close(), qt.IsNil)
		to.Close()
	})
	t.Run("a refused connection is reported", func(t *testing.T) {
		c := qt.New(t)
		address, err := loopback.FreeAddress()
		c.Assert(err, qt.IsNil)
		refused := make(chan string, 1)
		from, err := New(func(peer.Message) {}, WithLimitHandler(nil, func(address string, _ error) { refused <- address }))
		c.Assert(err, qt.IsNil)
		defer from.Close()
		from.SendLimit("a", address, "", tenant.Message{Seq: 1})
		c.Assert(<-refused, qt.Equals, address)
	})
	t.Run("numbers out of range are bounded", func(t *testing.T) {
		c := qt.New(t)
		m := decodeLimit(&LimitMessage{Kind: 1 << 20, Asks: []*CreditAsk{{Need: 1<<32 - 1}}})
		c.Assert(m.Asks[0].Need, qt.Equals, maxCredit)
		c.Assert(m.Kind, qt.Equals, tenant.MessageKind(255))
	})
}
