//go:build review

package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	heartbeat      = 1200 * time.Millisecond
	promoteTime    = time.Second
	workTime       = 8 * time.Millisecond
	connectTime    = 12 * time.Millisecond
	replicateEvery = 2 * time.Millisecond
	applyDelay     = 60 * time.Millisecond
	maxConns       = 33
)

// entry is one commit of a server's log. It is immutable.
type entry struct {
	term   uint64
	number uint64
	writes map[string]string
}

// promotion is the log with which a server began to lead a term.
type promotion struct {
	server string
	term   uint64
	at     time.Time
	held   map[string]bool
}

// group is one service: three servers, the first of which is the primary. mu guards all fields of the group and its servers.
type group struct {
	mu      sync.Mutex
	name    string
	store   *store
	rec     *recorder
	servers []*server
	term    uint64
	// committed maps the data of each commit that a primary has run to its term.
	committed  map[string]uint64
	promotions []promotion
	// ran holds the ids of the statements that servers have begun to run.
	ran map[string]bool
}

// server is one database server.
type server struct {
	group    *group
	id       string
	zone     string
	address  string
	listener net.Listener
	conns    map[net.Conn]bool
	up       bool
	// deaf is set while the server receives nothing from its primary.
	deaf       bool
	state      string
	primary    bool
	term       uint64
	paused     uint64
	log        []entry
	receivedAt []time.Time
	born       int64
	seq        int64
	signed     int
	// reachesNew is since when an old primary can reach the primary of a later term.
	reachesNew time.Time
	// slow is the time that a commit takes in addition.
	slow time.Duration
}

func newGroup(name string, zones []string, st *store, rec *recorder) (*group, error) {
	g := &group{name: name, store: st, rec: rec, term: 1, committed: map[string]uint64{}, ran: map[string]bool{}}
	for i, z := range zones {
		s := &server{group: g, id: fmt.Sprintf("i-%s-%c", name, 'p'+i), zone: z, term: 1, primary: i == 0}
		g.servers = append(g.servers, s)
		if err := s.start(); err != nil {
			return nil, err
		}
	}
	go g.replicate()
	return g, nil
}

// start listens and checks in at the store. A server keeps its address and its log.
func (s *server) start() error {
	address := s.address
	if address == "" {
		address = "127.0.0.1:0"
	}
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	s.group.mu.Lock()
	s.listener, s.address, s.conns, s.up, s.state = l, l.Addr().String(), map[net.Conn]bool{}, true, "ready"
	s.born, s.paused = time.Now().UnixMilli(), 0
	s.group.mu.Unlock()
	go s.accept(l)
	go s.checkIn(s.born)
	return nil
}

// crash closes all connections and the listener. Nothing is said to the store.
func (s *server) crash() {
	s.group.mu.Lock()
	defer s.group.mu.Unlock()
	s.up = false
	_ = s.listener.Close()
	for c := range s.conns {
		_ = c.Close()
	}
}

// forget removes all that a server holds, while it is down.
func (s *server) forget() {
	s.group.mu.Lock()
	defer s.group.mu.Unlock()
	s.log, s.receivedAt, s.term, s.seq, s.primary = nil, nil, 0, 0, false
}

// checkIn writes the server's entry at intervals while the server runs.
func (s *server) checkIn(born int64) {
	for {
		s.group.mu.Lock()
		if !s.up || s.born != born {
			s.group.mu.Unlock()
			return
		}
		s.writeEntry()
		s.group.mu.Unlock()
		time.Sleep(heartbeat)
	}
}

// writeEntry writes the server's entry to the store. mu must be held.
func (s *server) writeEntry() {
	s.seq++
	role := "replica"
	if s.primary {
		role = "primary"
	}
	raw, err := json.Marshal(map[string]any{
		"Service": s.group.name, "Addr": s.address, "Zone": s.zone, "Version": "v1", "Capacity": 5, "State": s.state,
		"WarmupLeftMs": 0, "Seq": s.seq, "DbRole": role, "born": s.born,
	})
	if err != nil {
		panic(err)
	}
	s.group.store.put("servers", s.id, raw)
	s.group.store.expire("servers", s.id, 3*heartbeat)
}

