package pgwire

import (
	"bytes"
	"fmt"
	"strings"

	"github.com/jackc/pgx/v5/pgproto3"

	"buckthornport.example/buckthornport/internal/caller"
	"buckthornport.example/buckthornport/pkg/session"
)

// finish writes the last bytes of an answer and lets its caller go on; the order keeps a next answer from overtaking.
func (x *Exchange) finish(out []byte, status byte) {
	c := x.caller
	c.write(out)
	c.status = status
	c.mu.Lock()
	if c.current == x {
		c.current = nil
	}
	ending := c.ending
	c.mu.Unlock()
	select {
	case c.answered <- struct{}{}:
	default:
	}
	if ending && status == 'I' {
		c.sayGoodbye()
	}
}

// Release sends a held answer together with the session's new token.
func (x *Exchange) Release(floor session.Position) {
	status := byte('I')
	if n := len(x.held); n > 0 {
		status = x.held[n-1]
	}
	body := x.held
	if n := len(body) - readyBytes; n >= 0 {
		body = body[:n]
	}
	x.send(body, floor, status)
}

// Complete sends the outcome that was recorded under a request's key.
func (x *Exchange) Complete(tag string, floor session.Position) {
	b := localExtended(x.unit, nil)
	b = appendMessage(b, &pgproto3.CommandComplete{CommandTag: []byte(tag)})
	x.send(b, floor, 'I')
}

// send writes an answer without its ReadyForQuery, the token if the floor has risen, and then ReadyForQuery.
func (x *Exchange) send(body []byte, floor session.Position, status byte) {
	c := x.caller
	out := bytes.Clone(body)
	c.mu.Lock()
	raised := floor.Compare(c.floor) > 0
	if raised {
		c.floor = floor
	}
	c.mu.Unlock()
	if raised {
		out = appendMessage(out, &pgproto3.ParameterStatus{Name: tokenParameter, Value: c.token()})
	}
	out = appendMessage(out, &pgproto3.ReadyForQuery{TxStatus: status})
	x.finish(out, status)
}

// Refuse sends a refusal as an error with its SQLSTATE, its key and a hint when to try again.
func (x *Exchange) Refuse(a caller.Refuse) {
	status := byte('I')
	if a.Failed {
		status = 'E'
	}
	x.failed = true
	detail := "request=" + x.caller.requestID(x.seq)
	if a.Refusal.Key != "" {
		detail = "key=" + a.Refusal.Key + " " + detail
	}
	out := errorBytes("ERROR", a.Refusal.SQLState(), a.Refusal.Error(), detail, hint(a.Refusal), status)
	x.finish(out, status)
}

func hint(r caller.Refusal) string {
	var hs []string
	if r.Reason == caller.ReasonUnknown && r.Key != "" {
		hs = append(hs, fmt.Sprintf("settle it with: buckthornport outcome %s", r.Key))
	}
	if r.Retry > 0 {
		hs = append(hs, fmt.Sprintf("retry after %d ms", r.Retry.Milliseconds()))
	}
	return strings.Join(hs, "; ")
}

// EndSession closes a session between two requests because the node is leaving.
func (c *CallerConn) EndSession() {
	c.mu.Lock()
	c.ending = true
	busy := c.current != nil
	c.mu.Unlock()
	if !busy {
		c.sayGoodbye()
	}
}

func (c *CallerConn) sayGoodbye() {
	c.write(errorBytes("FATAL", "57P01", "this proxy is leaving, connect again", "", "", 0))
	c.Close()
}
