package proxy_test

import (
	"context"
	"encoding/json"
	"fmt"
	"math"
	"net"
	"os"
	"runtime"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jackc/pgx/v5/pgproto3"

	"buckthornport.example/buckthornport/internal/caller"
	"buckthornport.example/buckthornport/internal/operator"
	"buckthornport.example/buckthornport/internal/peer"
	"buckthornport.example/buckthornport/internal/standin/group"
	"buckthornport.example/buckthornport/internal/upstream"
	"buckthornport.example/buckthornport/pkg/bundle"
)

const (
	capacityFile   = "../../docs/slopes.json"
	capacityPage   = "../../docs/CAPACITY.md"
	measureCommand = "BUCKTHORNPORT_MEASURE=1 go test -run MeasureSlopes ./internal/proxy"
)

// heapBytes returns the bytes of heap and stacks in use after a garbage collection.
func heapBytes() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapInuse + m.StackInuse)
}

// measureWatch runs the watch of n groups for ten seconds of virtual time in which every server answers. It returns the
// microseconds spent and the probes sent per virtual second, and the heap bytes of the watch.
func measureWatch(n int) (micros, probes, bytes float64) {
	before := heapBytes()
	opts := []upstream.Option{}
	for i := range n {
		for k := range 3 {
			name := fmt.Sprintf("g%d-%d", i, k)
			opts = append(opts, upstream.WithServer(name, fmt.Sprintf("g%d", i), "z", name))
		}
	}
	w, err := upstream.NewWatch("n0", opts...)
	if err != nil {
		panic(err)
	}
	var es []upstream.Event
	start := time.Now()
	sent := 0
	for now := time.Duration(0); now < 10*time.Second; {
		as, wake := w.Step(now, es)
		es = nil
		for _, a := range as {
			if p, ok := a.(upstream.Probe); ok {
				sent++
				es = append(es, upstream.ProbeSucceeded{Server: p.Server, SentAt: p.SentAt, Status: healthyStatus(p.Server, now)})
			}
		}
		now = max(now+time.Millisecond, min(wake, now+10*time.Millisecond))
	}
	spent := time.Since(start)
	bytes = heapBytes() - before
	runtime.KeepAlive(w)
	return float64(spent.Microseconds()) / 10, float64(sent) / 10, bytes
}

func healthyStatus(server string, now time.Duration) upstream.Status {
	st := upstream.Status{Role: upstream.RoleReplica, Term: 1, Promised: 1}
	if strings.HasSuffix(server, "-0") {
		st.Role = upstream.RolePrimary
	}
	st.Position.Term, st.Position.Offset = 1, uint64(now)
	st.Applied = st.Position
	return st
}

// measureLane runs the decisions of one lane for one second of virtual time at the given rate of statements. It returns the
// microseconds spent.
func measureLane(perSecond int) float64 {
	l, err := caller.NewLane("g", "z")
	if err != nil {
		panic(err)
	}
	v := upstream.GroupView{Name: "g", Term: 1, Primary: "p", Servers: []upstream.ServerView{{Name: "p", Alive: true, Term: 1}}}
	es := []caller.Event{caller.ViewUpdated{View: v}, caller.LimitsUpdated{Server: "p", Slots: 64, Conns: 64}}
	for i := range 64 {
		es = append(es, caller.SessionOpened{Session: caller.SessionID(i + 1), HasFloor: true})
	}
	var busy []caller.Send
	seqs := map[caller.SessionID]uint64{}
	start := time.Now()
	for i := range perSecond {
		now := time.Duration(i) * time.Second / time.Duration(perSecond)
		id := caller.SessionID(i%64 + 1)
		seqs[id]++
		es = append(es, caller.RequestReceived{Session: id, Seq: seqs[id], Statement: caller.Statement{Kind: caller.KindRead}})
		for len(es) > 0 {
			as, _ := l.Step(now, es)
			es = nil
			for _, a := range as {
				switch a := a.(type) {
				case caller.Open:
					es = append(es, caller.ConnOpened{Conn: a.Conn})
				case caller.Send:
					busy = append(busy, a)
				}
			}
			for _, b := range busy {
				es = append(es, caller.Replied{Conn: b.Conn, Request: b.Request, Tag: "SELECT 1"})
			}
			busy = busy[:0]
		}
	}
	return float64(time.Since(start).Microseconds())
}

// peerSimulation runs n memberships in rounds of virtual time. A message is delivered within one round.
type peerSimulation struct {
	ms       []*peer.Membership
	index    map[string]int
	inbox    [][]peer.Event
	seed     uint32
	adopted  int
	messages float64
	bytes    float64
	spent    time.Duration
}