// setDeaf makes a replica receive nothing, or receive again.
func (s *server) setDeaf(deaf bool) {
	s.group.mu.Lock()
	defer s.group.mu.Unlock()
	s.deaf = deaf
}

// replicate copies the log of the leading primary to the replicas that can receive it, for as long as the program runs.
func (g *group) replicate() {
	for range time.Tick(replicateEvery) {
		g.mu.Lock()
		var lead *server
		for _, s := range g.servers {
			if s.up && s.primary && (lead == nil || s.term > lead.term) {
				lead = s
			}
		}
		for _, s := range g.servers {
			if lead != nil && s != lead && s.up && !s.deaf {
				s.receive(lead)
			}
		}
		g.mu.Unlock()
	}
}

// receive makes a replica hold the log of its primary. An old primary steps down a second after it can reach the new one. mu must
// be held.
func (s *server) receive(lead *server) {
	if s.primary {
		if s.reachesNew.IsZero() {
			s.reachesNew = time.Now()
		}
		if time.Since(s.reachesNew) > time.Second {
			s.primary = false
		}
		return
	}
	if s.paused != 0 && s.paused > lead.term {
		return
	}
	s.paused, s.term, s.reachesNew = 0, lead.term, time.Time{}
	if len(s.log) == len(lead.log) && (len(s.log) == 0 || s.last().term == lead.last().term) {
		return
	}
	shared := 0
	for shared < min(len(s.log), len(lead.log)) && s.log[shared].term == lead.log[shared].term {
		shared++
	}
	s.receivedAt = slices.Clone(s.receivedAt[:shared])
	for range lead.log[shared:] {
		s.receivedAt = append(s.receivedAt, time.Now())
	}
	s.log = slices.Clone(lead.log)
}

func (s *server) last() entry {
	return s.log[len(s.log)-1]
}

func (s *server) holds(e entry) bool {
	n := int(e.number)
	return len(s.log) >= n && s.log[n-1].term == e.term
}

// position returns the end of a log as TERM.NUMBER.
func (s *server) position(n int) string {
	if n == 0 {
		return fmt.Sprintf("%d.0", s.term)
	}
	return fmt.Sprintf("%d.%d", s.log[n-1].term, s.log[n-1].number)
}

// applied returns how many entries a read shows.
func (s *server) applied() int {
	if s.primary {
		return len(s.log)
	}
	n := len(s.log)
	for n > 0 && n <= len(s.receivedAt) && time.Since(s.receivedAt[n-1]) < applyDelay {
		n--
	}
	return n
}

// failover has a server lead the next term, with what it has received, promoteTime after the order. It returns an HTTP status.
func (g *group) failover(id, holder, token string) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	i := slices.IndexFunc(g.servers, func(s *server) bool { return s.id == id && s.up })
	g.rec.add("order to promote %s from %s, token %s, known %t", id, holder, token, i >= 0)
	if i < 0 {
		return 409
	}
	if s := g.servers[i]; !s.primary {
		time.AfterFunc(promoteTime, func() { g.promote(s) })
	}
	return 200
}

func (g *group) promote(s *server) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !s.up || s.primary && s.term == g.term {
		return
	}
	g.term++
	s.primary, s.term, s.paused = true, g.term, 0
	p := promotion{server: s.id, term: g.term, at: time.Now(), held: map[string]bool{}}
	for _, e := range s.log {
		for _, v := range e.writes {
			p.held[v] = true
		}
	}
	g.promotions = append(g.promotions, p)
	for _, o := range g.servers {
		g.rec.add("at the promotion of %s to term %d: %s up %t primary %t log end %s", s.id, g.term, o.id, o.up, o.primary,
			o.position(len(o.log)))
	}
	s.writeEntry()
}

