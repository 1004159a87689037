package pgwire

import (
	"github.com/jackc/pgx/v5/pgproto3"

	"buckthornport.example/buckthornport/internal/caller"
)

// execution is one request on one upstream connection.
type execution struct {
	u        *UpstreamConn
	send     caller.Send
	x        *Exchange
	reply    caller.Replied
	out      []byte
	unsent   bool
	streamed bool
	tooLarge bool
	// swallowParse and swallowClose say, in order, which of the server's completions are not the caller's.
	swallowParse []bool
	swallowClose []bool
	prelude      int
	adds         []string
}

func (e *execution) run() error {
	switch e.send.Wrap {
	case caller.WrapWhole:
		return e.runWhole()
	case caller.WrapCommit:
		return e.runCommit()
	default:
		return e.runPlain()
	}
}

// runPlain sends the request as it is and passes its answer on.
func (e *execution) runPlain() error {
	if err := e.dispatch(append(e.preludeBytes(), e.requestBytes()...)); err != nil {
		return err
	}
	status, err := e.answer()
	e.reply.Open = status != 'I'
	return err
}

// runWhole puts the request and its key into a transaction of their own. The key follows the work, so that its row can
// hold the work's tag; a key that is taken rolls the work back.
func (e *execution) runWhole() error {
	first := append(e.preludeBytes(), query("BEGIN")...)
	e.prelude++
	if err := e.dispatch(append(first, e.requestBytes()...)); err != nil {
		return err
	}
	if status, err := e.answer(); err != nil || status != 'T' {
		if err == nil {
			e.patchStatus('I')
			_, err = e.u.query("ROLLBACK")
		}
		return err
	}
	e.patchStatus('I')
	return e.leaveKey(e.reply.Tag, append(query(insertOutcome(e.send.Key, e.reply.Tag)), query("COMMIT")...))
}

// runCommit inserts the key in the caller's own transaction just before its commit.
func (e *execution) runCommit() error {
	b := append(e.preludeBytes(), query(insertOutcome(e.send.Key, "COMMIT"))...)
	if err := e.dispatch(append(b, e.requestBytes()...)); err != nil {
		return err
	}
	if err := e.skipPrelude(); err != nil {
		return err
	}
	r, err := e.u.collect()
	if err != nil {
		return err
	}
	e.reply.Duplicate = r.code == uniqueViolation
	_, err = e.answer()
	return err
}

// leaveKey sends the key and the commit together, and replaces the answer by the error of a commit that failed.
func (e *execution) leaveKey(tag string, b []byte) error {
	if err := e.u.write(b); err != nil {
		return err
	}
	key, err := e.u.collect()
	if err != nil {
		return err
	}
	commit, err := e.u.collect()
	if err != nil {
		return err
	}
	e.reply.Tag = tag
	switch {
	case key.code == uniqueViolation:
		e.reply.Duplicate = true
	case key.code != "":
		e.failWith(key.raw)
	case commit.code != "":
		e.failWith(commit.raw)
	}
	return nil
}

func (e *execution) failWith(raw []byte) {
	e.reply.Failed = true
	e.out = appendMessage(append([]byte(nil), raw...), &pgproto3.ReadyForQuery{TxStatus: 'I'})
}

func query(sql string) []byte {
	return appendMessage(nil, &pgproto3.Query{String: sql})
}

// dispatch writes everything at once; only if not one byte left is the request surely unsent.
func (e *execution) dispatch(b []byte) error {
	n, err := e.u.conn.Write(b)
	e.unsent = err != nil && n == 0
	return err
}

// preludeBytes brings the connection's settings to those of the session.
func (e *execution) preludeBytes() []byte {
	want := e.x.vars.key()
	if want == e.u.vars {
		return nil
	}
	var b []byte
	if e.u.vars != "" {
		b = append(b, query("RESET ALL")...)
		e.prelude++
	}
	for _, v := range e.x.vars.values {
		b = append(b, query(v)...)
		e.prelude++
	}
	e.u.vars = want
	return b
}

// requestBytes is the request as this connection needs it: statements that it lacks are prepared first.
func (e *execution) requestBytes() []byte {
	if e.x.unit.simple != nil {
		return e.x.unit.simple
	}
	var b []byte
	for _, s := range e.x.unit.steps {
		b = e.appendStep(b, s)
	}
	return appendMessage(b, &pgproto3.Sync{})
}