const roundTime = 10 * time.Millisecond

func newPeerSimulation(n int) *peerSimulation {
	p := &peerSimulation{ms: make([]*peer.Membership, n), index: map[string]int{}, inbox: make([][]peer.Event, n), seed: 1}
	for i := range p.ms {
		name := fmt.Sprintf("n%d", i)
		p.index[name] = i
		opts := []peer.Option{peer.WithRandom(p.random)}
		for k := 1; k <= 3; k++ {
			o := fmt.Sprintf("n%d", (i+k*k)%n)
			opts = append(opts, peer.WithMember(o, "z", o))
		}
		p.ms[i], _ = peer.NewMembership(name, "z", name, 1, opts...)
	}
	return p
}

func (p *peerSimulation) random(k int) int {
	p.seed = p.seed*1664525 + 1013904223
	return int(p.seed>>8) % k
}

// runUntil runs all nodes until the virtual time end, or until done returns true. It returns the virtual time reached.
func (p *peerSimulation) runUntil(now, end time.Duration, done func() bool) time.Duration {
	for ; now < end && !done(); now += roundTime {
		for i, m := range p.ms {
			es := p.inbox[i]
			p.inbox[i] = nil
			start := time.Now()
			as, _ := m.Step(now, es)
			p.spent += time.Since(start)
			p.deliver(i, as)
		}
	}
	return now
}

func (p *peerSimulation) deliver(i int, as []peer.Action) {
	for _, a := range as {
		switch a := a.(type) {
		case peer.OfferBundle:
			if p.ms[i].Version() == 0 {
				p.adopted++
				p.inbox[i] = append(p.inbox[i], peer.BundleAccepted{Version: 1, Bundle: a.Bundle})
			}
		case peer.Send:
			k := p.index[a.To]
			p.inbox[k] = append(p.inbox[k], peer.MessageReceived{Message: a.Message})
			p.messages++
			p.bytes += wireBytes(a.Message)
		}
	}
}

// measurePeers runs n nodes. It returns the messages and bytes that each node sends per virtual second, the microseconds that it
// spends on them, and its heap bytes. It also returns the milliseconds until a new bundle has reached all nodes.
func measurePeers(n int) (messages, bytes, micros, memory, gossipMS float64) {
	const counted = 10 * time.Second
	before := heapBytes()
	p := newPeerSimulation(n)
	never := func() bool { return false }
	now := p.runUntil(0, time.Minute+time.Duration(n)*time.Second, never)
	p.messages, p.bytes, p.spent = 0, 0, 0
	now = p.runUntil(now, now+counted, never)
	per := float64(n) * counted.Seconds()
	messages, bytes, micros = p.messages/per, p.bytes/per, float64(p.spent.Microseconds())/per
	memory = (heapBytes() - before) / float64(n)
	p.adopted = 1
	p.inbox[0] = append(p.inbox[0], peer.BundleAccepted{Version: 1, Bundle: []byte("b")})
	end := p.runUntil(now, now+time.Minute, func() bool { return p.adopted == n })
	return messages, bytes, micros, memory, float64((end - now).Milliseconds())
}

// wireBytes estimates the size of a message on the link: the sizes of its fields and the headers of one TCP segment.
func wireBytes(m peer.Message) float64 {
	const headers, fixed, update, route = 66, 44, 40, 36
	return float64(headers + fixed + update*len(m.Updates) + route*len(m.Routes) + len(m.Bundle))
}

// measureBundle returns the size in bytes of a bundle of n groups, and the microseconds that it takes to parse and check it.
func measureBundle(n int) (bytes, micros float64) {
	b, err := bundle.Parse("mvule", bundle.Example("mvule"))
	if err != nil {
		panic(err)
	}
	template := b.Groups[0]
	for i := range n - len(b.Groups) {
		g := template
		g.Name = fmt.Sprintf("group_%d", i)
		g.Servers = slices.Clone(template.Servers)
		for k := range g.Servers {
			g.Servers[k].Name = fmt.Sprintf("group_%d-%d", i, k)
			g.Servers[k].Address = fmt.Sprintf("10.%d.%d.%d:5432", i/200, i%200, k)
		}
		b = b.WithGroup(g)
	}
	body, err := b.Canonical()
	if err != nil {
		panic(err)
	}
	start := time.Now()
	if _, err := bundle.Parse("b", body); err != nil {
		panic(err)
	}
	return float64(len(body)), float64(time.Since(start).Microseconds())
}

