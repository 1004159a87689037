package pgwire

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/xdg-go/scram"

	"buckthornport.example/buckthornport/internal/caller"
	"buckthornport.example/buckthornport/internal/traffic"
	"buckthornport.example/buckthornport/pkg/bundle"
	"buckthornport.example/buckthornport/pkg/session"
)

const (
	startupTimeout  = 10 * time.Second
	maxStartupBytes = 16 << 10
	serverVersion   = "16.0 (buckthornport)"
	codeSSL         = 80877103
	codeGSS         = 80877104
	codeCancel      = 80877102
	codeVersion3    = 196608
)

// Credentials say how a caller proves who it is; a nil Stored lets it in without a password.
type Credentials struct {
	Stored *scram.StoredCredentials
}

// Listener accepts callers' connections.
type Listener struct {
	// Lane returns the function that posts events to a database's lane, and whether the database is known.
	Lane func(database string) (func(e caller.Event), bool)
	// Authorize returns how a user has to prove itself for a database, or an error if it may not use it.
	Authorize func(user, database string) (Credentials, error)
	// Classify returns the class of a statement and the version of the bundle that says so.
	Classify func(database, verb string, tables []string) (bundle.Class, uint64)

	signer    *session.Signer
	tls       func() *tls.Config
	forms     *StatementCache
	keyPrefix string
	last      atomic.Uint64
	mu        sync.Mutex
	callers   map[uint32]*CallerConn
	draining  atomic.Bool
	stats     ListenerStats
}

// ListenerStats counts what happened to callers' connections.
type ListenerStats struct {
	Accepted atomic.Int64
	Rejected atomic.Int64
	OpenSessions     atomic.Int64
	// AcceptErrors counts connections that the operating system did not let in.
	AcceptErrors atomic.Int64
}

// ListenerOption sets up a Front.
type ListenerOption func(*Listener) error

// WithTLS has callers that ask for it served over TLS; the function is called anew for every handshake.
func WithTLS(f func() *tls.Config) ListenerOption {
	return func(fr *Listener) error {
		fr.tls = f
		return nil
	}
}

// NewListener returns a front whose sessions carry tokens of the signer, and whose own keys begin with a unique prefix.
func NewListener(signer *session.Signer, keyPrefix string, opts ...ListenerOption) (*Listener, error) {
	f := &Listener{
		signer: signer, forms: NewStatementCache(), keyPrefix: keyPrefix, callers: map[uint32]*CallerConn{},
		tls: func() *tls.Config { return nil },
	}
	for _, o := range opts {
		if err := o(f); err != nil {
			return nil, err
		}
	}
	return f, nil
}

// Stats returns the counts of callers' connections.
func (f *Listener) Stats() *ListenerStats {
	return &f.stats
}

// Serve accepts connections until the listener is closed.
func (f *Listener) Serve(l net.Listener) error {
	return traffic.AcceptLoop(l, f.accept, func(error) { f.stats.AcceptErrors.Add(1) })
}

// Drain refuses all callers that come from now on.
func (f *Listener) Drain() {
	f.draining.Store(true)
}

func (f *Listener) accept(conn net.Conn) {
	f.stats.Accepted.Add(1)
	_ = conn.SetDeadline(time.Now().Add(startupTimeout))
	c, token, err := f.startup(conn)
	if err != nil {
		f.stats.Rejected.Add(1)
		var u *unitError
		if errors.As(err, &u) {
			_, _ = conn.Write(errorBytes("FATAL", u.code, u.text, "", "", 0))
		}
		_ = conn.Close()
		return
	}
	if c == nil {
		_ = conn.Close()
		return
	}
	_ = c.conn.SetDeadline(time.Time{})
	f.stats.OpenSessions.Add(1)
	defer f.stats.OpenSessions.Add(-1)
	defer f.forget(c)
	c.serve(token)
}

// Callers is the door through which a database's lane answers its callers.
func (f *Listener) Callers(database string) traffic.Callers {
	return traffic.Callers{
		IsWaiting: func(id caller.SessionID, seq uint64) bool {
			_, ok := f.exchange(id, seq)
			return ok
		},
		Release:  func(a caller.Release) { f.answer(a.Session, a.Seq, func(x *Exchange) { x.Release(a.Floor) }) },
		Complete: func(a caller.Complete) { f.answer(a.Session, a.Seq, func(x *Exchange) { x.Complete(a.Tag, a.Floor) }) },
		Refuse:   func(a caller.Refuse) { f.answer(a.Session, a.Seq, func(x *Exchange) { x.Refuse(a) }) },
		EndSession: func(id caller.SessionID) {
			if c, ok := f.caller(id); ok {
				c.EndSession()
			}
		},
		CloseSessions: func() { f.kill(database) },
	}
}

