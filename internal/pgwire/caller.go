package pgwire

import (
	"crypto/rand"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"buckthornport.example/buckthornport/internal/caller"
	"buckthornport.example/buckthornport/pkg/session"
)

const (
	callerBuffer   = 2 << 10
	slowCaller     = 10 * time.Second
	tokenParameter = "buckthornport.token"
	keyParameter   = "buckthornport.key"
)

// CallerConn is one caller's connection; its goroutine cuts the stream into requests and waits for each answer.
type CallerConn struct {
	id         caller.SessionID
	front      *Listener
	post       func(e caller.Event)
	conn       net.Conn
	frames     *frameReader
	user       string
	database   string
	secret     uint32
	statements map[string]prepared
	settings   settings
	key        string
	keys       uint64
	status     byte
	seq        uint64
	answered   chan struct{}
	dead       chan struct{}

	mu      sync.Mutex
	current *Exchange
	floor   session.Position
	closed  bool
	ending  bool
}

// Exchange is one request of a caller on its way through the node.
type Exchange struct {
	caller *CallerConn
	seq    uint64
	unit   unit
	vars   settings
	held   []byte
	failed bool
}

// exchange returns the request with the given number if it still waits for its answer.
func (c *CallerConn) exchange(seq uint64) (*Exchange, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.current == nil || c.current.seq != seq {
		return nil, false
	}
	return c.current, true
}

// serve runs the session until the caller leaves or the connection breaks.
func (c *CallerConn) serve(token string) {
	defer c.leave()
	c.post(c.opening(token))
	for {
		var u unit
		var err error
		if u, err = c.readUnit(); err != nil {
			c.refuseUnit(err)
			if !recoverable(err) {
				return
			}
			continue
		}
		if !c.handle(u) {
			return
		}
	}
}

func (c *CallerConn) leave() {
	c.Close()
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
	close(c.dead)
	_ = c.conn.Close()
}

func (c *CallerConn) opening(token string) caller.SessionOpened {
	e := caller.SessionOpened{Session: c.id, User: c.user}
	if token == "" {
		return e
	}
	if t, err := c.front.signer.Verify(token); err == nil && t.Database == c.database {
		e.Floor, e.HasFloor = t.Floor, true
	}
	return e
}

func recoverable(err error) bool {
	var u *unitError
	return errors.As(err, &u)
}

// refuseUnit answers a request that could not be understood; the rest of an extended one is skipped up to its Sync.
func (c *CallerConn) refuseUnit(err error) {
	var u *unitError
	var f *FrameError
	switch {
	case errors.As(err, &u):
		c.write(errorBytes("ERROR", u.code, u.text, "", "", c.status))
	case errors.As(err, &f):
		c.write(errorBytes("FATAL", "08P01", f.Error(), "", "", 0))
	}
}

// readUnit reads one request; it returns io.EOF when the caller says goodbye.
func (c *CallerConn) readUnit() (unit, error) {
	var u unit
	for {
		var b []byte
		var err error
		if b, err = c.frames.next(nil); err != nil {
			return u, err
		}
		switch f := frame(b); f.kind() {
		case typeQuery:
			return c.simpleUnit(f)
		case typeSync:
			return u, nil
		case typeTerminate:
			return u, io.EOF
		case typePassword, 'd', 'c', 'f':
			continue
		default:
			if err := c.extended(&u, f); err != nil {
				return u, c.skipToSync(err)
			}
		}
	}
}

func (c *CallerConn) skipToSync(why error) error {
	for {
		b, err := c.frames.next(nil)
		if err != nil {
			return err
		}
		if frame(b).kind() == typeSync {
			return why
		}
	}
}

func (c *CallerConn) simpleUnit(f frame) (unit, error) {
	var m pgproto3.Query
	if err := m.Decode(f.body()); err != nil {
		return unit{}, &unitError{code: "08P01", text: "malformed Query: " + err.Error()}
	}
	form := c.front.forms.Parse(m.String)
	if form.Unsupported != "" {
		return unit{}, &unitError{code: "0A000", text: form.Unsupported}
	}
	return unit{simple: f, form: form}, nil
}

// handle sees one request through, and reports whether the session goes on.
func (c *CallerConn) handle(u unit) bool {
	if u.simple == nil && len(u.steps) == 0 {
		return c.write(appendMessage(nil, &pgproto3.ReadyForQuery{TxStatus: c.status}))
	}
	if u.form.Local {
		return c.answerLocally(u)
	}
	c.seq++
	x := &Exchange{caller: c, seq: c.seq, unit: u, vars: c.settings}
	c.mu.Lock()
	c.current = x
	c.mu.Unlock()
	c.post(caller.Asked{Session: c.id, Seq: c.seq, Statement: c.statement(u)})
	if !c.await() {
		return false
	}
	c.after(x)
	return true
}