// dialIdle opens a caller's connection. It keeps only the socket, so that the test's own memory hardly adds to the measurement.
func dialIdle(c *qt.C, address string) net.Conn {
	c.Helper()
	conn, err := net.Dial("tcp", address)
	c.Assert(err, qt.IsNil)
	b, err := (&pgproto3.StartupMessage{
		ProtocolVersion: pgproto3.ProtocolVersion30, Parameters: map[string]string{"user": "demo", "database": "ledger"},
	}).Encode(nil)
	c.Assert(err, qt.IsNil)
	_, err = conn.Write(b)
	c.Assert(err, qt.IsNil)
	got := make([]byte, 0, 512)
	for len(got) < 6 || got[len(got)-6] != 'Z' {
		n, err := conn.Read(got[len(got):cap(got)])
		c.Assert(err, qt.IsNil)
		got = got[:len(got)+n]
	}
	return conn
}

// idleSizes returns numbers of connections up to what the limit on open files allows. Each connection uses two files in this
// process.
func idleSizes(c *qt.C) []int {
	c.Helper()
	var l syscall.Rlimit
	c.Assert(syscall.Getrlimit(syscall.RLIMIT_NOFILE, &l), qt.IsNil)
	limit := min(10_000, int(l.Cur-500)/2)
	return []int{limit / 10, limit / 2, limit}
}

// measureIdle returns the heap bytes of n idle connections.
func measureIdle(c *qt.C, d *deployment, n int) float64 {
	before := heapBytes()
	conns := make([]net.Conn, 0, n)
	for range n {
		conns = append(conns, dialIdle(c, d.listen[0]))
	}
	bytes := heapBytes() - before
	for _, k := range conns {
		_ = k.Close()
	}
	waitUntil(c, "idle sessions closed", func() bool { return d.nodes[0].Status().Callers == 0 })
	return bytes
}

// TestMeasureSlopes measures and writes the data file for docs/CAPACITY.md. It runs only if BUCKTHORNPORT_MEASURE is set.
func TestMeasureSlopes(t *testing.T) {
	if os.Getenv("BUCKTHORNPORT_MEASURE") == "" {
		t.Skip("set BUCKTHORNPORT_MEASURE=1 to measure")
	}
	c := qt.New(t)
	var s operator.CapacityData
	s.Provenance = fmt.Sprintf("%s, %d cores, %s", time.Now().UTC().Format(time.DateOnly), runtime.NumCPU(), runtime.Version())
	add := func(name, unit, per string, sizes []int, f func(n int) float64) {
		o := operator.Series{Name: name, Unit: unit, Per: per, Command: measureCommand}
		for _, n := range sizes {
			o.Sizes = append(o.Sizes, float64(n))
			o.Values = append(o.Values, f(n))
		}
		s.Series = append(s.Series, o)
	}
	peers := map[int][5]float64{}
	nodes := []int{7, 50, 200, 400}
	for _, n := range nodes {
		m, b, u, h, f := measurePeers(n)
		peers[n] = [5]float64{m, b, u, h, f}
	}
	add("peer_messages", "messages/s", "nodes", nodes, func(n int) float64 { return peers[n][0] })
	add("peer_bytes", "B/s", "nodes", nodes, func(n int) float64 { return peers[n][1] })
	add("peer_cpu", "µs/s", "nodes", nodes, func(n int) float64 { return peers[n][2] })
	add("peer_heap", "B", "nodes", nodes, func(n int) float64 { return peers[n][3] })
	watch := map[int][3]float64{}
	groups := []int{3, 30, 300, 1500}
	for _, n := range groups {
		u, p, h := measureWatch(n)
		watch[n] = [3]float64{u, p, h}
	}
	add("watch_cpu", "µs/s", "groups watched", groups, func(n int) float64 { return watch[n][0] })
	add("watch_probes", "probes/s", "groups watched", groups, func(n int) float64 { return watch[n][1] })
	add("watch_heap", "B", "groups", groups, func(n int) float64 { return watch[n][2] })
	add("lane_cpu", "µs/s", "statements/s", []int{1000, 10_000, 100_000}, measureLane)
	add("bundle_bytes", "B", "groups", groups, func(n int) float64 { b, _ := measureBundle(n); return b })
	add("bundle_cpu", "µs", "groups", groups, func(n int) float64 { _, u := measureBundle(n); return u })
	add("bundle_spread", "ms", "log2 of nodes", nodes, func(n int) float64 { return peers[n][4] })
	gossip := &s.Series[len(s.Series)-1]
	for i, n := range gossip.Sizes {
		gossip.Sizes[i] = math.Log2(n)
	}
	d := startDeployment(c, unchanged)
	add("idle_connection", "B", "connections", idleSizes(c), func(n int) float64 { return measureIdle(c, d, n) })
	body, err := json.MarshalIndent(s, "", "  ")
	c.Assert(err, qt.IsNil)
	c.Assert(os.WriteFile(capacityFile, append(body, '\n'), 0o644), qt.IsNil)
	fmt.Println(s.CapacityTable())
}

