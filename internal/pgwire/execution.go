package pgwire

import (
	"math/bits"
	"slices"

	"github.com/jackc/pgx/v5/pgproto3"

	"buckthornport.example/buckthornport/internal/budget"
	"buckthornport.example/buckthornport/internal/caller"
)

// execution runs one request on one upstream connection.
type execution struct {
	conn     *UpstreamConn
	action   caller.Send
	exchange *Exchange
	reply    caller.Replied
	// out is the part of the answer that was not sent to the caller yet.
	out []byte
	// unsent is set if no byte of the request was written to the server.
	unsent bool
	// streamed is set once a part of the answer was sent to the caller.
	streamed bool
	// tooLarge is set if rows of a held answer were dropped because it exceeds maxHeldBytes.
	tooLarge bool
	// hideParseComplete and hideCloseComplete have one element per completion message that the server will send, in order. It is true
	// if the completion answers a message that the proxy added, and so must be hidden from the caller.
	hideParseComplete []bool
	hideCloseComplete []bool
	// setupReplies counts the replies to setup statements that precede the answer.
	setupReplies int
	// newStatements are the names of the statements that the request prepares on the connection.
	newStatements []string
}

func (e *execution) run() error {
	switch e.action.KeyInsert {
	case caller.KeyInsertTransaction:
		return e.runInTransaction()
	case caller.KeyInsertBeforeCommit:
		return e.runBeforeCommit()
	default:
		return e.runPlain()
	}
}

// runPlain sends the request without an idempotency key and forwards its answer.
func (e *execution) runPlain() error {
	if err := e.writeRequest(append(e.setupBytes(), e.requestBytes()...)); err != nil {
		return err
	}
	status, err := e.readAnswer()
	e.reply.TransactionOpen = status != 'I'
	return err
}

// runInTransaction runs the request and the insert of its idempotency key in a transaction of the proxy. The key is inserted after
// the request, because its row holds the request's command tag. If the key already exists, the transaction is rolled back.
func (e *execution) runInTransaction() error {
	first := append(e.setupBytes(), queryMessage("BEGIN")...)
	e.setupReplies++
	if err := e.writeRequest(append(first, e.requestBytes()...)); err != nil {
		return err
	}
	if status, err := e.readAnswer(); err != nil || status != 'T' {
		if err == nil {
			e.setTxStatus('I')
			_, err = e.conn.query("ROLLBACK")
		}
		return err
	}
	e.setTxStatus('I')
	return e.commitWithKey(e.reply.Tag, append(queryMessage(insertOutcomeSQL(e.action.Key, e.reply.Tag)), queryMessage("COMMIT")...))
}

// runBeforeCommit inserts the idempotency key in the caller's own transaction, directly before the caller's commit.
func (e *execution) runBeforeCommit() error {
	b := append(e.setupBytes(), queryMessage(insertOutcomeSQL(e.action.Key, "COMMIT"))...)
	if err := e.writeRequest(append(b, e.requestBytes()...)); err != nil {
		return err
	}
	if err := e.skipSetup(); err != nil {
		return err
	}
	r, err := e.conn.readReply()
	if err != nil {
		return err
	}
	e.reply.Duplicate = r.code == uniqueViolation
	_, err = e.readAnswer()
	return err
}