func (f *Listener) answer(id caller.SessionID, seq uint64, with func(x *Exchange)) {
	if x, ok := f.exchange(id, seq); ok {
		with(x)
	}
}

func (f *Listener) caller(id caller.SessionID) (*CallerConn, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	c, ok := f.callers[uint32(id)]
	return c, ok && c.id == id
}

// exchange returns a session's request if it still waits for its answer.
func (f *Listener) exchange(id caller.SessionID, seq uint64) (*Exchange, bool) {
	c, ok := f.caller(id)
	if !ok {
		return nil, false
	}
	return c.exchange(seq)
}

// kill closes all callers of a database at once.
func (f *Listener) kill(database string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, c := range f.callers {
		if c.database == database {
			go c.Close()
		}
	}
}

func (f *Listener) forget(c *CallerConn) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.callers, uint32(c.id))
}

// startup takes the first messages up to ReadyForQuery; it returns no caller for a cancel request.
func (f *Listener) startup(conn net.Conn) (*CallerConn, string, error) {
	for {
		code, body, err := readStartup(conn)
		if err != nil {
			return nil, "", err
		}
		switch code {
		case codeSSL:
			if conn, err = f.startTLS(conn); err != nil {
				return nil, "", err
			}
		case codeGSS:
			if _, err := conn.Write([]byte{'N'}); err != nil {
				return nil, "", err
			}
		case codeCancel:
			f.cancel(body)
			return nil, "", nil
		case codeVersion3:
			return f.begin(conn, body)
		default:
			return nil, "", &unitError{code: "08P01", text: fmt.Sprintf("unsupported protocol %d.%d", code>>16, code&0xffff)}
		}
	}
}

// readStartup reads a message without a type byte, with a bound on its length.
func readStartup(conn net.Conn) (uint32, []byte, error) {
	var head [8]byte
	if _, err := io.ReadFull(conn, head[:]); err != nil {
		return 0, nil, err
	}
	n, code := cancelKey(head[:])
	if n < 8 || n > maxStartupBytes {
		return 0, nil, &unitError{code: "08P01", text: fmt.Sprintf("startup packet of %d bytes", n)}
	}
	body := make([]byte, n-8)
	_, err := io.ReadFull(conn, body)
	return code, body, err
}

func (f *Listener) startTLS(conn net.Conn) (net.Conn, error) {
	cfg := f.tls()
	if cfg == nil {
		_, err := conn.Write([]byte{'N'})
		return conn, err
	}
	if _, err := conn.Write([]byte{'S'}); err != nil {
		return conn, err
	}
	ctx, stop := context.WithTimeout(context.Background(), startupTimeout)
	defer stop()
	tc := tls.Server(conn, cfg)
	return tc, tc.HandshakeContext(ctx)
}

func (f *Listener) cancel(body []byte) {
	if len(body) != 8 {
		return
	}
	pid, secret := cancelKey(body)
	f.mu.Lock()
	c, ok := f.callers[pid]
	f.mu.Unlock()
	if ok && c.secret == secret {
		c.post(caller.CancelAsked{Session: c.id})
	}
}

// begin authenticates a caller and makes its session.
func (f *Listener) begin(conn net.Conn, body []byte) (*CallerConn, string, error) {
	ps, err := startupParameters(body)
	if err != nil {
		return nil, "", err
	}
	user, database := ps["user"], ps["database"]
	if database == "" {
		database = user
	}
	if f.draining.Load() {
		return nil, "", &unitError{code: "57P03", text: "this proxy is leaving, connect again"}
	}
	post, ok := f.Lane(database)
	if !ok {
		return nil, "", &unitError{code: "3D000", text: fmt.Sprintf("database %q does not exist", database)}
	}
	if err := f.authenticate(conn, user, database); err != nil {
		return nil, "", err
	}
	c := &CallerConn{
		id: caller.SessionID(f.last.Add(1)), front: f, post: post, conn: conn, user: user, database: database,
		frames: newFrameReader(conn, callerBuffer, MaxFrameBytes), secret: randomSecret(), status: 'I',
		statements: map[string]prepared{}, answered: make(chan struct{}, 1), dead: make(chan struct{}),
	}
	c.settings = startupSettings(ps)
	f.mu.Lock()
	f.callers[uint32(c.id)] = c
	f.mu.Unlock()
	_, err = conn.Write(greeting(c, ps))
	return c, ps[tokenParameter], err
}