// await waits until the caller sends more, or leaves, and then for the answer to what it sent before. A caller that leaves
// early is noticed at once, and no second goroutine is needed for that.
func (c *CallerConn) await() bool {
	if _, err := c.frames.r.Peek(1); err != nil {
		return false
	}
	select {
	case <-c.answered:
		return !c.isClosed()
	case <-c.dead:
		return false
	}
}

// after keeps what the answer changed for the next request.
func (c *CallerConn) after(x *Exchange) {
	if x.failed {
		for _, n := range x.unit.parsed {
			delete(c.statements, n)
		}
		return
	}
	if x.unit.form.SetsSession && c.status == 'I' {
		c.settings = c.settings.with(x.unit.form.Setting, x.unit.text())
	}
}

func (c *CallerConn) isClosed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closed
}

// statement is what decisions learn of a request.
func (c *CallerConn) statement(u unit) caller.Statement {
	class, version := c.front.Classify(c.database, u.form.Verb, u.form.Tables)
	s := caller.Statement{Kind: u.form.Kind, Class: class, Version: version, Writes: u.writes(), ID: c.requestID(c.seq)}
	if class.NotRepeatable && (u.form.Kind == caller.KindWrite || s.Writes) {
		s.Key = c.nextKey()
	}
	return s
}

// requestID names one of the session's requests in logs and refusals.
func (c *CallerConn) requestID(seq uint64) string {
	return fmt.Sprintf("%s-%d-%d", c.front.keyPrefix, c.id, seq)
}

// nextKey is the key that the caller set for its next request, or one that the proxy makes.
func (c *CallerConn) nextKey() string {
	if k := c.key; k != "" {
		c.key = ""
		return k
	}
	c.keys++
	return fmt.Sprintf("%s-%d-%d", c.front.keyPrefix, c.id, c.keys)
}

// answerLocally serves the settings that the proxy keeps for itself.
func (c *CallerConn) answerLocally(u unit) bool {
	f := u.form
	var b []byte
	switch {
	case f.Tag == "SHOW":
		b = c.show(f.Setting)
	case f.Setting == tokenParameter:
		t, err := c.front.signer.Verify(f.Value)
		if err != nil || t.Database != c.database {
			return c.write(errorBytes("ERROR", "22023", "token not accepted for this database", "", "", c.status))
		}
		c.post(caller.TokenGiven{Session: c.id, Floor: t.Floor})
	case f.Setting == keyParameter:
		c.key = f.Value
	case f.Tag == "DISCARD ALL", f.Tag == "DEALLOCATE":
		c.statements = map[string]prepared{}
		c.settings = settings{}
	default:
		return c.write(errorBytes("ERROR", "42704", fmt.Sprintf("unknown setting %q", f.Setting), "",
			"buckthornport.token and buckthornport.key can be set", c.status))
	}
	if u.simple == nil {
		b = localExtended(u, b)
	}
	b = appendMessage(b, &pgproto3.CommandComplete{CommandTag: []byte(f.Tag)})
	return c.write(appendMessage(b, &pgproto3.ReadyForQuery{TxStatus: c.status}))
}

// localExtended puts the answers to Parse, Bind and Describe before a local result.
func localExtended(u unit, result []byte) []byte {
	var b []byte
	for _, s := range u.steps {
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

func (c *CallerConn) show(name string) []byte {
	value := c.key
	if name == tokenParameter {
		value = c.token()
	}
	b := appendMessage(nil, &pgproto3.RowDescription{Fields: []pgproto3.FieldDescription{{
		Name: []byte(name), DataTypeOID: 25, DataTypeSize: -1, TypeModifier: -1,
	}}})
	return appendMessage(b, &pgproto3.DataRow{Values: [][]byte{[]byte(value)}})
}

func (c *CallerConn) token() string {
	c.mu.Lock()
	floor := c.floor
	c.mu.Unlock()
	text, err := c.front.signer.Sign(session.Token{Database: c.database, Floor: floor})
	if err != nil {
		return ""
	}
	return text
}

// write sends bytes to the caller; a caller that does not take them in time is cut off.
func (c *CallerConn) write(b []byte) bool {
	_ = c.conn.SetWriteDeadline(time.Now().Add(slowCaller))
	_, err := c.conn.Write(b)
	if err != nil {
		c.Close()
	}
	return err == nil
}

// settings are the session's own values of the server's settings, in the order in which they were first set.
type settings struct {
	names  []string
	values []string
}

// with returns the settings with one more statement that sets name.
func (s settings) with(name, statement string) settings {
	out := settings{}
	for i, n := range s.names {
		if n != name {
			out.names = append(out.names, n)
			out.values = append(out.values, s.values[i])
		}
	}
	out.names = append(out.names, name)
	out.values = append(out.values, statement)
	return out
}

func (s settings) key() string {
	return strings.Join(s.values, ";")
}

// text is the SQL of a request that sets something.
func (u unit) text() string {
	if u.simple != nil {
		return strings.TrimRight(string(u.simple[headerBytes:]), "\x00; ")
	}
	for _, s := range u.steps {
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