// commitWithKey sends the statements that insert the idempotency key and commit in one write. If the key already exists, the reply
// is marked as a duplicate. If one of the statements fails for another reason, its error replaces the answer.
func (e *execution) commitWithKey(tag string, b []byte) error {
	if err := e.conn.write(b); err != nil {
		return err
	}
	key, err := e.conn.readReply()
	if err != nil {
		return err
	}
	commit, err := e.conn.readReply()
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

// failWith replaces the answer with a server's error message.
func (e *execution) failWith(raw []byte) {
	e.reply.Failed = true
	e.out = appendMessage(append([]byte(nil), raw...), &pgproto3.ReadyForQuery{TxStatus: 'I'})
}

func queryMessage(sql string) []byte {
	return appendMessage(nil, &pgproto3.Query{String: sql})
}

// writeRequest sends the whole request in one write. After a failed write the request counts as unsent only if no byte was
// written; otherwise the server may have run it.
func (e *execution) writeRequest(b []byte) error {
	n, err := e.conn.conn.Write(b)
	e.unsent = err != nil && n == 0
	return err
}

// setupBytes returns the statements that change the connection's settings to those of the session, and records the settings as
// applied.
func (e *execution) setupBytes() []byte {
	script := e.exchange.settings.digest()
	if script == e.conn.appliedSettings {
		return nil
	}
	var b []byte
	if e.conn.appliedSettings != "" {
		b = append(b, queryMessage("RESET ALL")...)
		e.setupReplies++
	}
	for _, sql := range e.exchange.settings.statements {
		b = append(b, queryMessage(sql)...)
		e.setupReplies++
	}
	e.conn.appliedSettings = script
	return b
}

// requestBytes returns the messages of the request. It adds a Parse message for each statement that the request uses and the
// connection has not prepared.
func (e *execution) requestBytes() []byte {
	if e.exchange.request.simple != nil {
		return e.exchange.request.simple
	}
	var b []byte
	for _, s := range e.exchange.request.steps {
		b = e.appendStep(b, s)
	}
	return appendMessage(b, &pgproto3.Sync{})
}

// appendStep appends the messages of one step. A Parse message is preceded by a Close, because the connection may already
// have prepared the statement.
func (e *execution) appendStep(b []byte, s step) []byte {
	switch {
	case s.kind == typeParse:
		b = appendMessage(b, &pgproto3.Close{ObjectType: 'S', Name: s.defines.name})
		e.hideCloseComplete = append(e.hideCloseComplete, true)
		e.hideParseComplete = append(e.hideParseComplete, false)
		e.newStatements = append(e.newStatements, s.defines.name)
	case s.uses.name != "" && !e.conn.prepared[s.uses.name] && !e.isNew(s.uses.name):
		b = append(b, s.uses.parseMessage()...)
		e.hideParseComplete = append(e.hideParseComplete, true)
		e.newStatements = append(e.newStatements, s.uses.name)
	case s.kind == typeClose:
		e.hideCloseComplete = append(e.hideCloseComplete, false)
	}
	return append(b, s.bytes...)
}

// isNew reports whether the request itself prepares the statement with the given name.
func (e *execution) isNew(name string) bool {
	for _, n := range e.newStatements {
		if n == name {
			return true
		}
	}
	return false
}

// skipSetup reads and discards the replies to the setup statements.
func (e *execution) skipSetup() error {
	for ; e.setupReplies > 0; e.setupReplies-- {
		if _, err := e.conn.readReply(); err != nil {
			return err
		}
	}
	return nil
}

// readAnswer reads the server's answer to the request itself and returns the transaction status after it.
func (e *execution) readAnswer() (byte, error) {
	if err := e.skipSetup(); err != nil {
		return 0, err
	}
	if e.action.AllowStale {
		e.out = appendMessage(e.out, &pgproto3.NoticeResponse{
			Severity: "NOTICE", SeverityUnlocalized: "NOTICE", Code: "01XP2",
			Message: "this read may miss the session's own work: no primary could be asked",
		})
	}
	for {
		var f frame
		var err error
		if f, err = e.conn.readMessage(); err != nil {
			return 0, err
		}
		if f.typeByte() == typeReadyForQuery {
			e.out = append(e.out, f...)
			e.recordPrepared()
			return f.body()[0], nil
		}
		if err := e.handleMessage(f); err != nil {
			return 0, err
		}
	}
}

// recordPrepared records which statements the connection has prepared. After an error it is unknown which of them were, so all
// count as not prepared.
func (e *execution) recordPrepared() {
	for _, n := range e.newStatements {
		e.conn.prepared[n] = !e.reply.Failed
	}
}

// handleMessage processes one message of the answer. If the server starts a COPY, it answers with CopyFail.
func (e *execution) handleMessage(f frame) error {
	switch f.typeByte() {
	case typeParameterStatus, typeNotification:
		return nil
	case typeParseComplete:
		if popFirst(&e.hideParseComplete) {
			return nil
		}
	case typeCloseComplete:
		if popFirst(&e.hideCloseComplete) {
			return nil
		}
	case typeError:
		e.reply.Failed = true
	case typeCommandComplete:
		e.reply.Tag = cString(f.body())
	case typeCopyIn, typeCopyOut, typeCopyBoth:
		return e.conn.write(appendMessage(nil, &pgproto3.CopyFail{Message: "COPY is not supported through this proxy"}))
	}
	return e.forward(f)
}

// forward adds a message to the answer. An answer that is not held is sent to the caller whenever flushBytes are buffered. Rows
// that would make a held answer larger than maxHeldBytes are dropped.
func (e *execution) forward(f frame) error {
	if e.action.Hold {
		if f.typeByte() != 'D' || !e.tooLarge && e.reserveHeld(len(e.out)+len(f)) {
			e.out = append(e.out, f...)
			return nil
		}
		e.tooLarge = true
		return nil
	}
	if len(f) >= flushBytes {
		e.flush(e.out)
		e.flush(f)
		e.out = e.out[:0]
		return nil
	}
	e.out = append(e.out, f...)
	if len(e.out) >= flushBytes {
		e.flush(e.out)
		e.out = e.out[:0]
	}
	return nil
}

// reserveHeld reserves memory for n bytes of a held answer. It returns false, and drops what it has, if there is no memory for
// them. It does not wait for memory, because the connection to the server would wait as well.
func (e *execution) reserveHeld(n int) bool {
	charge := int64(1) << bits.Len(uint(heldCopies*n))
	if n <= maxHeldBytes && (charge <= budget.FreeBytes || e.exchange.caller.held.TryGrow(charge)) {
		if n > cap(e.out) {
			// In one step to what is reserved, as small steps leave more to the collector.
			e.out = slices.Grow(e.out, int(charge/heldCopies)-len(e.out))
		}
		return true
	}
	e.out = nil
	e.exchange.caller.held.Release()
	return false
}

// flush sends a part of the answer.
func (e *execution) flush(b []byte) {
	if len(b) > 0 {
		e.streamed = true
		e.exchange.caller.write(b)
	}
}

// popFirst removes and returns the first element. It returns false for an empty list.
func popFirst(list *[]bool) bool {
	if len(*list) == 0 {
		return false
	}
	first := (*list)[0]
	*list = (*list)[1:]
	return first
}

// setTxStatus replaces the transaction status at the end of the answer. The caller must not see the status of a transaction that
// the proxy opened.
func (e *execution) setTxStatus(status byte) {
	if n := len(e.out); n > 0 {
		e.out[n-1] = status
	}
}

// holdAnswer stores a held answer in the exchange until the lane releases it. An answer that is too large becomes an error.
func (e *execution) holdAnswer() {
	e.exchange.failed = e.reply.Failed
	if e.tooLarge {
		// The last message is ReadyForQuery, which ends with the status.
		status := e.out[len(e.out)-1]
		e.out = errorBytes("ERROR", "54000", "the work is done, but its answer is too large to hold back", "", "", status)
	}
	if !e.action.Hold {
		return
	}
	c := e.exchange.caller
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		c.held.Release()
		return
	}
	e.exchange.heldAnswer = e.out
}

// deliver sends an answer that is not held to its caller. It runs after the reply was posted to the lane, so that a slow caller
// does not occupy the slot. A large answer is sent from a new goroutine, so that a slow caller does not block the upstream
// connection.
func (e *execution) deliver() {
	if e.action.Hold {
		return
	}
	out := e.out
	if e.streamed || len(out) > flushBytes {
		go e.exchange.finish(out, out[len(out)-1])
		return
	}
	e.exchange.finish(out, out[len(out)-1])
}
