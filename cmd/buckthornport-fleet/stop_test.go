package main

import (
	"bufio"
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand"
	"net"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"buckthornport.example/buckthornport/internal/standin/loopback"
	"buckthornport.example/buckthornport/internal/standin/metadata"
)

const (
	// soakGrace is the time from SIGTERM to SIGKILL, as on the users' platform.
	soakGrace = 6 * time.Second
	// lossSlack is how long after its last byte a request that no server ran may be cut off without an answer.
	lossSlack = 200 * time.Millisecond
	// soakCallers is the number of callers for each process.
	soakCallers = 16
	// soakTime is how long a soak plays by default.
	soakTime = 30 * time.Second
	// answerTimeout exceeds the deadline of every route.
	answerTimeout = 8 * time.Second
)

const soakConfig = `{"Version":%d,"Routes":[
{"Name":"r1","Host":"ledger","Kind":"primary","TimeoutMs":1500,"TargetLatencyMs":400,"Priority":1,"Service":"books"},
{"Name":"r2","Host":"board","Kind":"bounded_staleness","TimeoutMs":2500,"Priority":2,"Service":"books","MaxStalenessMs":1500},
{"Name":"r3","Host":"tickets","Kind":"read_your_writes","TimeoutMs":2500,"Priority":2,"Service":"books","MaxStalenessMs":2500}],
"Services":[{"Name":"books","MaxConns":%d,"SyncReplicas":1}],"Limits":{"TxIdleMs":3000}%s}`

// soakTenants are the tenants of a configuration. The limit of the first one is far above what its callers ask for, so that it lets
// everything through but is asked about each operation; its second key is revoked and given back by turns.
const soakTenants = `,"Tenants":[{"Name":"shops","ApiKeys":[%s],"RatePerS":10000,"Burst":10000},
{"Name":"offices","ApiKeys":["key-offices"]}]`

// soak is a deployment of real processes that are stopped and started while callers use it.
type soak struct {
	c        *qt.C
	platform *metadata.Platform
	address  string
	random   *rand.Rand
	proxies  []*proxyProcess
	version  int
	conns    int
	// tenants is set if callers need keys.
	tenants bool
	end     time.Time

	mu sync.Mutex
	// faults describes the requests that were not handled as they must be.
	faults []string
	// written holds the data of acknowledged writes, refused that of writes which were answered with a promise that nothing is kept.
	written, refused map[string]string
	requests, cut    atomic.Int64
}

// proxyProcess is one proxy, which runs as one process after the other.
type proxyProcess struct {
	settings map[string]any
	file     string
	mu       sync.Mutex
	process  *exec.Cmd
	ended    chan struct{}
	// signals holds when the current process was sent which signal.
	signals []string
	stopped time.Time
	killed  bool
}

func environmentInt(c *qt.C, name string, otherwise int) int {
	v := os.Getenv(name)
	if v == "" {
		return otherwise
	}
	n, err := strconv.Atoi(v)
	c.Assert(err, qt.IsNil)
	return n
}

func newSoak(c *qt.C, seed int64, processes int, d time.Duration) *soak {
	c.Helper()
	s := &soak{
		c: c, platform: metadata.New(), random: rand.New(rand.NewSource(seed)), version: 3, written: map[string]string{},
		refused: map[string]string{}, conns: 4*processes + 4, tenants: seed%2 == 0,
	}
	if s.random.Intn(2) == 0 {
		// Too few connections for each proxy, so that a few of them serve the group for all.
		s.conns = max(8, 2*processes)
	}
	c.Assert(s.platform.AddGroup("books", []string{"a", "b", "m"}, 300*time.Millisecond), qt.IsNil)
	for i := range 3 {
		s.platform.ChangeServer("books", i, metadata.Work(time.Duration(1+s.random.Intn(60))*time.Millisecond))
	}
	s.putConfig()
	srv := httptest.NewServer(s.platform.Handler())
	c.Cleanup(srv.CloseClientConnections)
	s.address = strings.TrimPrefix(srv.URL, "http://")
	for i := range processes {
		s.proxies = append(s.proxies, s.newProxy(fmt.Sprintf("proxy-%d", i+1), []string{"a", "b", "m"}[i%3]))
	}
	for _, p := range s.proxies {
		p.settings["seeds"] = []string{s.proxies[0].address("peer"), s.proxies[len(s.proxies)-1].address("peer")}
		s.start(p)
	}
	c.Cleanup(func() {
		for _, p := range s.proxies {
			_ = p.process.Process.Kill()
			<-p.ended
		}
	})
	for _, p := range s.proxies {
		s.awaitReady(p)
	}
	s.end = time.Now().Add(d)
	return s
}

