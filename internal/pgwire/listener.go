package pgwire

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/xdg-go/scram"

	"buckthornport.example/buckthornport/internal/budget"
	"buckthornport.example/buckthornport/internal/caller"
	"buckthornport.example/buckthornport/internal/traffic"
	"buckthornport.example/buckthornport/pkg/bundle"
	"buckthornport.example/buckthornport/pkg/session"
)

const (
	startupTimeout    = 10 * time.Second
	maxStartupBytes   = 16 << 10
	serverVersion     = "16.0 (buckthornport)"
	sslRequestCode    = 80877103
	gssRequestCode    = 80877104
	cancelRequestCode = 80877102
	protocolVersion3  = 196608
)

// Credentials hold what a caller's password is verified against. With a nil Stored no password is required.
type Credentials struct {
	Stored *scram.StoredCredentials
}

// Listener accepts callers' connections and runs their sessions.
type Listener struct {
	// Lane returns the function that posts events to the lane of a database, and false if the database is unknown.
	Lane func(database string) (func(e caller.Event), bool)
	// Authorize returns the credentials of a user, or an error if the user may not use the database. The text of the error is sent
	// to the caller.
	Authorize func(user, database string) (Credentials, error)
	// Access returns the tenant of a user, "" for none, or an error if the user may no longer use the database. The text of the error
	// is sent to the caller. It is called at the start of each transaction.
	Access func(user, database string) (tenant string, err error)
	// Classify returns the class of a statement and the version of the bundle that defines it.
	Classify func(database, verb string, tables []string) (bundle.Class, uint64)
	// Panicked reports a panic that cost the connection of a caller.
	Panicked func(err error)
	// Budget bounds what callers may hold; nil for no limits.
	Budget *budget.Pool

	signer      *session.Signer
	tls         func() *tls.Config
	statements  *StatementCache
	keyPrefix   string
	lastSession atomic.Uint64
	mu          sync.Mutex
	callers     map[uint32]*CallerConn
	draining    atomic.Bool
	stats       ListenerStats
}

// ListenerStats counts callers' connections.
type ListenerStats struct {
	Accepted     atomic.Int64
	Rejected     atomic.Int64
	OpenSessions atomic.Int64
	// AcceptErrors counts failed calls of accept, for example because the limit on open files was reached.
	AcceptErrors atomic.Int64
}

// ListenerOption configures a Listener.
type ListenerOption func(*Listener) error

// WithTLS offers TLS to callers that request it. The function is called for every handshake; if it returns nil, TLS is refused and
// the connection continues unencrypted.
func WithTLS(f func() *tls.Config) ListenerOption {
	return func(l *Listener) error {
		l.tls = f
		return nil
	}
}

// NewListener returns a listener. The signer signs and verifies session tokens. The prefix begins request IDs and generated
// idempotency keys, so it must be unique among all nodes and their restarts.
func NewListener(signer *session.Signer, keyPrefix string, opts ...ListenerOption) (*Listener, error) {
	l := &Listener{
		signer: signer, statements: NewStatementCache(), keyPrefix: keyPrefix, callers: map[uint32]*CallerConn{},
		tls: func() *tls.Config { return nil }, Panicked: func(error) {},
		Access: func(string, string) (string, error) { return "", nil },
	}
	for _, o := range opts {
		if err := o(l); err != nil {
			return nil, err
		}
	}
	return l, nil
}

// Stats returns the counts of callers' connections. They change while the listener runs.
func (l *Listener) Stats() *ListenerStats {
	return &l.stats
}

// Serve accepts connections until listener is closed, and then returns nil.
func (l *Listener) Serve(listener net.Listener) error {
	refusal := errorBytes("FATAL", "53300", "this proxy has no room for another connection", "", "", 0)
	return traffic.AcceptLoop(traffic.LimitListener(listener, l.Budget, budget.Caller, refusal), l.accept, l.countError)
}

// Drain makes the listener refuse new sessions. Open sessions are not affected.
func (l *Listener) Drain() {
	l.draining.Store(true)
}

// countError counts an error of accept, or reports a panic that cost the connection of a caller.
func (l *Listener) countError(err error) {
	var p *traffic.PanicError
	if errors.As(err, &p) {
		l.Panicked(err)
		return
	}
	l.stats.AcceptErrors.Add(1)
}

