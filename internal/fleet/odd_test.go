package fleet

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"buckthornport.example/buckthornport/internal/operator"
	"buckthornport.example/buckthornport/internal/settings"
	"buckthornport.example/buckthornport/internal/standin/metadata"
	"buckthornport.example/buckthornport/pkg/bundle"
	"buckthornport.example/buckthornport/platform"
)

// entry returns the entry of a server with some fields replaced by JSON text.
func entry(fields ...string) []byte {
	values := map[string]string{
		"Service": `"books"`, "Addr": `"127.0.0.1:9"`, "Zone": `"a"`, "Capacity": "5", "State": `"ready"`, "Seq": "7", "born": "1",
	}
	for i := 0; i < len(fields); i += 2 {
		values[fields[i]] = fields[i+1]
	}
	var b strings.Builder
	for k, v := range values {
		fmt.Fprintf(&b, `%s%q:%s`, map[bool]string{true: "{", false: ","}[b.Len() == 0], k, v)
	}
	return []byte(b.String() + "}")
}

// assertListFollowed checks that the nodes log the odd row, replace a failed primary in spite of it and apply later changes of the
// list.
func assertListFollowed(c *qt.C, d *deployment, odd string) {
	c.Helper()
	waitUntil(c, "the odd row is logged", func() bool {
		for _, r := range d.log.records(c) {
			if r.Server == odd && strings.HasSuffix(r.Cause, "_unreadable") {
				return true
			}
		}
		return false
	})
	for _, n := range d.nodes {
		_, listed := n.view("books").Server(odd)
		c.Assert(listed, qt.IsFalse, qt.Commentf("the odd row names a server"))
	}
	d.platform.ChangeServer("books", 2, metadata.Drain())
	for _, n := range d.nodes {
		waitUntil(c, "a later change is applied", func() bool {
			s, ok := n.view("books").Server("i-books-3")
			return ok && s.Leaving
		})
	}
	d.platform.ChangeServer("books", 0, metadata.Down(true))
	deadline := time.Now().Add(failoverTarget)
	waitUntil(c, "another server is primary", func() bool {
		n, term := d.platform.Primary("books")
		return n > 0 && term > 1
	})
	c.Assert(time.Now().Before(deadline), qt.IsTrue)
	assertAnswers(connect(c, d.nodes[0], "ledger"), "WRITE a 1", nil, "I")
	assertNoViolations(c, d)
}

// failoverTarget is the time within which a change of primary must be over.
const failoverTarget = 6 * time.Second

// TestOddEntries guards against one row of another writer in the list of servers that ends the nodes that read the list, stops them
// from following it, or names a server.
func TestOddEntries(t *testing.T) {
	for _, k := range []struct {
		name, key string
		value     []byte
	}{
		{"deeply nested", "i-odd", []byte(strings.Repeat("[", 60_000))},
		{"deeply nested field", "i-odd", entry("Capacity", strings.Repeat(`{"a":`, 10_000))},
		{"number too large", "i-odd", entry("Capacity", "1e400")},
		{"capacity beyond any server", "i-odd", entry("Capacity", "4611686018427387904")},
		{"negative capacity", "i-odd", entry("Capacity", "-5")},
		{"start too large", "i-odd", entry("born", "99999999999999999999")},
		{"port out of range", "i-odd", entry("Addr", `"127.0.0.1:65536"`)},
		{"port zero", "i-odd", entry("Addr", `"127.0.0.1:0"`)},
		{"address of no machine", "i-odd", entry("Addr", `"0.0.0.0:9"`)},
		{"zone in the address", "i-odd", entry("Addr", `"[fe80::1%eth0]:9"`)},
		{"service with a line break", "i-odd", entry("Service", `"books\r\nQUERY"`)},
		{"key with a line break", "i-odd\r\nQUERY - STEPDOWN 9", entry()},
		{"bytes that are no text", "i-odd", []byte{0xff, 0xfe, 0}},
		{"empty", "i-odd", nil},
	} {
		t.Run(k.name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			d := startDeployment(c, 2)
			d.platform.Put("servers", k.key, k.value)
			assertListFollowed(c, d, k.key)
		})
	}
}

// TestOddMembers guards against a row in the member table that names no node and is given work.
func TestOddMembers(t *testing.T) {
	for _, k := range []struct {
		name, key, value string
	}{
		{"key that is no address", "nowhere", `{"zone":"a","weight":1000}`},
		{"port zero", "127.0.0.1:0", `{"zone":"a","weight":1000}`},
		{"weight beyond any machine", "127.0.0.1:9", `{"zone":"a","weight":4294967295}`},
		{"zone that is not configured", "127.0.0.1:9", `{"zone":"elsewhere","weight":1000}`},
		{"deeply nested", "127.0.0.1:9", strings.Repeat("[", 60_000)},
	} {
		t.Run(k.name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			d := startPlatform(c)
			d.platform.Put(tableMembers, k.key, []byte(k.value))
			d.startNode(c, "node-1", "a")
			d.awaitReady(c)
			waitUntil(c, "the odd row is logged", func() bool {
				for _, r := range d.log.records(c) {
					if r.Kind == operator.KindMember && r.Server == k.key && r.Cause == "row_unreadable" {
						return true
					}
				}
				return false
			})
			c.Assert(d.nodes[0].Status().Members, qt.HasLen, 1)
		})
	}
}

// FuzzMember checks that a row of the member table is refused or names a node of the deployment.
func FuzzMember(f *testing.F) {
	f.Add("127.0.0.1:9", []byte(`{"zone":"a","weight":1000}`))
	zones := bundle.Zones{{Name: "a", Region: "r"}}
	f.Fuzz(func(t *testing.T, key string, raw []byte) {
		if u, err := decodeMember(key, raw, zones); err == nil && (u.Zone != "a" || u.Weight > maxMemberWeight || u.Address != key) {
			t.Fatalf("%q with %q was decoded as %+v", key, raw, u)
		}
	})
}

// TestOddLease guards against a group that never gets another primary because its lease can't be read.
func TestOddLease(t *testing.T) {
	for _, value := range []string{
		"", "[", `{"token":-1}`, `{"token":1e40,"holder":7}`, `{"token":18446744073709551615}`, strings.Repeat("[", 60_000),
	} {
		t.Run(fmt.Sprintf("%.30s", value), func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			d := startDeployment(c, 2)
			d.platform.Put(tableLeases, "books", []byte(value))
			d.platform.ChangeServer("books", 0, metadata.Down(true))
			waitUntil(c, "another server is primary", func() bool {
				n, _ := d.platform.Primary("books")
				return n > 0
			})
			assertNoViolations(c, d)
		})
	}
}

// FuzzLease checks that any row yields a lease that belongs to its row, and that its successor's token is of the current era.
func FuzzLease(f *testing.F) {
	f.Add([]byte(`{"token":8589934593,"holder":"n1","era":2}`))
	n, err := New(context.Background(), settings.FleetNode{Node: "n", Peer: "127.0.0.1:9", Store: "127.0.0.1:9"})
	if err != nil {
		f.Fatal(err)
	}
	f.Fuzz(func(t *testing.T, raw []byte) {
		l := n.decodeLease(platform.Row{Key: "g", Value: raw, Version: 7, Era: 2, StoreTime: time.Second}, 0)
		if l.Version != 7 || l.StoreEra != 2 || l.WithHolder("n").Token <= 2<<32 {
			t.Fatalf("%q was decoded as %+v", raw, l)
		}
	})
}
