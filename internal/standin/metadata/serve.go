package metadata

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"time"
)

// pollInterval is how often a connection checks whether an unresponsive server answers again.
const pollInterval = 5 * time.Millisecond

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

// backend serves one connection to a server.
type backend struct {
	platform *Platform
	server   *server
	// writes are those of the open transaction.
	writes map[string]string
	// txState is I outside of a transaction, T inside one, and E in one that has failed.
	txState   string
	prepared  map[string]string
	completed int
	// work is the time until the answer to the last message.
	work time.Duration
}

func (p *Platform) serve(s *server, c net.Conn) {
	defer func() {
		_ = c.Close()
		p.mu.Lock()
		delete(s.conns, c)
		p.mu.Unlock()
	}()
	b := &backend{platform: p, server: s, txState: "I", prepared: map[string]string{}}
	r := bufio.NewReader(c)
	for {
		text, err := r.ReadString('\n')
		if err != nil {
			return
		}
		out, ok := b.handleMessage(strings.TrimSuffix(text, "\r\n"))
		if !ok {
			return
		}
		time.Sleep(b.work)
		if _, err := fmt.Fprint(c, out); err != nil {
			return
		}
	}
}

// handleMessage runs one message and returns its answer. It returns false if the connection must be closed.
func (b *backend) handleMessage(text string) (string, bool) {
	command, rest, _ := strings.Cut(text, " ")
	for {
		b.platform.mu.Lock()
		if !b.server.unresponsive {
			break
		}
		b.platform.mu.Unlock()
		time.Sleep(pollInterval)
	}
	defer b.platform.mu.Unlock()
	b.work = 0
	switch command {
	case "STARTUP":
		fs := strings.Fields(rest)
		if len(fs) > 2 && fs[2] != b.server.id || fs[0] != b.server.group.name {
			return "ERROR WRONGNODE " + b.server.id + "\r\n", true
		}
		if g := b.server.group; g.connectionLimit > 0 && len(b.server.conns) > g.connectionLimit {
			g.rejectedConnections++
			return "ERROR TOOMANY " + b.server.id + "\r\n", true
		}
		return b.ready(""), true
	case "QUERY":
		id, query, _ := strings.Cut(rest, " ")
		if id != "-" {
			b.work = b.server.work
			b.platform.hasRun[id] = true
		}
		return b.runQuery(query)
	default:
		return "", false
	}
}

// ready returns the answer out, followed by READY with the transaction state and the position of the server.
func (b *backend) ready(out string) string {
	return out + "READY " + b.txState + " " + b.server.position() + "\r\n"
}

// fail returns an ERROR, and marks an open transaction as failed.
func (b *backend) fail(code string) (string, bool) {
	if b.txState == "T" {
		b.txState = "E"
	}
	return b.ready("ERROR " + code + " " + b.server.id + "\r\n"), true
}

func (b *backend) complete(rows string) (string, bool) {
	b.completed++
	return b.ready(fmt.Sprintf("%sCOMPLETE %s.%d\r\n", rows, b.server.id, b.completed)), true
}

// runQuery runs one statement. It returns false if the connection must be closed, such as after a commit that no replica
// received.
func (b *backend) runQuery(text string) (string, bool) {
	if rest, ok := strings.CutPrefix(text, "WAITLSN "); ok {
		position, query, _ := strings.Cut(rest, " ")
		if !b.server.hasApplied(position) {
			return b.fail("LAGGING")
		}
		text = query
	}
	fs := strings.Fields(text)
	if len(fs) == 0 {
		return b.fail("MALFORMED")
	}
	if out, ok := b.runControl(fs); ok {
		return out, true
	}
	if fs[0] == "EXECUTE" {
		prepared, ok := b.prepared[fs[1]]
		if !ok {
			return b.fail("NOSTMT")
		}
		fs = append([]string{prepared}, fs[2:]...)
	}
	return b.runStatement(fs)
}

func (b *backend) runStatement(fs []string) (string, bool) {
	switch fs[0] {
	case "READ":
		b.server.reads++
		v, ok := b.writes[fs[1]]
		if !ok {
			v = b.server.read(fs[1])
		}
		return b.complete("DATAROW " + v + "\r\n")
	case "BEGIN":
		if !b.server.primary && len(fs) == 1 {
			return b.fail("READONLY")
		}
		b.txState, b.writes = "T", map[string]string{}
		return b.complete("")
	case "WRITE":
		if !b.server.primary {
			return b.fail("READONLY")
		}
		if b.txState == "T" {
			b.writes[fs[1]] = fs[2]
			return b.complete("")
		}
		if !b.server.commit(map[string]string{fs[1]: fs[2]}) {
			return "", false
		}
		return b.complete("")
	case "COMMIT":
		writes := b.writes
		b.txState, b.writes = "I", nil
		if len(writes) > 0 && (!b.server.primary || !b.server.commit(writes)) {
			return "", false
		}
		return b.complete("")
	case "ROLLBACK", "SET":
		if fs[0] == "ROLLBACK" {
			b.txState, b.writes = "I", nil
		}
		return b.complete("")
	default:
		return b.fail("MALFORMED")
	}
}

// runControl runs the statements that only proxies send. It returns false for other statements.
func (b *backend) runControl(fs []string) (string, bool) {
	s := b.server
	switch fs[0] {
	case "STATUS":
	case "PAUSE":
		var term uint64
		if _, err := fmt.Sscan(fs[1], &term); err == nil && !s.primary && term > s.term {
			s.pausedTerm = term
		}
	case "RESUME":
		s.pausedTerm = 0
	case "STEPDOWN":
		var term uint64
		if _, err := fmt.Sscan(fs[1], &term); err == nil && s.primary && s.term < term {
			s.primary, s.term = false, term
			for _, o := range s.group.servers {
				if o.primary && o.term == s.group.term {
					s.log, s.receivedAt = append([]entry(nil), o.log...), append([]time.Time(nil), o.receivedAt...)
				}
			}
		}
	case "DISCARD":
		clear(b.prepared)
		out, _ := b.complete("")
		return out, true
	case "PREPARE":
		b.prepared[fs[1]] = fs[2]
		out, _ := b.complete("")
		return out, true
	default:
		return "", false
	}
	role := "replica"
	if s.primary {
		role = "primary"
	}
	out, _ := b.complete(fmt.Sprintf("DATAROW %s %d %s %d 0 0 %d\r\n", role, s.term, s.position(), s.pausedTerm, len(s.conns)))
	return out, true
}