// startupParameters reads the pairs of a startup packet; -c NAME=VALUE in options counts as a pair too.
func startupParameters(body []byte) (map[string]string, error) {
	ps := map[string]string{}
	parts := strings.Split(string(body), "\x00")
	for i := 0; i+1 < len(parts) && parts[i] != ""; i += 2 {
		ps[parts[i]] = parts[i+1]
	}
	if ps["user"] == "" {
		return nil, &unitError{code: "28000", text: "the startup packet names no user"}
	}
	words := strings.Fields(ps["options"])
	for i, w := range words {
		if w == "-c" && i+1 < len(words) {
			if k, v, ok := strings.Cut(words[i+1], "="); ok {
				ps[k] = v
			}
		}
	}
	return ps, nil
}

// startupSettings keeps the settings of the startup packet that change what a server answers.
func startupSettings(ps map[string]string) settings {
	var s settings
	for _, n := range []string{"DateStyle", "TimeZone", "extra_float_digits", "search_path", "statement_timeout"} {
		if v, ok := ps[n]; ok {
			s = s.with(n, fmt.Sprintf("SET %s = %s", n, quote(v)))
		}
	}
	return s
}

func greeting(c *CallerConn, ps map[string]string) []byte {
	b := appendMessage(nil, &pgproto3.AuthenticationOk{})
	for _, p := range [][2]string{
		{"server_version", serverVersion},
		{"server_encoding", "UTF8"},
		{"client_encoding", "UTF8"},
		{"DateStyle", "ISO, MDY"},
		{"TimeZone", "UTC"},
		{"integer_datetimes", "on"},
		{"standard_conforming_strings", "on"},
		{"application_name", ps["application_name"]},
	} {
		b = appendMessage(b, &pgproto3.ParameterStatus{Name: p[0], Value: p[1]})
	}
	secret := []byte{byte(c.secret >> 24), byte(c.secret >> 16), byte(c.secret >> 8), byte(c.secret)}
	b = appendMessage(b, &pgproto3.BackendKeyData{ProcessID: uint32(c.id), SecretKey: secret})
	return appendMessage(b, &pgproto3.ReadyForQuery{TxStatus: 'I'})
}

// authenticate runs SCRAM-SHA-256 for callers that have a stored secret.
func (f *Listener) authenticate(conn net.Conn, user, database string) error {
	cred, err := f.Authorize(user, database)
	if err != nil {
		return &unitError{code: "28000", text: err.Error()}
	}
	if cred.Stored == nil {
		return nil
	}
	var server *scram.Server
	if server, err = scram.SHA256.NewServer(func(string) (scram.StoredCredentials, error) { return *cred.Stored, nil }); err != nil {
		return err
	}
	if err := converse(conn, server.NewConversation()); err != nil {
		return &unitError{code: "28P01", text: fmt.Sprintf("password authentication failed for user %q", user)}
	}
	return nil
}

func converse(conn net.Conn, cv *scram.ServerConversation) error {
	b := appendMessage(nil, &pgproto3.AuthenticationSASL{AuthMechanisms: []string{"SCRAM-SHA-256"}})
	r := newFrameReader(conn, 1, maxStartupBytes)
	if _, err := conn.Write(b); err != nil {
		return err
	}
	var first pgproto3.SASLInitialResponse
	if f, err := r.next(nil); err != nil {
		return err
	} else if err := first.Decode(frame(f).body()); err != nil {
		return err
	}
	reply, err := cv.Step(string(first.Data))
	if err != nil {
		return err
	}
	if _, err := conn.Write(appendMessage(nil, &pgproto3.AuthenticationSASLContinue{Data: []byte(reply)})); err != nil {
		return err
	}
	var final pgproto3.SASLResponse
	if f, err := r.next(nil); err != nil {
		return err
	} else if err := final.Decode(frame(f).body()); err != nil {
		return err
	}
	if reply, err = cv.Step(string(final.Data)); err != nil {
		return err
	}
	_, err = conn.Write(appendMessage(nil, &pgproto3.AuthenticationSASLFinal{Data: []byte(reply)}))
	return err
}
