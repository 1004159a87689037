package group

import (
	"context"
	"database/sql"
	"database/sql/driver"
	"encoding/json"
	"fmt"
	"sync/atomic"

	"modernc.org/sqlite"

	"buckthornport.example/buckthornport/internal/pgwire"
)

// busyTimeoutMS is how long the engine waits for a lock before it fails a statement.
const busyTimeoutMS = 5000

// lastDatabaseID makes the name of each database in memory unique within the process.
var lastDatabaseID atomic.Uint64

// loggedStatement is one statement of a committed transaction, as it is stored in the log.
type loggedStatement struct {
	SQL  string `json:"sql"`
	Args []any  `json:"args,omitempty"`
}

// engine holds one server's data in an SQL database in memory, which all of its connections share. applyConn replays the log.
type engine struct {
	db        *sql.DB
	applyConn *sql.Conn
}

func init() {
	returnEmpty := func(*sqlite.FunctionContext, []driver.Value) (driver.Value, error) { return "", nil }
	sqlite.MustRegisterScalarFunction("pg_sleep", 1, returnEmpty)
	sqlite.MustRegisterDeterministicScalarFunction("version", 0,
		func(*sqlite.FunctionContext, []driver.Value) (driver.Value, error) {
			return "PostgreSQL 16.0 (stand-in)", nil
		})
	sqlite.MustRegisterDeterministicScalarFunction("current_database", 0,
		func(*sqlite.FunctionContext, []driver.Value) (driver.Value, error) { return "ledger", nil })
}

// newEngine returns a database that contains only the empty table of outcomes.
func newEngine(ctx context.Context, name string) (*engine, error) {
	dsn := fmt.Sprintf("file:/%s-%d?vfs=memdb&_pragma=busy_timeout(%d)", name, lastDatabaseID.Add(1), busyTimeoutMS)
	var e engine
	var err error
	if e.db, err = sql.Open("sqlite", dsn); err != nil {
		return nil, err
	}
	if e.applyConn, err = e.db.Conn(ctx); err != nil {
		return nil, err
	}
	_, err = e.applyConn.ExecContext(ctx,
		"CREATE TABLE "+pgwire.OutcomeTable+" (key TEXT PRIMARY KEY, outcome TEXT NOT NULL)")
	return &e, err
}

func (e *engine) close() {
	_ = e.applyConn.Close()
	_ = e.db.Close()
}

func encodePayload(ss []loggedStatement) string {
	b, err := json.Marshal(ss)
	if err != nil {
		return "[]"
	}
	return string(b)
}

// replay applies one log entry as one transaction.
func (e *engine) replay(ctx context.Context, payload string) error {
	if payload == "" {
		return nil
	}
	var ss []loggedStatement
	if err := json.Unmarshal([]byte(payload), &ss); err != nil {
		return err
	}
	if _, err := e.applyConn.ExecContext(ctx, "BEGIN IMMEDIATE"); err != nil {
		return err
	}
	for _, s := range ss {
		if _, err := e.applyConn.ExecContext(ctx, s.SQL, s.Args...); err != nil {
			_, _ = e.applyConn.ExecContext(ctx, "ROLLBACK")
			return err
		}
	}
	_, err := e.applyConn.ExecContext(ctx, "COMMIT")
	return err
}