func (s *soak) putConfig() {
	s.version++
	tenants := ""
	if s.tenants {
		keys := []string{`"key-shops"`, `"key-shops","key-revoked"`}[s.version%2]
		tenants = fmt.Sprintf(soakTenants, keys)
	}
	s.platform.Put("op", "config", fmt.Appendf(nil, soakConfig, s.version, s.conns, tenants))
}

func (s *soak) newProxy(name, zone string) *proxyProcess {
	p := &proxyProcess{file: filepath.Join(s.c.TempDir(), name+".jsonc"), settings: map[string]any{
		"node": name, "zone": zone, "store": s.address, "orders": s.address, "cores": 0.4, "grace_ms": soakGrace.Milliseconds(),
		"log_level": "info",
		"zones":     []map[string]string{{"name": "a", "region": "r"}, {"name": "b", "region": "r"}, {"name": "m", "region": "q"}},
	}}
	for _, k := range []string{"listen", "ready", "peer"} {
		address, err := loopback.FreeAddress()
		s.c.Assert(err, qt.IsNil)
		p.settings[k] = address
	}
	return p
}

func (p *proxyProcess) address(key string) string {
	return p.settings[key].(string)
}

// start starts a process of the proxy. BUCKTHORNPORT_PROGRAM names another build to play with.
func (s *soak) start(p *proxyProcess) {
	raw, err := json.Marshal(p.settings)
	s.c.Assert(err, qt.IsNil)
	s.c.Assert(os.WriteFile(p.file, raw, 0o600), qt.IsNil)
	program := os.Getenv("BUCKTHORNPORT_PROGRAM")
	if program == "" {
		program = os.Args[0]
	}
	cmd := exec.Command(program, "--settings", p.file)
	// The race detector has a program wait for a second at its exit by default, which is no part of the product.
	cmd.Env = append(os.Environ(), runAsProgramEnv+"=1", "GORACE=atexit_sleep_ms=0")
	log, err := os.OpenFile(p.file+".log", os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	s.c.Assert(err, qt.IsNil)
	defer func() { _ = log.Close() }()
	cmd.Stdout, cmd.Stderr = log, log
	s.c.Assert(cmd.Start(), qt.IsNil)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = cmd.Wait()
	}()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.process, p.ended, p.signals, p.stopped, p.killed = cmd, ended, nil, time.Time{}, false
}

func (s *soak) awaitReady(p *proxyProcess) {
	for range 2000 {
		if p.endedByReload() {
			s.start(p)
		}
		if conn, err := net.Dial("tcp", p.address("listen")); err == nil {
			_, _ = fmt.Fprint(conn, "STARTUP ledger key-offices\r\n")
			l, _ := bufio.NewReader(conn).ReadString('\n')
			_ = conn.Close()
			if strings.HasPrefix(l, "READY") {
				return
			}
		}
		time.Sleep(10 * time.Millisecond)
	}
	signals, _, _ := p.state()
	s.c.Errorf("%s did not become ready; signals %v, log:\n%s", p.settings["node"], signals, p.drainLog())
}

// endedByReload reports whether SIGHUP has ended the process. No program can prevent that before its first instruction, and the
// platform starts a process again that ends by itself.
func (p *proxyProcess) endedByReload() bool {
	select {
	case <-p.ended:
		w, ok := p.process.ProcessState.Sys().(syscall.WaitStatus)
		return ok && w.Signaled() && w.Signal() == syscall.SIGHUP
	default:
		return false
	}
}

