package pgwire

import (
	"fmt"

	"github.com/cespare/xxhash/v2"
	"github.com/jackc/pgx/v5/pgproto3"

	"buckthornport.example/buckthornport/internal/caller"
)

// prepared is a statement that a caller prepared; its name on upstream connections depends on its text alone, so that
// any connection can serve it.
type prepared struct {
	sql  string
	oids []uint32
	name string
}

func newPrepared(sql string, oids []uint32) prepared {
	h := xxhash.New()
	_, _ = h.WriteString(sql)
	for _, o := range oids {
		_, _ = fmt.Fprintf(h, ",%d", o)
	}
	return prepared{sql: sql, oids: oids, name: fmt.Sprintf("bp_%016x", h.Sum64())}
}

func (p prepared) parse() []byte {
	return appendMessage(nil, &pgproto3.Parse{Name: p.name, Query: p.sql, ParameterOIDs: p.oids})
}

// step is one message of an extended request as upstreams get it.
type step struct {
	bytes []byte
	kind  byte
	// uses is the statement that must be prepared on the connection before this message.
	uses prepared
	// defines is the statement that this message prepares.
	defines prepared
}

// unit is one request: a simple query, or extended messages up to a Sync.
type unit struct {
	simple []byte
	steps  []step
	form   StatementInfo
	parsed []string
}

// unitError is a request that is refused before it reaches any decision.
type unitError struct {
	code string
	text string
}

// Error is the text for the caller.
func (e *unitError) Error() string {
	return e.text
}

// extended turns a caller's message into a step, following what the caller has prepared.
func (c *CallerConn) extended(u *unit, f frame) error {
	switch f.kind() {
	case typeParse:
		return c.extendedParse(u, f)
	case typeBind:
		return c.extendedBind(u, f)
	case typeDescribe:
		return c.extendedDescribe(u, f)
	case typeClose:
		return c.extendedClose(u, f)
	case typeExecute:
		u.steps = append(u.steps, step{bytes: f, kind: typeExecute})
		return nil
	case typeFlush:
		return &unitError{code: "0A000", text: "Flush is not supported, end the request with Sync"}
	default:
		return &unitError{code: "08P01", text: fmt.Sprintf("unexpected message %q", f.kind())}
	}
}

func (c *CallerConn) extendedParse(u *unit, f frame) error {
	var m pgproto3.Parse
	if err := m.Decode(f.body()); err != nil {
		return &unitError{code: "08P01", text: "malformed Parse: " + err.Error()}
	}
	form := c.front.forms.Parse(m.Query)
	if form.Unsupported != "" {
		return &unitError{code: "0A000", text: form.Unsupported}
	}
	p := newPrepared(m.Query, m.ParameterOIDs)
	c.statements[m.Name] = p
	u.parsed = append(u.parsed, m.Name)
	u.steps = append(u.steps, step{bytes: p.parse(), kind: typeParse, defines: p})
	return nil
}

func (c *CallerConn) extendedBind(u *unit, f frame) error {
	var m pgproto3.Bind
	if err := m.Decode(f.body()); err != nil {
		return &unitError{code: "08P01", text: "malformed Bind: " + err.Error()}
	}
	p, ok := c.statements[m.PreparedStatement]
	if !ok {
		return &unitError{code: "26000", text: fmt.Sprintf("prepared statement %q does not exist", m.PreparedStatement)}
	}
	if err := u.join(c.front.forms.Parse(p.sql)); err != nil {
		return err
	}
	m.PreparedStatement = p.name
	u.steps = append(u.steps, step{bytes: appendMessage(nil, &m), kind: typeBind, uses: p})
	return nil
}

func (c *CallerConn) extendedDescribe(u *unit, f frame) error {
	var m pgproto3.Describe
	if err := m.Decode(f.body()); err != nil {
		return &unitError{code: "08P01", text: "malformed Describe: " + err.Error()}
	}
	s := step{bytes: f, kind: typeDescribe}
	if m.ObjectType == 'S' {
		p, ok := c.statements[m.Name]
		if !ok {
			return &unitError{code: "26000", text: fmt.Sprintf("prepared statement %q does not exist", m.Name)}
		}
		m.Name = p.name
		s = step{bytes: appendMessage(nil, &m), kind: typeDescribe, uses: p}
	}
	u.steps = append(u.steps, s)
	return nil
}

// extendedClose forgets a caller's statement; upstream connections keep theirs for other callers.
func (c *CallerConn) extendedClose(u *unit, f frame) error {
	var m pgproto3.Close
	if err := m.Decode(f.body()); err != nil {
		return &unitError{code: "08P01", text: "malformed Close: " + err.Error()}
	}
	if m.ObjectType == 'S' {
		delete(c.statements, m.Name)
		m.Name = "bp_closed"
	}
	u.steps = append(u.steps, step{bytes: appendMessage(nil, &m), kind: typeClose})
	return nil
}

// join adds a statement to a batch, which may begin with a begin or end with a commit or rollback but not mix them.
func (u *unit) join(f StatementInfo) error {
	if len(u.steps) == 0 || u.form.Verb == "" {
		u.form = f
		return nil
	}
	switch k := u.form.Kind; {
	case k == caller.KindCommit || k == caller.KindRollback || f.Kind == caller.KindBegin:
		return &unitError{code: "0A000", text: "a batch may hold one transaction only"}
	case k == caller.KindBegin && changesTransaction(f.Kind):
		return &unitError{code: "0A000", text: "a batch may not both begin and end a transaction"}
	case k == caller.KindBegin:
		u.form.Tables = append(u.form.Tables, f.Tables...)
		u.form.Verb = f.Verb
	default:
		u.form = StatementInfo{Kind: max(k, f.Kind), Verb: f.Verb, Tables: append(u.form.Tables, f.Tables...)}
	}
	return nil
}

// writes reports whether a batch that begins or ends a transaction also writes.
func (u *unit) writes() bool {
	return changesTransaction(u.form.Kind) && u.form.Verb != "other" && u.form.Verb != "select"
}
