package pgwire

import (
	"crypto/rand"
	"crypto/sha256"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"buckthornport.example/buckthornport/internal/budget"
	"buckthornport.example/buckthornport/internal/caller"
	"buckthornport.example/buckthornport/pkg/session"
)

const (
	callerBufferBytes  = 2 << 10
	callerWriteTimeout = 10 * time.Second
	tokenParameter     = "buckthornport.token"
	keyParameter       = "buckthornport.key"
)

// CallerConn is the connection of one caller. Its goroutine reads requests from the stream and waits for the answer to each before
// it reads the next.
type CallerConn struct {
	id           caller.SessionID
	listener     *Listener
	post         func(e caller.Event)
	conn         net.Conn
	account      *budget.Account
	frames       *frameReader
	user         string
	tenant       string
	database     string
	cancelSecret uint32
	statements   map[string]prepared
	settings     sessionSettings
	// kept is the reservation for the statements and settings, which have keptBytes. It is nil while they are few.
	kept      *budget.Hold
	keptBytes int64
	// held is the reservation for an answer that is held back and then written.
	held *budget.Hold
	// requestKey is the idempotency key that the caller set for its next request, or empty.
	requestKey string
	// generatedKeys counts the idempotency keys that the proxy made for the session.
	generatedKeys uint64
	// txStatus is the transaction status of the last ReadyForQuery.
	txStatus byte
	seq      uint64
	// answered receives a value when the current request has been answered. done is closed when the connection is closed.
	answered chan struct{}
	done     chan struct{}

	mu            sync.Mutex
	current       *Exchange
	floor         session.Position
	closed        bool
	closeWhenIdle bool
}

// Exchange is a caller's request together with the state of its answer.
type Exchange struct {
	caller     *CallerConn
	seq        uint64
	request    request
	settings   sessionSettings
	heldAnswer []byte
	failed     bool
}

// exchange returns the exchange with the given sequence number if its request still waits for an answer.
func (c *CallerConn) exchange(seq uint64) (*Exchange, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.current == nil || c.current.seq != seq {
		return nil, false
	}
	return c.current, true
}

// serve runs the session until the caller terminates it or the connection fails.
func (c *CallerConn) serve(token string) {
	defer c.end()
	c.post(c.openedEvent(token))
	for {
		var r request
		var err error
		if r, err = c.readRequest(); err != nil {
			c.rejectRequest(err)
			if !isRecoverable(err) {
				return
			}
			continue
		}
		if !c.handle(r) {
			return
		}
	}
}

func (c *CallerConn) end() {
	c.Close()
	c.frames.release()
	c.kept.Release()
	c.post(caller.SessionClosed{Session: c.id})
}

// Close closes the connection; its goroutine then ends the session.
func (c *CallerConn) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return
	}
	c.closed = true
	c.held.Release()
	close(c.done)
	_ = c.conn.Close()
}

// openedEvent returns the event of the new session. A token that is invalid or belongs to another database is ignored.
func (c *CallerConn) openedEvent(token string) caller.SessionOpened {
	e := caller.SessionOpened{Session: c.id, User: c.user}
	if token == "" {
		return e
	}
	if t, err := c.listener.signer.Verify(token); err == nil && t.Database == c.database {
		e.Floor, e.HasFloor = t.Floor, true
	}
	return e
}

// isRecoverable reports whether the session can go on after an error of readRequest.
func isRecoverable(err error) bool {
	var re *requestError
	return errors.As(err, &re)
}

// rejectRequest sends an error for a request that could not be parsed or is not supported. I/O errors get no answer.
func (c *CallerConn) rejectRequest(err error) {
	var re *requestError
	var f *FrameError
	switch {
	case errors.As(err, &re):
		c.write(errorBytes("ERROR", re.code, re.text, "", "", c.txStatus))
	case errors.As(err, &f):
		c.write(errorBytes("FATAL", "08P01", f.Error(), "", "", 0))
	}
}

// readRequest reads one request. It returns io.EOF after a Terminate message. After an error in an extended request it skips the
// messages up to the Sync.
func (c *CallerConn) readRequest() (request, error) {
	var r request
	c.frames.release()
	for {
		var b []byte
		var err error
		if b, err = c.frames.next(nil); err != nil {
			if errors.Is(err, errNoMemory) && c.frames.header[0] != typeQuery {
				err = c.skipToSync(err)
			}
			return r, err
		}
		switch f := frame(b); f.typeByte() {
		case typeQuery:
			return c.parseSimple(f)
		case typeSync:
			return r, nil
		case typeTerminate:
			return r, io.EOF
		case typePassword, 'd', 'c', 'f':
			continue
		default:
			if err := c.appendExtended(&r, f); err != nil {
				return r, c.skipToSync(err)
			}
		}
	}
}