func (p *proxyProcess) signal(sig syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.signals = append(p.signals, fmt.Sprintf("%v at %s", sig, time.Now().Format("05.000")))
	if sig == syscall.SIGTERM && p.stopped.IsZero() {
		p.stopped = time.Now()
	}
	p.killed = p.killed || sig == syscall.SIGKILL
	_ = p.process.Process.Signal(sig)
}

func (p *proxyProcess) state() (signals []string, stopped time.Time, killed bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.signals, p.stopped, p.killed
}

// drainLog returns the lines about draining in the proxy's log.
func (p *proxyProcess) drainLog() string {
	raw, err := os.ReadFile(p.file + ".log")
	if err != nil {
		return err.Error()
	}
	var b strings.Builder
	for l := range strings.Lines(string(raw)) {
		if strings.Contains(l, `"kind":"drain"`) || strings.Contains(l, `"msg":"stop"`) {
			b.WriteString(l)
		}
	}
	return b.String()
}

// stop stops a proxy as the platform does, and starts it again. The platform may send the signal more than once.
func (s *soak) stop(p *proxyProcess, repeat time.Duration) {
	p.signal(syscall.SIGTERM)
	killAt := time.After(soakGrace)
	again := time.After(repeat)
	for running := true; running; {
		select {
		case <-p.ended:
			running = false
		case <-again:
			p.signal(syscall.SIGTERM)
		case <-killAt:
			signals, stopped, _ := p.state()
			s.fault("%s still runs at the end of its grace period; stopped at %s, signals %v, log:\n%s", p.settings["node"],
				stopped.Format(time.RFC3339Nano), signals, p.drainLog())
			p.signal(syscall.SIGKILL)
			<-p.ended
			running = false
		}
	}
	s.start(p)
}

// disturb plays changes in series that overlap: stops with one or more signals, reloads and configurations. One proxy is left
// alone.
func (s *soak) disturb() {
	var stops sync.WaitGroup
	defer stops.Wait()
	busy := make([]atomic.Bool, len(s.proxies))
	for time.Now().Before(s.end.Add(-soakGrace)) {
		time.Sleep(time.Duration(100+s.random.Intn(900)) * time.Millisecond)
		i := 1 + s.random.Intn(len(s.proxies)-1)
		repeat := time.Duration(s.random.Intn(2*int(soakGrace/time.Millisecond))) * time.Millisecond
		switch k := s.random.Intn(6); {
		case k < 4 && !busy[i].Swap(true):
			stops.Add(1)
			go func() {
				defer stops.Done()
				s.stop(s.proxies[i], repeat)
				s.awaitReady(s.proxies[i])
				busy[i].Store(false)
			}()
		case k == 4:
			s.proxies[i].signal(syscall.SIGHUP)
		default:
			s.putConfig()
		}
	}
}

func (s *soak) fault(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = append(s.faults, fmt.Sprintf(format, args...))
}

// caller is a caller of one proxy. It uses its connection until the proxy closes it.
type caller struct {
	s      *soak
	random *rand.Rand
	name   string
	// database is the one that the caller connects to.
	database string
	// key is the key of the caller's tenant.
	key   string
	n     int
	proxy *proxyProcess
	conn  net.Conn
	r     *bufio.Reader
}

// call plays operations with pauses until the soak ends.
func (s *soak) call(name string, p *proxyProcess, seed int64) {
	k := &caller{s: s, random: rand.New(rand.NewSource(seed)), name: name, proxy: p}
	k.database = []string{"ledger", "board", "tickets"}[k.random.Intn(3)]
	k.key = []string{"key-shops", "key-revoked", "key-offices"}[int(seed%3)]
	for time.Now().Before(s.end) {
		if k.conn == nil && !k.connect() {
			time.Sleep(20 * time.Millisecond)
			continue
		}
		if !k.operate() {
			_ = k.conn.Close()
			k.conn = nil
		}
		time.Sleep(time.Duration(k.random.Intn(120)) * time.Millisecond)
	}
}

