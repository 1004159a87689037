package pgwire

import (
	"fmt"
	"strings"

	"github.com/jackc/pgx/v5/pgproto3"

	"buckthornport.example/buckthornport/internal/caller"
	"buckthornport.example/buckthornport/internal/traffic"
	"buckthornport.example/buckthornport/pkg/session"
)

// finish writes the last bytes of an answer and then unblocks the caller's goroutine. In this order the answer to the next request
// cannot overtake this one.
func (x *Exchange) finish(out []byte, status byte) {
	c := x.caller
	c.frames.hold.Release()
	if n, err := traffic.TryWrite(c.conn, out); err == nil && n < len(out) {
		// A caller that does not read must not hold the connection to the server.
		go x.finishRest(out[n:], status)
		return
	} else if err != nil {
		c.Close()
	}
	x.end(status)
}

// finishRest writes what the connection did not take at once.
func (x *Exchange) finishRest(out []byte, status byte) {
	x.caller.write(out)
	x.end(status)
}

// end unblocks the caller's goroutine after an answer.
func (x *Exchange) end(status byte) {
	c := x.caller
	c.held.Release()
	c.txStatus = status
	c.mu.Lock()
	if c.current == x {
		c.current = nil
	}
	closeWhenIdle := c.closeWhenIdle
	c.mu.Unlock()
	select {
	case c.answered <- struct{}{}:
	default:
	}
	if closeWhenIdle && status == 'I' {
		c.closeForDrain()
	}
}

// Release sends the held answer, and the session's new token if the floor has risen.
func (x *Exchange) Release(floor session.Position) {
	status := byte('I')
	if n := len(x.heldAnswer); n > 0 {
		status = x.heldAnswer[n-1]
	}
	body := x.heldAnswer
	x.heldAnswer = nil
	if n := len(body) - readyForQueryBytes; n >= 0 {
		body = body[:n]
	}
	x.send(body, floor, status)
}

// Complete answers with the command tag that an earlier run of the request recorded under its idempotency key.
func (x *Exchange) Complete(tag string, floor session.Position) {
	b := extendedReply(x.request, nil)
	b = appendMessage(b, &pgproto3.CommandComplete{CommandTag: []byte(tag)})
	x.send(b, floor, 'I')
}

// send writes the body of an answer, the session's new token if the floor has risen, and ReadyForQuery. The body ends before its
// own ReadyForQuery, and is overwritten.
func (x *Exchange) send(body []byte, floor session.Position, status byte) {
	c := x.caller
	out := body
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

// Refuse sends a refusal as an error. Its detail holds the request's ID and idempotency key, and its hint says how to resolve an
// in-doubt outcome and when to retry.
func (x *Exchange) Refuse(a caller.Refuse) {
	status := byte('I')
	if a.TransactionFailed {
		status = 'E'
	}
	x.failed = true
	detail := "request=" + x.caller.requestID(x.seq)
	if a.Refusal.Key != "" {
		detail = "key=" + a.Refusal.Key + " " + detail
	}
	out := errorBytes("ERROR", a.Refusal.SQLState(), a.Refusal.Error(), detail, refusalHint(a.Refusal), status)
	x.finish(out, status)
}

func refusalHint(r caller.Refusal) string {
	var hints []string
	if r.Reason == caller.ReasonUnknown && r.Key != "" {
		hints = append(hints, fmt.Sprintf("settle it with: buckthornport outcome %s", r.Key))
	}
	if r.Retry > 0 {
		hints = append(hints, fmt.Sprintf("retry after %d ms", r.Retry.Milliseconds()))
	}
	return strings.Join(hints, "; ")
}

// CloseWhenIdle closes the session because the node is draining. It closes an idle session at once. If a request is running, it
// closes the session after the next answer that leaves no transaction open.
func (c *CallerConn) CloseWhenIdle() {
	c.mu.Lock()
	c.closeWhenIdle = true
	busy := c.current != nil
	c.mu.Unlock()
	if !busy {
		c.closeForDrain()
	}
}

// closeForDrain sends an error that asks the caller to connect again, and closes the connection.
func (c *CallerConn) closeForDrain() {
	c.write(errorBytes("FATAL", "57P01", "this proxy is leaving, connect again", "", "", 0))
	c.Close()
}