func (l *Listener) accept(conn net.Conn) {
	l.stats.Accepted.Add(1)
	_ = conn.SetDeadline(time.Now().Add(startupTimeout))
	account := traffic.AccountOf(conn)
	c, token, err := l.startup(conn, account)
	if err != nil {
		l.stats.Rejected.Add(1)
		if errors.Is(err, os.ErrDeadlineExceeded) || errors.Is(err, context.DeadlineExceeded) {
			traffic.AccountOf(conn).Reject(budget.ReasonStartup)
		}
		var re *requestError
		if errors.As(err, &re) {
			_, _ = conn.Write(errorBytes("FATAL", re.code, re.text, "", "", 0))
		}
		_ = conn.Close()
		return
	}
	if c == nil {
		_ = conn.Close()
		return
	}
	account.Started()
	_ = c.conn.SetDeadline(time.Time{})
	l.stats.OpenSessions.Add(1)
	defer l.stats.OpenSessions.Add(-1)
	defer l.remove(c)
	c.serve(token)
}

// Callers returns the functions with which the lane of a database answers its callers.
func (l *Listener) Callers(database string) traffic.Callers {
	return traffic.Callers{
		IsWaiting: func(id caller.SessionID, seq uint64) bool {
			_, ok := l.exchange(id, seq)
			return ok
		},
		Release:  func(a caller.Release) { l.answer(a.Session, a.Seq, func(x *Exchange) { x.Release(a.Floor) }) },
		Complete: func(a caller.Complete) { l.answer(a.Session, a.Seq, func(x *Exchange) { x.Complete(a.Tag, a.Floor) }) },
		Refuse:   func(a caller.Refuse) { l.answer(a.Session, a.Seq, func(x *Exchange) { x.Refuse(a) }) },
		EndSession: func(id caller.SessionID) {
			if c, ok := l.caller(id); ok {
				c.CloseWhenIdle()
			}
		},
		CloseSessions: func() { l.closeCallers(database) },
	}
}

// answer calls f with the exchange of a request that still waits for its answer.
func (l *Listener) answer(id caller.SessionID, seq uint64, f func(x *Exchange)) {
	if x, ok := l.exchange(id, seq); ok {
		f(x)
	}
}

// caller returns the connection of a session. Callers are stored under the low 32 bits of their session ID, which is the process ID
// that a cancel request holds.
func (l *Listener) caller(id caller.SessionID) (*CallerConn, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c, ok := l.callers[uint32(id)]
	return c, ok && c.id == id
}

// exchange returns the exchange of a session's request if the request still waits for its answer.
func (l *Listener) exchange(id caller.SessionID, seq uint64) (*Exchange, bool) {
	c, ok := l.caller(id)
	if !ok {
		return nil, false
	}
	return c.exchange(seq)
}

// closeCallers closes the connections of all callers of a database.
func (l *Listener) closeCallers(database string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range l.callers {
		if c.database == database {
			go c.Close()
		}
	}
}

func (l *Listener) remove(c *CallerConn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.callers, uint32(c.id))
}

// startup handles the messages of a connection up to ReadyForQuery. It returns the new caller and its session token, if any, or a
// nil caller after a cancel request.
func (l *Listener) startup(conn net.Conn, account *budget.Account) (*CallerConn, string, error) {
	for {
		code, body, err := readStartup(conn)
		if err != nil {
			return nil, "", err
		}
		switch code {
		case sslRequestCode:
			if conn, err = l.startTLS(conn); err != nil {
				return nil, "", err
			}
		case gssRequestCode:
			if _, err := conn.Write([]byte{'N'}); err != nil {
				return nil, "", err
			}
		case cancelRequestCode:
			l.cancel(body)
			return nil, "", nil
		case protocolVersion3:
			return l.startSession(conn, account, body)
		default:
			return nil, "", &requestError{code: "08P01", text: fmt.Sprintf("unsupported protocol %d.%d", code>>16, code&0xffff)}
		}
	}
}

// readStartup reads a startup packet, which has no type byte. It returns the packet's request code and body, or an error if its
// length is below 8 bytes or above maxStartupBytes.
func readStartup(conn net.Conn) (uint32, []byte, error) {
	var head [8]byte
	if _, err := io.ReadFull(conn, head[:]); err != nil {
		return 0, nil, err
	}
	n, code := splitUint32s(head[:])
	if n < 8 || n > maxStartupBytes {
		return 0, nil, &requestError{code: "08P01", text: fmt.Sprintf("startup packet of %d bytes", n)}
	}
	body := make([]byte, n-8)
	_, err := io.ReadFull(conn, body)
	return code, body, err
}