func (k *caller) connect() bool {
	conn, err := net.Dial("tcp", k.proxy.address("listen"))
	if err != nil {
		return false
	}
	k.conn, k.r = conn, bufio.NewReader(conn)
	_ = conn.SetDeadline(time.Now().Add(2 * time.Second))
	_, _ = fmt.Fprintf(conn, "STARTUP %s %s\r\n", k.database, cmp.Or(k.key, "key-shops"))
	l, err := k.r.ReadString('\n')
	if err != nil || !strings.HasPrefix(l, "READY") {
		_ = conn.Close()
		k.conn = nil
		return false
	}
	return true
}

// operate runs one statement or a transaction with pauses. It returns false if the connection cannot be used any more.
func (k *caller) operate() bool {
	switch k.random.Intn(4) {
	case 0:
		return k.write()
	case 1:
		return k.transact()
	default:
		_, state := k.run("READ k")
		return state == "I"
	}
}

func (k *caller) write() bool {
	k.n++
	item, data := fmt.Sprintf("%s-%d", k.name, k.n), fmt.Sprint(k.n)
	code, state := k.run("WRITE " + item + " " + data)
	k.s.recordWrite(item, data, code, state)
	return state == "I"
}

func (k *caller) transact() bool {
	k.n++
	item, data := fmt.Sprintf("%s-%d", k.name, k.n), fmt.Sprint(k.n)
	texts := []string{"BEGIN"}
	for range 1 + k.random.Intn(6) {
		texts = append(texts, "WRITE "+item+" "+data)
	}
	for _, t := range texts {
		if code, state := k.run(t); code != "" || state != "T" {
			if state == "E" {
				_, state = k.run("ROLLBACK")
			}
			return state == "I"
		}
		time.Sleep(time.Duration(k.random.Intn(int(soakGrace/time.Millisecond)/5)) * time.Millisecond)
	}
	code, state := k.run("COMMIT")
	k.s.recordWrite(item, data, code, state)
	return state == "I"
}

func (s *soak) recordWrite(item, data, code, state string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case state == "I" && code == "":
		s.written[item] = data
	case code == "BUSY" || code == "ABORTED" || code == "READONLY":
		s.refused[item] = data
	}
}

// run sends a statement and returns the code of an error and the state of the session, "" if no complete answer arrives.
func (k *caller) run(text string) (code, state string) {
	k.s.requests.Add(1)
	id := fmt.Sprintf("%s.%d", k.name, k.s.requests.Load())
	signals, stopped, _ := k.proxy.state()
	sentAt := time.Now()
	_ = k.conn.SetDeadline(sentAt.Add(answerTimeout))
	_, err := fmt.Fprintf(k.conn, "QUERY %s %s\r\n", id, text)
	for err == nil {
		var l string
		if l, err = k.r.ReadString('\n'); err != nil {
			break
		}
		switch fs := strings.Fields(l); fs[0] {
		case "ERROR":
			code = fs[1]
		case "READY":
			return code, fs[1]
		}
	}
	k.s.recordCut(k.proxy, id, text, sentAt, stopped, signals, err)
	return "", ""
}

// recordCut records a request whose connection ended without a complete answer. That is a fault if a server has run the request, or
// if the proxy had it for longer than lossSlack.
func (s *soak) recordCut(p *proxyProcess, id, text string, sentAt, stopped time.Time, before []string, err error) {
	s.cut.Add(1)
	took := time.Since(sentAt)
	ran := s.platform.HasRun(id)
	if _, _, killed := p.state(); killed || !ran && took <= lossSlack {
		return
	}
	signals, _, _ := p.state()
	since := "before any signal"
	if !stopped.IsZero() {
		since = fmt.Sprintf("%v after SIGTERM", sentAt.Sub(stopped).Round(time.Millisecond))
	}
	timeout := errors.Is(err, os.ErrDeadlineExceeded)
	s.fault("%s at %s, sent %s, ended %v later without an answer (timeout %t, run by a server %t); signals before %v, after %v", text,
		p.settings["node"], since, took.Round(time.Millisecond), timeout, ran, before, signals)
}