// commit runs a commit at a primary and waits until a replica has received it. It returns false if that can't happen any more.
func (s *server) commit(writes map[string]string) bool {
	g := s.group
	g.mu.Lock()
	if !s.up || !s.primary {
		g.mu.Unlock()
		return false
	}
	e := entry{term: s.term, number: uint64(len(s.log) + 1), writes: writes}
	s.log, s.receivedAt = append(slices.Clone(s.log), e), append(slices.Clone(s.receivedAt), time.Now())
	for _, v := range writes {
		g.committed[v] = e.term
	}
	g.mu.Unlock()
	for {
		g.mu.Lock()
		ok := s.up && s.primary && s.holds(e)
		received := slices.ContainsFunc(g.servers, func(o *server) bool { return o != s && o.up && o.holds(e) })
		g.mu.Unlock()
		if received || !ok {
			return received && ok
		}
		time.Sleep(time.Millisecond)
	}
}

// noteRun records a statement that a server begins to run.
func (g *group) noteRun(s *server, id, text string) {
	g.mu.Lock()
	g.ran[id] = true
	g.mu.Unlock()
	g.rec.run(s.id, id, text)
}

func (g *group) hasRun(id string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.ran[id]
}

// setSlow sets the time that a commit takes in addition.
func (s *server) setSlow(d time.Duration) {
	s.group.mu.Lock()
	defer s.group.mu.Unlock()
	s.slow = d
}

func (s *server) accept(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		s.group.mu.Lock()
		full := len(s.conns) >= maxConns
		if s.up {
			s.conns[c] = true
		}
		s.group.mu.Unlock()
		go func() {
			defer func() {
				_ = c.Close()
				s.group.mu.Lock()
				delete(s.conns, c)
				s.group.mu.Unlock()
			}()
			if full {
				_, _ = fmt.Fprintf(c, "ERROR TOOMANY %s\r\n", s.id)
				return
			}
			time.Sleep(connectTime)
			(&backend{server: s, conn: c, state: "I", values: map[string]string{}, prepared: map[string]string{}}).serve()
		}()
	}
}

// backend serves one connection.
type backend struct {
	server   *server
	conn     net.Conn
	state    string
	readOnly bool
	writes   map[string]string
	values   map[string]string
	prepared map[string]string
}

func (b *backend) serve() {
	r := bufio.NewReader(b.conn)
	for {
		line, err := r.ReadString('\n')
		if err != nil {
			return
		}
		kind, rest, _ := strings.Cut(strings.TrimSuffix(line, "\r\n"), " ")
		out := ""
		switch kind {
		case "STARTUP":
			f := strings.Split(rest, " ")
			if f[0] != b.server.group.name || len(f) > 2 && f[2] != b.server.id {
				_, _ = fmt.Fprintf(b.conn, "ERROR WRONGNODE %s\r\n", b.server.id)
				return
			}
		case "QUERY":
			id, text, _ := strings.Cut(rest, " ")
			var ok bool
			if out, ok = b.query(id, text); !ok {
				return
			}
		default:
			return
		}
		b.server.group.mu.Lock()
		ready := fmt.Sprintf("READY %s %s\r\n", b.state, b.server.position(b.server.applied()))
		b.server.group.mu.Unlock()
		if _, err := fmt.Fprint(b.conn, out+ready); err != nil {
			return
		}
	}
}

func (b *backend) fail(code string) (string, bool) {
	if b.state == "T" {
		b.state = "E"
	}
	return "ERROR " + code + " " + b.server.id + "\r\n", true
}

func (b *backend) complete(rows string) (string, bool) {
	b.server.group.mu.Lock()
	defer b.server.group.mu.Unlock()
	b.server.signed++
	return fmt.Sprintf("%sCOMPLETE %s.%d\r\n", rows, b.server.id, b.server.signed), true
}

