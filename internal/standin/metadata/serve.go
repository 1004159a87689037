package metadata

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"time"
)

// pollEvery is how often a connection looks whether a switch that holds it up is off again.
const pollEvery = 5 * time.Millisecond

func (p *Platform) accept(s *server) {
	for {
		c, err := s.listener.Accept()
		if err != nil {
			return
		}
		p.mu.Lock()
		down := s.down
		if !down {
			s.conns[c] = true
		}
		p.mu.Unlock()
		if down {
			_ = c.Close()
			continue
		}
		go p.serve(s, c)
	}
}

// backend is one connection to a server.
type backend struct {
	p        *Platform
	s        *server
	writes   map[string]string
	state    string
	prepared map[string]string
	count    int
}

func (p *Platform) serve(s *server, c net.Conn) {
	defer func() {
		_ = c.Close()
		p.mu.Lock()
		delete(s.conns, c)
		p.mu.Unlock()
	}()
	b := &backend{p: p, s: s, state: "I", prepared: map[string]string{}}
	r := bufio.NewReader(c)
	for {
		text, err := r.ReadString('\n')
		if err != nil {
			return
		}
		out, ok := b.take(strings.TrimSuffix(text, "\r\n"))
		if !ok {
			return
		}
		if _, err := fmt.Fprint(c, out); err != nil {
			return
		}
	}
}

// take runs one message and returns its answer.
func (b *backend) take(text string) (string, bool) {
	word, rest, _ := strings.Cut(text, " ")
	for {
		b.p.mu.Lock()
		if !b.s.dark {
			break
		}
		b.p.mu.Unlock()
		time.Sleep(pollEvery)
	}
	defer b.p.mu.Unlock()
	switch word {
	case "STARTUP":
		fs := strings.Fields(rest)
		if len(fs) > 2 && fs[2] != b.s.id || fs[0] != b.s.group.name {
			return "ERROR WRONGNODE " + b.s.id + "\r\n", true
		}
		if g := b.s.group; g.limit > 0 && len(b.s.conns) > g.limit {
			g.turnedAway++
			return "ERROR TOOMANY " + b.s.id + "\r\n", true
		}
		return b.ready(""), true
	case "QUERY":
		_, query, _ := strings.Cut(rest, " ")
		return b.query(query)
	default:
		return "", false
	}
}

func (b *backend) ready(out string) string {
	return out + "READY " + b.state + " " + b.s.position() + "\r\n"
}

func (b *backend) fail(code string) (string, bool) {
	if b.state == "T" {
		b.state = "E"
	}
	return b.ready("ERROR " + code + " " + b.s.id + "\r\n"), true
}

func (b *backend) done(rows string) (string, bool) {
	b.count++
	return b.ready(fmt.Sprintf("%sCOMPLETE %s.%d\r\n", rows, b.s.id, b.count)), true
}

// query runs one statement; false closes the connection, as a commit does that no replica receives.
func (b *backend) query(text string) (string, bool) {
	if rest, ok := strings.CutPrefix(text, "WAITLSN "); ok {
		position, query, _ := strings.Cut(rest, " ")
		if !b.s.covers(position) {
			return b.fail("LAGGING")
		}
		text = query
	}
	fs := strings.Fields(text)
	if len(fs) == 0 {
		return b.fail("MALFORMED")
	}
	if out, ok := b.control(fs); ok {
		return out, true
	}
	if fs[0] == "EXECUTE" {
		shape, ok := b.prepared[fs[1]]
		if !ok {
			return b.fail("NOSTMT")
		}
		fs = append([]string{shape}, fs[2:]...)
	}
	return b.statement(fs)
}

func (b *backend) statement(fs []string) (string, bool) {
	switch fs[0] {
	case "READ":
		b.s.reads++
		v, ok := b.writes[fs[1]]
		if !ok {
			v = b.s.value(fs[1])
		}
		return b.done("DATAROW " + v + "\r\n")
	case "BEGIN":
		if !b.s.primary && len(fs) == 1 {
			return b.fail("READONLY")
		}
		b.state, b.writes = "T", map[string]string{}
		return b.done("")
	case "WRITE":
		if !b.s.primary {
			return b.fail("READONLY")
		}
		if b.state == "T" {
			b.writes[fs[1]] = fs[2]
			return b.done("")
		}
		if !b.s.commit(map[string]string{fs[1]: fs[2]}) {
			return "", false
		}
		return b.done("")
	case "COMMIT":
		writes := b.writes
		b.state, b.writes = "I", nil
		if len(writes) > 0 && (!b.s.primary || !b.s.commit(writes)) {
			return "", false
		}
		return b.done("")
	case "ROLLBACK", "SET":
		if fs[0] == "ROLLBACK" {
			b.state, b.writes = "I", nil
		}
		return b.done("")
	default:
		return b.fail("MALFORMED")
	}
}

// control runs statements that only the proxy sends.
func (b *backend) control(fs []string) (string, bool) {
	s := b.s
	switch fs[0] {
	case "STATUS":
	case "PAUSE":
		var term uint64
		if _, err := fmt.Sscan(fs[1], &term); err == nil && !s.primary && term > s.term {
			s.held = term
		}
	case "RESUME":
		s.held = 0
	case "STEPDOWN":
		var term uint64
		if _, err := fmt.Sscan(fs[1], &term); err == nil && s.primary && s.term < term {
			s.primary, s.term = false, term
			for _, o := range s.group.servers {
				if o.primary && o.term == s.group.term {
					s.log, s.applied = append([]entry(nil), o.log...), append([]time.Time(nil), o.applied...)
				}
			}
		}
	case "DISCARD":
		clear(b.prepared)
		out, _ := b.done("")
		return out, true
	case "PREPARE":
		b.prepared[fs[1]] = fs[2]
		out, _ := b.done("")
		return out, true
	default:
		return "", false
	}
	role := "replica"
	if s.primary {
		role = "primary"
	}
	out, _ := b.done(fmt.Sprintf("DATAROW %s %d %s %d 0 0 %d\r\n", role, s.term, s.position(), s.held, len(s.conns)))
	return out, true
}
