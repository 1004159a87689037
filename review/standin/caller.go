//go:build review

package main

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"slices"
	"strings"
	"sync/atomic"
	"time"
)

// answer is the answer to one statement.
type answer struct {
	id      string
	sentAt  time.Time
	endedAt time.Time
	rows    []string
	// signature is that of COMPLETE, code that of ERROR.
	signature string
	code      string
	state     string
}

func (a answer) success() bool {
	return a.code == "" && a.signature != ""
}

// promise reports whether the answer promises that nothing is kept.
func (a answer) promise() bool {
	return slices.Contains([]string{"BUSY", "ABORTED", "LAGGING", "READONLY", "WRONGNODE", "TOOMANY"}, a.code)
}

// session is the connection of one caller.
type session struct {
	conn net.Conn
	r    *bufio.Reader
	rec  *recorder
	node string
}

var errRefused = errors.New("the connection was refused with an ERROR")

const answerWait = 6 * time.Second

func openSession(n *node, database string, rec *recorder) (*session, error) {
	c, err := net.DialTimeout("tcp", n.listen, 2*time.Second)
	if err != nil {
		return nil, err
	}
	s := &session{conn: c, r: bufio.NewReader(c), rec: rec, node: n.name}
	_ = c.SetDeadline(time.Now().Add(2 * time.Second))
	if _, err := fmt.Fprintf(c, "STARTUP %s review\r\n", database); err != nil {
		s.close()
		return nil, err
	}
	line, err := s.r.ReadString('\n')
	if err == nil && !strings.HasPrefix(line, "READY") {
		err = errRefused
	}
	if err != nil {
		s.close()
		return nil, err
	}
	return s, nil
}

func (s *session) close() {
	_ = s.conn.Close()
}

var lastID atomic.Uint64

// query sends a statement and reads the answer. An error means that the connection ended without a complete answer.
func (s *session) query(text string) (answer, error) {
	id := fmt.Sprintf("r%07d", lastID.Add(1))
	s.rec.add("sent to %s: %s %q", s.node, id, text)
	sentAt := time.Now()
	a, err := s.roundTrip(id, text)
	a.id, a.sentAt, a.endedAt = id, sentAt, time.Now()
	s.rec.add("answered by %s: %s code %q signature %q rows %q state %q error %v", s.node, id, a.code, a.signature, a.rows, a.state, err)
	return a, err
}

func (s *session) roundTrip(id, text string) (answer, error) {
	_ = s.conn.SetDeadline(time.Now().Add(answerWait))
	var a answer
	if _, err := fmt.Fprintf(s.conn, "QUERY %s %s\r\n", id, text); err != nil {
		return a, err
	}
	for {
		line, err := s.r.ReadString('\n')
		if err != nil {
			return a, err
		}
		kind, rest, _ := strings.Cut(strings.TrimSuffix(line, "\r\n"), " ")
		switch kind {
		case "DATAROW":
			a.rows = append(a.rows, rest)
		case "COMPLETE":
			a.signature = rest
		case "ERROR":
			a.code, _, _ = strings.Cut(rest, " ")
		case "READY":
			a.state, _, _ = strings.Cut(rest, " ")
			return a, nil
		}
	}
}