// query runs a statement. It returns false if the connection ends without an answer.
func (b *backend) query(id, text string) (string, bool) {
	s := b.server
	if rest, ok := strings.CutPrefix(text, "WAITLSN "); ok {
		position, query, _ := strings.Cut(rest, " ")
		if !s.covers(position) {
			return b.fail("LAGGING")
		}
		text = query
	}
	verb, rest, _ := strings.Cut(text, " ")
	if out, ok := b.control(verb, rest); ok {
		return out, true
	}
	s.group.noteRun(s, id, text)
	if verb == "EXECUTE" {
		name, arguments, _ := strings.Cut(rest, " ")
		mode, ok := b.prepared[name]
		if !ok {
			return b.fail("NOSTMT")
		}
		verb, rest = mode, arguments
	}
	if b.state == "E" && verb != "COMMIT" && verb != "ROLLBACK" {
		return b.fail("MALFORMED")
	}
	time.Sleep(workTime)
	s.group.mu.Lock()
	leads, slow := s.primary, s.slow
	s.group.mu.Unlock()
	item, data, _ := strings.Cut(rest, " ")
	if b.state == "T" && !b.readOnly && !leads && (verb != "COMMIT" || len(b.writes) > 0) && verb != "ROLLBACK" {
		return b.fail("READONLY")
	}
	switch verb {
	case "BEGIN":
		b.readOnly = rest == "READ"
		if !b.readOnly && !leads {
			return b.fail("READONLY")
		}
		b.state, b.writes = "T", map[string]string{}
		return b.complete("")
	case "READ":
		return b.complete("DATAROW " + s.read(item) + "\r\n")
	case "WRITE":
		if b.state == "T" {
			b.writes[item] = data
			return b.complete("")
		}
		if !leads {
			return b.fail("READONLY")
		}
		if !s.commit(map[string]string{item: data}) {
			return "", false
		}
		return b.complete("")
	case "COMMIT":
		writes, failed := b.writes, b.state == "E"
		b.state, b.writes = "I", nil
		if failed {
			return b.fail("ABORTED")
		}
		time.Sleep(slow)
		if len(writes) > 0 && !s.commit(writes) {
			return "", false
		}
		return b.complete("")
	case "ROLLBACK":
		b.state, b.writes = "I", nil
		return b.complete("")
	default:
		return b.fail("MALFORMED")
	}
}

// control runs the statements that only proxies send, and those that need no slot.
func (b *backend) control(verb, rest string) (string, bool) {
	s := b.server
	f := strings.Split(rest, " ")
	switch verb {
	case "SET":
		b.values[f[0]] = rest
		return "COMPLETE -\r\n", true
	case "PREPARE":
		b.prepared[f[0]] = f[1]
		return "COMPLETE -\r\n", true
	case "DEALLOCATE":
		delete(b.prepared, rest)
		return "COMPLETE -\r\n", true
	case "DISCARD":
		clear(b.values)
		clear(b.prepared)
		return "COMPLETE -\r\n", true
	}
	term, _ := strconv.ParseUint(f[0], 10, 64)
	s.group.mu.Lock()
	defer s.group.mu.Unlock()
	switch verb {
	case "STATUS":
	case "PAUSE":
		if !s.primary && term > s.group.term {
			s.paused = term
		}
	case "RESUME":
		s.paused = 0
	case "STEPDOWN":
		if s.primary && s.term < term {
			s.primary = false
		}
	default:
		return "", false
	}
	if verb != "STATUS" {
		s.group.rec.add("%s at %s", strings.TrimSpace(verb+" "+rest), s.id)
	}
	role := "replica"
	if s.primary {
		role = "primary"
	}
	return fmt.Sprintf("DATAROW %s %d %s %d %d 0 %d\r\nCOMPLETE -\r\n", role, s.term, s.position(len(s.log)), s.paused,
		applyDelay.Milliseconds(), len(s.conns)), true
}

// covers reports whether reads of the server show its log up to a position.
func (s *server) covers(position string) bool {
	var term, number uint64
	if _, err := fmt.Sscanf(position, "%d.%d", &term, &number); err != nil {
		return false
	}
	s.group.mu.Lock()
	defer s.group.mu.Unlock()
	n := s.applied()
	if n == 0 {
		return number == 0
	}
	e := s.log[n-1]
	return e.term > term || e.term == term && e.number >= number
}

// read returns the newest applied value of an item.
func (s *server) read(item string) string {
	s.group.mu.Lock()
	defer s.group.mu.Unlock()
	for i := s.applied() - 1; i >= 0; i-- {
		if v, ok := s.log[i].writes[item]; ok {
			return v
		}
	}
	return "none"
}
