package pgwire

import (
	"fmt"

	"github.com/cespare/xxhash/v2"
	"github.com/jackc/pgx/v5/pgproto3"

	"buckthornport.example/buckthornport/internal/caller"
)

// prepared is a caller's prepared statement. Its name on upstream connections is a hash of its text and parameter types, so all
// callers share it and any connection can run it.
type prepared struct {
	sql  string
	oids []uint32
	name string
	info StatementInfo
}

func newPrepared(sql string, oids []uint32) prepared {
	h := xxhash.New()
	_, _ = h.WriteString(sql)
	for _, o := range oids {
		_, _ = fmt.Fprintf(h, ",%d", o)
	}
	return prepared{sql: sql, oids: oids, name: fmt.Sprintf("bp_%016x", h.Sum64())}
}

func (p prepared) parseMessage() []byte {
	return appendMessage(nil, &pgproto3.Parse{Name: p.name, Query: p.sql, ParameterOIDs: p.oids})
}

// step is one message of an extended request, in the form in which it is sent to an upstream.
type step struct {
	bytes []byte
	kind  byte
	// uses is the statement that must be prepared on the connection before this message.
	uses prepared
	// defines is the statement that this message prepares.
	defines prepared
}

// request is a caller's request: a simple query or the messages of the extended protocol up to a Sync.
type request struct {
	// simple is the Query message of a simple query; steps are the messages of an extended request.
	simple []byte
	steps  []step
	info   StatementInfo
	// parsedNames are the caller's names of the statements that the request prepares.
	parsedNames []string
}

// requestError is the error of a request or connection that is rejected before it reaches a lane. It has an SQLSTATE and a text.
type requestError struct {
	code string
	text string
}

// Error returns the error message for the caller.
func (e *requestError) Error() string {
	return e.text
}

// appendExtended adds a message of the extended protocol to a request. It replaces the caller's statement names with those on
// upstream connections.
func (c *CallerConn) appendExtended(r *request, f frame) error {
	switch f.typeByte() {
	case typeParse:
		return c.appendParse(r, f)
	case typeBind:
		return c.appendBind(r, f)
	case typeDescribe:
		return c.appendDescribe(r, f)
	case typeClose:
		return c.appendClose(r, f)
	case typeExecute:
		r.steps = append(r.steps, step{bytes: f, kind: typeExecute})
		return nil
	case typeFlush:
		return &requestError{code: "0A000", text: "Flush is not supported, end the request with Sync"}
	default:
		return &requestError{code: "08P01", text: fmt.Sprintf("unexpected message %q", f.typeByte())}
	}
}

func (c *CallerConn) appendParse(r *request, f frame) error {
	var m pgproto3.Parse
	if err := m.Decode(f.body()); err != nil {
		return &requestError{code: "08P01", text: "malformed Parse: " + err.Error()}
	}
	info := c.listener.statements.Parse(m.Query)
	if info.Unsupported != "" {
		return &requestError{code: "0A000", text: info.Unsupported}
	}
	p := newPrepared(m.Query, m.ParameterOIDs)
	p.info = info
	if err := c.addStatement(m.Name, p); err != nil {
		return err
	}
	r.parsedNames = append(r.parsedNames, m.Name)
	r.steps = append(r.steps, step{bytes: p.parseMessage(), kind: typeParse, defines: p})
	return nil
}

func (c *CallerConn) appendBind(r *request, f frame) error {
	var m pgproto3.Bind
	if err := m.Decode(f.body()); err != nil {
		return &requestError{code: "08P01", text: "malformed Bind: " + err.Error()}
	}
	p, ok := c.statements[m.PreparedStatement]
	if !ok {
		return &requestError{code: "26000", text: fmt.Sprintf("prepared statement %q does not exist", m.PreparedStatement)}
	}
	if err := r.addStatement(p.info); err != nil {
		return err
	}
	m.PreparedStatement = p.name
	r.steps = append(r.steps, step{bytes: appendMessage(nil, &m), kind: typeBind, uses: p})
	return nil
}

func (c *CallerConn) appendDescribe(r *request, f frame) error {
	var m pgproto3.Describe
	if err := m.Decode(f.body()); err != nil {
		return &requestError{code: "08P01", text: "malformed Describe: " + err.Error()}
	}
	s := step{bytes: f, kind: typeDescribe}
	if m.ObjectType == 'S' {
		p, ok := c.statements[m.Name]
		if !ok {
			return &requestError{code: "26000", text: fmt.Sprintf("prepared statement %q does not exist", m.Name)}
		}
		m.Name = p.name
		s = step{bytes: appendMessage(nil, &m), kind: typeDescribe, uses: p}
	}
	r.steps = append(r.steps, s)
	return nil
}

// appendClose removes a caller's prepared statement. Upstream connections keep the statement for other callers, so the message that
// is sent to them closes a name that does not exist.
func (c *CallerConn) appendClose(r *request, f frame) error {
	var m pgproto3.Close
	if err := m.Decode(f.body()); err != nil {
		return &requestError{code: "08P01", text: "malformed Close: " + err.Error()}
	}
	if m.ObjectType == 'S' {
		c.removeStatement(m.Name)
		m.Name = "bp_closed"
	}
	r.steps = append(r.steps, step{bytes: appendMessage(nil, &m), kind: typeClose})
	return nil
}

// addStatement adds a statement to a batch. A batch may begin a transaction with its first statement or end one with its last, but
// not both.
func (r *request) addStatement(info StatementInfo) error {
	if len(r.steps) == 0 || r.info.Verb == "" {
		r.info = info
		return nil
	}
	switch k := r.info.Kind; {
	case k == caller.KindCommit || k == caller.KindRollback || info.Kind == caller.KindBegin:
		return &requestError{code: "0A000", text: "a batch may hold one transaction only"}
	case k == caller.KindBegin && isTransactionControl(info.Kind):
		return &requestError{code: "0A000", text: "a batch may not both begin and end a transaction"}
	case k == caller.KindBegin:
		r.info.Tables = append(r.info.Tables, info.Tables...)
		r.info.Verb = info.Verb
	default:
		r.info = StatementInfo{Kind: max(k, info.Kind), Verb: info.Verb, Tables: append(r.info.Tables, info.Tables...)}
	}
	return nil
}

// batchWrites reports whether a batch that begins or ends a transaction also contains a write.
func (r *request) batchWrites() bool {
	return isTransactionControl(r.info.Kind) && r.info.Verb != "other" && r.info.Verb != "select"
}