// TestCapacityPage guards against tables on the capacity page that differ from the data file. It measures nothing.
func TestCapacityPage(t *testing.T) {
	c := qt.New(t)
	body, err := os.ReadFile(capacityFile)
	c.Assert(err, qt.IsNil)
	s, err := operator.ParseCapacityData(body)
	c.Assert(err, qt.IsNil)
	page, err := os.ReadFile(capacityPage)
	c.Assert(err, qt.IsNil)
	c.Assert(strings.Contains(string(page), s.CapacityTable()), qt.IsTrue,
		qt.Commentf("the page's tables must be:\n%s", s.CapacityTable()))
}

// rawClient is a caller that adds as little as possible to the measured latency.
type rawClient struct {
	conn net.Conn
	fe   *pgproto3.Frontend
}

func newRawClient(address string) (*rawClient, error) {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return nil, err
	}
	r := &rawClient{conn: conn, fe: pgproto3.NewFrontend(conn, conn)}
	r.fe.Send(&pgproto3.StartupMessage{
		ProtocolVersion: pgproto3.ProtocolVersion30, Parameters: map[string]string{"user": "demo", "database": "ledger"},
	})
	return r, r.awaitReady()
}

// awaitReady sends the buffered messages and reads until ReadyForQuery. It returns the server's error, if any.
func (r *rawClient) awaitReady() error {
	if err := r.fe.Flush(); err != nil {
		return err
	}
	for {
		m, err := r.fe.Receive()
		if err != nil {
			return err
		}
		switch m := m.(type) {
		case *pgproto3.ErrorResponse:
			return fmt.Errorf("%s: %s", m.Code, m.Message)
		case *pgproto3.ReadyForQuery:
			return nil
		}
	}
}

func (r *rawClient) query(sql string) error {
	r.fe.Send(&pgproto3.Query{String: sql})
	return r.awaitReady()
}

// BenchmarkStatements compares one-row reads directly on the stand-in server with the same reads through a proxy.
func BenchmarkStatements(b *testing.B) {
	c := qt.New(b)
	s := group.Settings{
		Name: "ledger", Connections: 400, SlotsPerServer: 400, ReceiveMS: 1, LagMS: 20, Engine: group.EngineNull,
	}
	for i := range 3 {
		s.Servers = append(s.Servers, group.ServerSettings{Name: fmt.Sprintf("s%d", i), Address: freeAddress(c)})
	}
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	g, err := group.New(ctx, s)
	c.Assert(err, qt.IsNil)
	go func() { _ = g.Run(ctx) }()
	d := &deployment{group: g, settings: s, peers: []string{freeAddress(c)}}
	large := d.bundle()
	largeGroup := large.Groups[0]
	largeGroup.Connections, largeGroup.SlotsPerServer = 400, 400
	d.startNode(c, 0, large.WithGroup(largeGroup))
	defer d.nodes[0].Stop()
	for _, n := range []int{1, 64} {
		for _, k := range []struct{ name, address string }{{"direct", s.Servers[0].Address}, {"proxied", d.listen[0]}} {
			b.Run(fmt.Sprintf("connections=%d/%s", n, k.name), func(b *testing.B) { benchStatements(b, k.address, n) })
		}
	}
}

func benchStatements(b *testing.B, address string, n int) {
	clients := make([]*rawClient, n)
	for i := range clients {
		var err error
		if clients[i], err = newRawClient(address); err != nil {
			b.Fatal(err)
		}
		if err := clients[i].query("select 1"); err != nil {
			b.Fatal(err)
		}
	}
	per := b.N/n + 1
	took := make([][]time.Duration, n)
	b.ResetTimer()
	start := time.Now()
	var wg sync.WaitGroup
	for i, r := range clients {
		wg.Go(func() {
			for range per {
				t := time.Now()
				if err := r.query("select 1"); err != nil {
					b.Error(err)
					return
				}
				took[i] = append(took[i], time.Since(t))
			}
		})
	}
	wg.Wait()
	elapsed := time.Since(start)
	b.StopTimer()
	all := slices.Concat(took...)
	slices.Sort(all)
	b.ReportMetric(float64(all[len(all)/2].Nanoseconds())/1000, "p50_us")
	b.ReportMetric(float64(all[len(all)*99/100].Nanoseconds())/1000, "p99_us")
	b.ReportMetric(float64(len(all))/elapsed.Seconds(), "statements/s")
	for _, r := range clients {
		_ = r.conn.Close()
	}
}