// startTLS answers an SSLRequest. It returns the connection unencrypted if TLS is not configured.
func (l *Listener) startTLS(conn net.Conn) (net.Conn, error) {
	cfg := l.tls()
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

// cancel handles a cancel request. It ignores one whose secret is wrong.
func (l *Listener) cancel(body []byte) {
	if len(body) != 8 {
		return
	}
	pid, secret := splitUint32s(body)
	l.mu.Lock()
	c, ok := l.callers[pid]
	l.mu.Unlock()
	if ok && c.cancelSecret == secret {
		c.post(caller.CancelRequested{Session: c.id})
	}
}

// startSession authenticates a caller and creates its session. It returns the caller and the session token of the startup packet.
func (l *Listener) startSession(conn net.Conn, account *budget.Account, body []byte) (*CallerConn, string, error) {
	params, err := parseStartup(body)
	if err != nil {
		return nil, "", err
	}
	user, database := params["user"], params["database"]
	if database == "" {
		database = user
	}
	if l.draining.Load() {
		return nil, "", &requestError{code: "57P03", text: "this proxy is leaving, connect again"}
	}
	post, ok := l.Lane(database)
	if !ok {
		return nil, "", &requestError{code: "3D000", text: fmt.Sprintf("database %q does not exist", database)}
	}
	if err := l.authenticate(conn, user, database); err != nil {
		return nil, "", err
	}
	c := &CallerConn{
		id: caller.SessionID(l.lastSession.Add(1)), listener: l, post: post, conn: conn, user: user, database: database,
		frames: newCallerFrames(conn, account), account: account, held: account.NewHold(), cancelSecret: randomSecret(), txStatus: 'I',
		statements: map[string]prepared{}, answered: make(chan struct{}, 1), done: make(chan struct{}),
	}
	c.settings = settingsFromStartup(params)
	l.mu.Lock()
	l.callers[uint32(c.id)] = c
	l.mu.Unlock()
	_, err = conn.Write(sessionGreeting(c, params))
	return c, params[tokenParameter], err
}

// parseStartup decodes the parameters of a startup packet, including those that its options set with -c NAME=VALUE.
func parseStartup(body []byte) (map[string]string, error) {
	params := map[string]string{}
	parts := strings.Split(string(body), "\x00")
	for i := 0; i+1 < len(parts) && parts[i] != ""; i += 2 {
		params[parts[i]] = parts[i+1]
	}
	if params["user"] == "" {
		return nil, &requestError{code: "28000", text: "the startup packet names no user"}
	}
	words := strings.Fields(params["options"])
	for i, w := range words {
		if w == "-c" && i+1 < len(words) {
			if k, v, ok := strings.Cut(words[i+1], "="); ok {
				params[k] = v
			}
		}
	}
	return params, nil
}

// settingsFromStartup returns the startup parameters that affect a server's answers as session settings.
func settingsFromStartup(params map[string]string) sessionSettings {
	var s sessionSettings
	for _, n := range []string{"DateStyle", "TimeZone", "extra_float_digits", "search_path", "statement_timeout"} {
		if v, ok := params[n]; ok {
			s = s.with(n, fmt.Sprintf("SET %s = %s", n, quote(v)))
		}
	}
	return s
}

// sessionGreeting returns the messages that follow a successful authentication, up to ReadyForQuery.
func sessionGreeting(c *CallerConn, params map[string]string) []byte {
	b := appendMessage(nil, &pgproto3.AuthenticationOk{})
	for _, p := range [][2]string{
		{"server_version", serverVersion},
		{"server_encoding", "UTF8"},
		{"client_encoding", "UTF8"},
		{"DateStyle", "ISO, MDY"},
		{"TimeZone", "UTC"},
		{"integer_datetimes", "on"},
		{"standard_conforming_strings", "on"},
		{"application_name", params["application_name"]},
	} {
		b = appendMessage(b, &pgproto3.ParameterStatus{Name: p[0], Value: p[1]})
	}
	secret := []byte{byte(c.cancelSecret >> 24), byte(c.cancelSecret >> 16), byte(c.cancelSecret >> 8), byte(c.cancelSecret)}
	b = appendMessage(b, &pgproto3.BackendKeyData{ProcessID: uint32(c.id), SecretKey: secret})
	return appendMessage(b, &pgproto3.ReadyForQuery{TxStatus: 'I'})
}

// authenticate authorizes a user for a database, and verifies the password with SCRAM-SHA-256 if the user has one.
func (l *Listener) authenticate(conn net.Conn, user, database string) error {
	cred, err := l.Authorize(user, database)
	if err != nil {
		return &requestError{code: "28000", text: err.Error()}
	}
	if cred.Stored == nil {
		return nil
	}
	var server *scram.Server
	if server, err = scram.SHA256.NewServer(func(string) (scram.StoredCredentials, error) { return *cred.Stored, nil }); err != nil {
		return err
	}
	if err := runSCRAM(conn, server.NewConversation()); err != nil {
		return &requestError{code: "28P01", text: fmt.Sprintf("password authentication failed for user %q", user)}
	}
	return nil
}

// runSCRAM runs the SASL message exchange of a SCRAM conversation.
func runSCRAM(conn net.Conn, cv *scram.ServerConversation) error {
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
