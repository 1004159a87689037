package overload

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"buckthornport.example/buckthornport/internal/standin/loopback"
	"buckthornport.example/buckthornport/internal/standin/metadata"
)

// The limits of the programs under test, and the bounds that the tests check. They are lower than those of any real machine.
const (
	memoryMB = 64
	maxFDs   = 400
	// crowdConns is the number of connections of a crowd that must not get them all.
	crowdConns = 600
	// largeBytes is the size of a large message within the limit of 1 MiB.
	largeBytes = 1_000_000
	// answerTimeout exceeds the deadline of every route.
	answerTimeout = 8 * time.Second
	// attempts is how often an ordinary caller tries again after a refusal.
	attempts = 10
)

// programs is the directory with the programs under test.
var programs string

func TestMain(m *testing.M) {
	os.Exit(buildAndRun(m))
}

// buildAndRun builds the programs without the race detector, whose memory would hide theirs.
func buildAndRun(m *testing.M) int {
	var err error
	if programs, err = os.MkdirTemp("", "overload"); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(programs) }()
	build := exec.Command("go", "build", "-o", programs+"/", "../../cmd/buckthornport-fleet", "../../cmd/buckthornport")
	build.Stderr = os.Stderr
	if err := build.Run(); err != nil {
		return 1
	}
	return m.Run()
}

// process is a program under test. fds is the largest number of open descriptors that was seen.
type process struct {
	c     *qt.C
	name  string
	cmd   *exec.Cmd
	ended chan struct{}
	log   string
	fds   atomic.Int64
}

func startProcess(c *qt.C, name, program string, args ...string) *process {
	c.Helper()
	p := &process{c: c, name: name, cmd: exec.Command(filepath.Join(programs, program), args...), ended: make(chan struct{})}
	p.log = filepath.Join(c.TempDir(), name+".log")
	out, err := os.Create(p.log)
	c.Assert(err, qt.IsNil)
	p.cmd.Stdout, p.cmd.Stderr = out, out
	c.Assert(p.cmd.Start(), qt.IsNil)
	go func() {
		defer close(p.ended)
		_ = p.cmd.Wait()
		_ = out.Close()
	}()
	go p.watchFDs()
	c.Cleanup(func() {
		_ = p.cmd.Process.Kill()
		<-p.ended
		if raw, err := os.ReadFile(p.log); err == nil && c.Failed() {
			c.Logf("end of the log of %s: %s", name, raw[max(0, len(raw)-2000):])
		}
	})
	return p
}

func (p *process) watchFDs() {
	for {
		select {
		case <-p.ended:
			return
		case <-time.After(10 * time.Millisecond):
			es, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.cmd.Process.Pid))
			if err == nil {
				p.fds.Store(max(p.fds.Load(), int64(len(es))))
			}
		}
	}
}

// peakMB returns the largest resident set of the process so far.
func (p *process) peakMB() int {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	p.c.Assert(err, qt.IsNil)
	for l := range strings.Lines(string(raw)) {
		if fs := strings.Fields(l); fs[0] == "VmHWM:" {
			kb, err := strconv.Atoi(fs[1])
			p.c.Assert(err, qt.IsNil)
			return kb >> 10
		}
	}
	p.c.Fatalf("%s has no peak of its resident set", p.name)
	return 0
}

// assertBounds checks that the process lives and has stayed within its memory and descriptors.
func (p *process) assertBounds(memoryMB int) {
	p.c.Helper()
	select {
	case <-p.ended:
		p.c.Fatalf("%s has ended", p.name)
	default:
	}
	peak, fds := p.peakMB(), p.fds.Load()
	p.c.Logf("%s: peak %d MB, %d descriptors", p.name, peak, fds)
	p.c.Check(peak <= memoryMB, qt.IsTrue, qt.Commentf("%s: %d MB, limit %d", p.name, peak, memoryMB))
	p.c.Check(fds <= maxFDs, qt.IsTrue, qt.Commentf("%s: %d descriptors, limit %d", p.name, fds, maxFDs))
}

const config = `{"Version":4,"Routes":[
{"Name":"r1","Host":"ledger","Kind":"primary","TimeoutMs":1500,"TargetLatencyMs":400,"Priority":1,"Service":"books"},
{"Name":"r2","Host":"board","Kind":"bounded_staleness","TimeoutMs":2500,"Priority":2,"Service":"books","MaxStalenessMs":1500}],
"Services":[{"Name":"books","MaxConns":%d,"SyncReplicas":1}],"Limits":{"TxIdleMs":3000}}`

// fleet is a deployment of nodes on the users' platform. Callers use the first node; if there are two, the second is a dispatcher.
type fleet struct {
	c     *qt.C
	nodes []*node
}

type node struct {
	*process
	settings map[string]any
}