// skipToSync skips messages up to the next Sync. It returns cause, or an error of the connection.
func (c *CallerConn) skipToSync(cause error) error {
	for {
		kind, err := c.frames.skipNext()
		if err != nil {
			return err
		}
		if kind == typeSync {
			return cause
		}
	}
}

func (c *CallerConn) parseSimple(f frame) (request, error) {
	var m pgproto3.Query
	if err := m.Decode(f.body()); err != nil {
		return request{}, &requestError{code: "08P01", text: "malformed Query: " + err.Error()}
	}
	info := c.listener.statements.Parse(m.String)
	if info.Unsupported != "" {
		return request{}, &requestError{code: "0A000", text: info.Unsupported}
	}
	return request{simple: f, info: info}, nil
}

// handle runs one request until it is answered. It returns false if the session has ended.
func (c *CallerConn) handle(r request) bool {
	if r.simple == nil && len(r.steps) == 0 {
		return c.write(appendMessage(nil, &pgproto3.ReadyForQuery{TxStatus: c.txStatus}))
	}
	if r.info.Local {
		return c.answerLocally(r)
	}
	if c.txStatus == 'I' && !c.checkAccess() {
		return false
	}
	if r.info.SetsSession {
		if err := c.keep(int64(len(r.sql()))); err != nil {
			c.rejectRequest(err)
			return true
		}
	}
	c.seq++
	x := &Exchange{caller: c, seq: c.seq, request: r, settings: c.settings}
	c.mu.Lock()
	c.current = x
	c.mu.Unlock()
	c.post(caller.RequestReceived{Session: c.id, Seq: c.seq, Statement: c.describe(r)})
	if !c.awaitAnswer() {
		return false
	}
	c.applyAnswer(x)
	return true
}

// checkAccess sets the tenant for the next transaction. If the user may no longer use the database, it tells the caller and returns
// false.
func (c *CallerConn) checkAccess() bool {
	t, err := c.listener.Access(c.user, c.database)
	if err != nil {
		c.write(errorBytes("FATAL", "28000", err.Error(), "", "", 0))
		return false
	}
	c.tenant = t
	return true
}

// awaitAnswer waits for the answer to the current request. It returns false if the connection was closed. It first waits for more
// data from the caller: this read fails at once if the caller disconnects during the request, so no second goroutine is needed to
// detect that.
func (c *CallerConn) awaitAnswer() bool {
	if _, err := c.frames.r.Peek(1); err != nil {
		return false
	}
	select {
	case <-c.answered:
		return !c.isClosed()
	case <-c.done:
		return false
	}
}

// applyAnswer updates the session's prepared statements and settings after an answer.
func (c *CallerConn) applyAnswer(x *Exchange) {
	if x.failed {
		for _, n := range x.request.parsedNames {
			c.removeStatement(n)
		}
		return
	}
	if x.request.info.SetsSession && c.txStatus == 'I' {
		c.settings = c.settings.with(x.request.info.Setting, x.request.sql())
	}
}

func (c *CallerConn) isClosed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closed
}

// describe returns what the lane's decisions need to know about a request.
func (c *CallerConn) describe(r request) caller.Statement {
	class, version := c.listener.Classify(c.database, r.info.Verb, r.info.Tables)
	s := caller.Statement{
		Kind: r.info.Kind, Class: class, Version: version, Writes: r.batchWrites(), ID: c.requestID(c.seq), Tenant: c.tenant,
	}
	if class.NotRepeatable && (r.info.Kind == caller.KindWrite || s.Writes) {
		s.Key = c.takeKey()
	}
	return s
}

// requestID returns the ID of a request of the session in logs and refusals.
func (c *CallerConn) requestID(seq uint64) string {
	return fmt.Sprintf("%s-%d-%d", c.listener.keyPrefix, c.id, seq)
}

// takeKey returns the idempotency key that the caller set for its next request, or else a new key.
func (c *CallerConn) takeKey() string {
	if k := c.requestKey; k != "" {
		c.requestKey = ""
		return k
	}
	c.generatedKeys++
	return fmt.Sprintf("%s-%d-%d", c.listener.keyPrefix, c.id, c.generatedKeys)
}