func (s *soak) assertKept() {
	s.c.Helper()
	log := map[string]bool{}
	for _, w := range s.platform.Log("books") {
		log[w] = true
	}
	for item, data := range s.written {
		if !log[item+"="+data] {
			s.fault("acknowledged write of %s is lost", item)
		}
	}
	for item, data := range s.refused {
		if log[item+"="+data] {
			s.fault("write of %s was refused and is kept", item)
		}
	}
}

// TestStopsUnderLoad guards against requests that end without an answer around SIGTERM (LOST), although a server has run them. Real
// processes are stopped and started in series that overlap, while callers keep using their connections. BUCKTHORNPORT_SEED is the
// first seed, BUCKTHORNPORT_RUNS the number of seeds, BUCKTHORNPORT_PROCESSES the number of proxies and BUCKTHORNPORT_SECONDS the
// length of a run.
func TestStopsUnderLoad(t *testing.T) {
	c := qt.New(t)
	first := environmentInt(c, "BUCKTHORNPORT_SEED", 1)
	processes := environmentInt(c, "BUCKTHORNPORT_PROCESSES", 4)
	d := time.Duration(environmentInt(c, "BUCKTHORNPORT_SECONDS", int(soakTime/time.Second))) * time.Second
	for seed := first; seed < first+environmentInt(c, "BUCKTHORNPORT_RUNS", 2); seed++ {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			t.Parallel()
			playStops(qt.New(t), int64(seed), processes, d)
		})
	}
}

func playStops(c *qt.C, seed int64, processes int, d time.Duration) {
	s := newSoak(c, seed, processes, d)
	var callers sync.WaitGroup
	for i, p := range s.proxies {
		for j := range soakCallers {
			callers.Add(1)
			go func() {
				defer callers.Done()
				s.call(fmt.Sprintf("c%d-%d", i, j), p, seed<<16+int64(i*soakCallers+j))
			}()
		}
	}
	s.disturb()
	callers.Wait()
	s.assertKept()
	c.Logf("%d requests, %d cut, %d writes acknowledged, %d refused", s.requests.Load(), s.cut.Load(), len(s.written), len(s.refused))
	c.Assert(s.platform.Violations(), qt.HasLen, 0)
	c.Assert(s.faults, qt.HasLen, 0, qt.Commentf("%s", strings.Join(s.faults, "\n")))
}

// TestSecondSignal guards against a second SIGTERM that ends a draining process, with the requests that run in it (LOST, requests
// that end without an answer around SIGTERM at nyabugogo-stalls).
func TestSecondSignal(t *testing.T) {
	start := func(c *qt.C) (*proxyProcess, *caller) {
		s := newSoak(c, 1, 1, 0)
		s.platform.ChangeServer("books", 0, metadata.Work(time.Second))
		k := &caller{s: s, name: "c", proxy: s.proxies[0], database: "ledger"}
		c.Assert(k.connect(), qt.IsTrue)
		return s.proxies[0], k
	}
	t.Run("SIGTERM changes nothing", func(t *testing.T) {
		c := qt.New(t)
		p, k := start(c)
		for i := range 2 {
			time.AfterFunc(time.Duration(i+1)*250*time.Millisecond, func() { p.signal(syscall.SIGTERM) })
		}
		code, state := k.run("WRITE a 1")
		c.Assert(k.s.faults, qt.HasLen, 0)
		c.Assert([]string{code, state}, qt.DeepEquals, []string{"", "I"})
	})
	t.Run("SIGINT stops at once", func(t *testing.T) {
		c := qt.New(t)
		p, k := start(c)
		code, _ := k.run("BEGIN")
		c.Assert(code, qt.Equals, "")
		p.signal(syscall.SIGTERM)
		time.Sleep(soakGrace / 30) // Pending signals are not delivered in the order in which they were sent.
		p.signal(syscall.SIGINT)
		select {
		case <-p.ended:
		case <-time.After(soakGrace / 2):
			c.Fatal("the process still runs")
		}
	})
}