func startFleet(c *qt.C, nodes int) *fleet {
	c.Helper()
	platform := metadata.New()
	c.Assert(platform.AddGroup("books", []string{"a", "b", "m"}, 300*time.Millisecond), qt.IsNil)
	platform.Put("op", "config", fmt.Appendf(nil, config, map[int]int{1: 12, 2: 7}[nodes]))
	srv := httptest.NewServer(platform.Handler())
	c.Cleanup(srv.CloseClientConnections)
	f := &fleet{c: c}
	var seeds []string
	for i := range nodes {
		// The node with more cores is the dispatcher of its zone.
		s := map[string]any{
			"node": fmt.Sprintf("n%d", i), "zone": "a", "store": strings.TrimPrefix(srv.URL, "http://"),
			"orders": strings.TrimPrefix(srv.URL, "http://"), "cores": 1 + 1000*i, "log_level": "info",
			"memory_mb": memoryMB, "max_fds": maxFDs,
			"zones": []map[string]string{{"name": "a", "region": "r"}, {"name": "b", "region": "r"}, {"name": "m", "region": "q"}},
		}
		for _, k := range []string{"listen", "ready", "peer", "status"} {
			s[k] = freeAddress(c)
		}
		seeds = append(seeds, s["peer"].(string))
		f.nodes = append(f.nodes, &node{settings: s})
	}
	for i, n := range f.nodes {
		n.settings["seeds"] = seeds
		n.process = startProcess(c, fmt.Sprintf("n%d", i), "buckthornport-fleet", "--settings", writeJSON(c, n.settings))
	}
	for _, n := range f.nodes {
		waitUntil(c, "a ready node", func() bool { return httpOK(n.address("ready"), "/readyz") })
	}
	waitUntil(c, "a first answer", func() bool { return f.tryOrdinary() == nil })
	return f
}

func (n *node) address(key string) string {
	return n.settings[key].(string)
}

// assertServes checks the bounds of all nodes, and that an ordinary request is answered.
func (f *fleet) assertServes() {
	f.c.Helper()
	var err error
	for range attempts {
		if err = f.tryOrdinary(); err == nil {
			break
		}
		time.Sleep(200 * time.Millisecond)
	}
	f.c.Check(err, qt.IsNil)
	for _, n := range f.nodes {
		n.assertBounds(memoryMB)
	}
}

// tryOrdinary sends one read and one write as an ordinary caller does.
func (f *fleet) tryOrdinary() error {
	k, err := f.dial()
	if err != nil {
		return err
	}
	defer k.close()
	for _, text := range []string{"READ item", "WRITE item data"} {
		if err := k.run(text); err != nil {
			return err
		}
	}
	return nil
}

// line is a connection of a caller that speaks the line protocol.
type line struct {
	conn net.Conn
	r    *bufio.Reader
}

func (l *line) close() {
	_ = l.conn.Close()
}

// dial opens a session at the first node. Its receive buffer is small, so that answers which are not read stay at the node.
func (f *fleet) dial() (*line, error) {
	conn, err := net.Dial("tcp", f.nodes[0].address("listen"))
	if err != nil {
		return nil, err
	}
	_ = conn.(*net.TCPConn).SetReadBuffer(16 << 10)
	k := &line{conn: conn, r: bufio.NewReader(conn)}
	_ = conn.SetDeadline(time.Now().Add(answerTimeout))
	if _, err = fmt.Fprint(conn, "STARTUP ledger user\r\n"); err == nil {
		err = k.awaitReady()
	}
	if err != nil {
		k.close()
		return nil, err
	}
	return k, nil
}

// awaitReady reads an answer up to READY. An ERROR message is an error.
func (l *line) awaitReady() error {
	var failure error
	for {
		text, err := l.r.ReadString('\n')
		switch {
		case err != nil:
			return errors.Join(failure, err)
		case strings.HasPrefix(text, "READY"):
			return failure
		case strings.HasPrefix(text, "ERROR"):
			failure = errors.New(text)
		}
	}
}

func (l *line) run(text string) error {
	_ = l.conn.SetDeadline(time.Now().Add(answerTimeout))
	if _, err := fmt.Fprintf(l.conn, "QUERY q1 %s\r\n", text); err != nil {
		return err
	}
	return l.awaitReady()
}

// send writes in pieces until the connection fails, which a program may do to a crowd.
func send(conn net.Conn, text string, piece int) error {
	_ = conn.SetWriteDeadline(time.Now().Add(answerTimeout))
	for len(text) > 0 {
		n := min(piece, len(text))
		if _, err := io.WriteString(conn, text[:n]); err != nil {
			return err
		}
		text = text[n:]
	}
	return nil
}

// crowd runs f for n callers at once and waits until all have returned.
func crowd(n int, f func(i int)) {
	var all sync.WaitGroup
	for i := range n {
		all.Go(func() { f(i) })
	}
	all.Wait()
}

// crowdSessions opens up to n sessions, which stay open until the test ends, and runs f for all at once.
func (f *fleet) crowdSessions(n int, use func(k *line)) {
	f.c.Helper()
	crowd(n, func(int) {
		if k, err := f.dial(); err == nil {
			f.c.Cleanup(k.close)
			use(k)
		}
	})
}

// crowdOf opens n connections to an address that stay open until the test ends, and sends text on each.
func crowdOf(c *qt.C, n int, address, text string) {
	c.Helper()
	crowd(n, func(int) {
		conn, err := net.DialTimeout("tcp", address, answerTimeout)
		if err != nil {
			return
		}
		c.Cleanup(func() { _ = conn.Close() })
		_ = send(conn, text, len(text))
	})
	// The programs see what has arrived.
	time.Sleep(500 * time.Millisecond)
}

func freeAddress(c *qt.C) string {
	c.Helper()
	address, err := loopback.FreeAddress()
	c.Assert(err, qt.IsNil)
	return address
}

func writeJSON(c *qt.C, v any) string {
	c.Helper()
	raw, err := json.Marshal(v)
	c.Assert(err, qt.IsNil)
	name := filepath.Join(c.TempDir(), "settings.json")
	c.Assert(os.WriteFile(name, raw, 0o600), qt.IsNil)
	return name
}

func waitUntil(c *qt.C, what string, f func() bool) {
	c.Helper()
	for range 1500 {
		if f() {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	c.Fatalf("timed out waiting for: %s", what)
}