// answerLocally answers a request without a server, such as one for the proxy's own settings.
func (c *CallerConn) answerLocally(r request) bool {
	info := r.info
	var b []byte
	switch {
	case info.Tag == "SHOW":
		b = c.show(info.Setting)
	case info.Setting == tokenParameter:
		t, err := c.listener.signer.Verify(info.Value)
		if err != nil || t.Database != c.database {
			return c.write(errorBytes("ERROR", "22023", "token not accepted for this database", "", "", c.txStatus))
		}
		c.post(caller.TokenReceived{Session: c.id, Floor: t.Floor})
	case info.Setting == keyParameter:
		c.requestKey = info.Value
	case info.Tag == "DISCARD ALL", info.Tag == "DEALLOCATE":
		c.statements = map[string]prepared{}
		c.settings = sessionSettings{}
		c.keptBytes = 0
		c.kept.Release()
	default:
		return c.write(errorBytes("ERROR", "42704", fmt.Sprintf("unknown setting %q", info.Setting), "",
			"buckthornport.token and buckthornport.key can be set", c.txStatus))
	}
	if r.simple == nil {
		b = extendedReply(r, b)
	}
	b = appendMessage(b, &pgproto3.CommandComplete{CommandTag: []byte(info.Tag)})
	return c.write(appendMessage(b, &pgproto3.ReadyForQuery{TxStatus: c.txStatus}))
}

// extendedReply returns the answers to the Parse, Bind and Describe messages of a request, followed by a local result.
func extendedReply(r request, result []byte) []byte {
	var b []byte
	for _, s := range r.steps {
		switch s.kind {
		case typeParse:
			b = appendMessage(b, &pgproto3.ParseComplete{})
		case typeBind:
			b = appendMessage(b, &pgproto3.BindComplete{})
		case typeDescribe:
			b = appendMessage(b, &pgproto3.NoData{})
		}
	}
	return append(b, result...)
}

// show returns the result set of a SHOW of one of the proxy's own settings.
func (c *CallerConn) show(name string) []byte {
	value := c.requestKey
	if name == tokenParameter {
		value = c.token()
	}
	b := appendMessage(nil, &pgproto3.RowDescription{Fields: []pgproto3.FieldDescription{{
		Name: []byte(name), DataTypeOID: 25, DataTypeSize: -1, TypeModifier: -1,
	}}})
	return appendMessage(b, &pgproto3.DataRow{Values: [][]byte{[]byte(value)}})
}

// token returns the session's signed token, or "" if it cannot be signed.
func (c *CallerConn) token() string {
	c.mu.Lock()
	floor := c.floor
	c.mu.Unlock()
	text, err := c.listener.signer.Sign(session.Token{Database: c.database, Floor: floor})
	if err != nil {
		return ""
	}
	return text
}

// write sends bytes to the caller. It closes the connection if the caller does not read them within callerWriteTimeout.
func (c *CallerConn) write(b []byte) bool {
	_ = c.conn.SetWriteDeadline(time.Now().Add(callerWriteTimeout))
	_, err := c.conn.Write(b)
	if err != nil {
		c.Close()
	}
	return err == nil
}

// sessionSettings holds the server settings that a session has changed, in the order in which they were last set. The statement
// at index i sets the setting names[i]. A sessionSettings value is immutable.
type sessionSettings struct {
	names      []string
	statements []string
}

// with returns the settings with statement as the one that sets name.
func (s sessionSettings) with(name, statement string) sessionSettings {
	out := sessionSettings{}
	for i, n := range s.names {
		if n != name {
			out.names = append(out.names, n)
			out.statements = append(out.statements, s.statements[i])
		}
	}
	out.names = append(out.names, name)
	out.statements = append(out.statements, statement)
	return out
}

// digest returns all statements as one string, or a hash of it if it is long. Equal settings have equal digests. Connections to
// servers keep the digest of the settings that they have.
func (s sessionSettings) digest() string {
	script := strings.Join(s.statements, ";")
	if len(script) <= sha256.BlockSize {
		return script
	}
	sum := sha256.Sum256([]byte(script))
	return string(sum[:])
}

// sql returns the SQL text of a simple query, or that of the first prepared statement that the request uses.
func (r request) sql() string {
	if r.simple != nil {
		return strings.TrimRight(string(r.simple[headerBytes:]), "\x00; ")
	}
	for _, s := range r.steps {
		if s.uses.sql != "" {
			return s.uses.sql
		}
	}
	return ""
}

func randomSecret() uint32 {
	var b [4]byte
	_, _ = rand.Read(b[:])
	return binary.BigEndian.Uint32(b[:])
}