func (e *execution) appendStep(b []byte, s step) []byte {
	switch {
	case s.kind == typeParse:
		b = appendMessage(b, &pgproto3.Close{ObjectType: 'S', Name: s.defines.name})
		e.swallowClose = append(e.swallowClose, true)
		e.swallowParse = append(e.swallowParse, false)
		e.adds = append(e.adds, s.defines.name)
	case s.uses.name != "" && !e.u.prepared[s.uses.name] && !e.adding(s.uses.name):
		b = append(b, s.uses.parse()...)
		e.swallowParse = append(e.swallowParse, true)
		e.adds = append(e.adds, s.uses.name)
	case s.kind == typeClose:
		e.swallowClose = append(e.swallowClose, false)
	}
	return append(b, s.bytes...)
}

func (e *execution) adding(name string) bool {
	for _, a := range e.adds {
		if a == name {
			return true
		}
	}
	return false
}

func (e *execution) skipPrelude() error {
	for ; e.prelude > 0; e.prelude-- {
		if _, err := e.u.collect(); err != nil {
			return err
		}
	}
	return nil
}

// answer reads the server's answer to the request itself and returns the status that it ends in.
func (e *execution) answer() (byte, error) {
	if err := e.skipPrelude(); err != nil {
		return 0, err
	}
	if e.send.Stale {
		e.out = appendMessage(e.out, &pgproto3.NoticeResponse{
			Severity: "NOTICE", SeverityUnlocalized: "NOTICE", Code: "01XP2",
			Message: "this read may miss the session's own work: no primary could be asked",
		})
	}
	for {
		var f frame
		var err error
		if f, err = e.u.next(); err != nil {
			return 0, err
		}
		if f.kind() == typeReadyForQuery {
			e.out = append(e.out, f...)
			e.keepPrepared()
			return f.body()[0], nil
		}
		if err := e.take(f); err != nil {
			return 0, err
		}
	}
}

// keepPrepared remembers the statements that the connection now has; after an error it may have none of them.
func (e *execution) keepPrepared() {
	for _, n := range e.adds {
		e.u.prepared[n] = !e.reply.Failed
	}
}

func (e *execution) take(f frame) error {
	switch f.kind() {
	case typeParameterStatus, typeNotification:
		return nil
	case typeParseComplete:
		if swallow(&e.swallowParse) {
			return nil
		}
	case typeCloseComplete:
		if swallow(&e.swallowClose) {
			return nil
		}
	case typeError:
		e.reply.Failed = true
	case typeCommandComplete:
		e.reply.Tag = cString(f.body())
	case typeCopyIn, typeCopyOut, typeCopyBoth:
		return e.u.write(appendMessage(nil, &pgproto3.CopyFail{Message: "COPY is not supported through this proxy"}))
	}
	return e.pass(f)
}

// pass adds a message to the answer, and streams what need not be held back.
func (e *execution) pass(f frame) error {
	if e.send.Hold {
		if len(e.out)+len(f) <= maxHeldBytes || f.kind() != 'D' {
			e.out = append(e.out, f...)
			return nil
		}
		e.tooLarge = true
		return nil
	}
	e.out = append(e.out, f...)
	if len(e.out) >= flushBytes {
		e.streamed = true
		e.x.caller.write(e.out)
		e.out = e.out[:0]
	}
	return nil
}

func swallow(list *[]bool) bool {
	if len(*list) == 0 {
		return false
	}
	first := (*list)[0]
	*list = (*list)[1:]
	return first
}

// patchStatus corrects the transaction status of an answer whose transaction was the proxy's own.
func (e *execution) patchStatus(status byte) {
	if n := len(e.out); n > 0 {
		e.out[n-1] = status
	}
}

// keep puts the answer where the decision that is to come will find it.
func (e *execution) keep() {
	e.x.failed = e.reply.Failed
	if e.tooLarge {
		e.out = errorBytes("ERROR", "54000", "the work is done, but its answer is too large to hold back", "", "", 'I')
	}
	if e.send.Hold {
		e.x.held = e.out
	}
}

// deliver gives an answer that is not held to its caller. It runs after the lane was told, so that the slot is free
// however slowly the caller reads.
func (e *execution) deliver() {
	if e.send.Hold {
		return
	}
	out := e.out
	if e.streamed || len(out) > flushBytes {
		go e.x.finish(out, out[len(out)-1])
		return
	}
	e.x.finish(out, out[len(out)-1])
}
