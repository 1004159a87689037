package peerlink

import (
	"reflect"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

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
	t.Run("numbers out of range are bounded", func(t *testing.T) {
		c := qt.New(t)
		m := decodeLimit(&LimitMessage{Kind: 1 << 20, Asks: []*CreditAsk{{Need: 1<<32 - 1}}})
		c.Assert(m.Asks[0].Need, qt.Equals, maxCredit)
		c.Assert(m.Kind, qt.Equals, tenant.MessageKind(255))
	})
}
