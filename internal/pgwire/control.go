package pgwire

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"

	"github.com/jackc/pgx/v5/pgconn"

	"buckthornport.example/buckthornport/internal/caller"
	"buckthornport.example/buckthornport/internal/upstream"
	"buckthornport.example/buckthornport/pkg/session"
)

// ControlUser is the user for orders and status queries to a group's servers. Its connections do not count towards the servers'
// connection limit.
const ControlUser = "buckthornport_control"

// ControlClient sends queries and orders of a node to database servers. It opens connections as needed and keeps at most one idle
// connection per server.
type ControlClient struct {
	node       string
	connConfig func(address string) (*pgconn.Config, error)
	mu         sync.Mutex
	// idle holds the idle connections by server address.
	idle map[string]*pgconn.PgConn
}

// NewControlClient returns the control client of the named node. The function config returns the connection settings for a server
// address.
func NewControlClient(node string, config func(address string) (*pgconn.Config, error)) *ControlClient {
	return &ControlClient{node: node, connConfig: config, idle: map[string]*pgconn.PgConn{}}
}

// HoldResponse is a primary's answer to a request to confirm its leadership. Held is set if a majority follows the primary and
// holds its log up to the requested position.
type HoldResponse struct {
	Held  bool             `json:"held"`
	Term  uint64           `json:"term"`
	End   session.Position `json:"end"`
	Forks []session.Fork   `json:"forks"`
}

// Status queries the status of a server.
func (cl *ControlClient) Status(ctx context.Context, a upstream.Probe) (upstream.Status, error) {
	var st upstream.Status
	return st, cl.queryJSON(ctx, a.Address, "SHOW group_status", &st)
}

// Promise asks a server for the promise to refuse all lower terms. A server gives the promise for a term to one node only.
func (cl *ControlClient) Promise(ctx context.Context, a upstream.RequestPromise) (upstream.OrderResponse, error) {
	var r upstream.OrderResponse
	return r, cl.queryJSON(ctx, a.Address, fmt.Sprintf("SELECT group_promise(%d, %s)", a.Term, quote(cl.node)), &r)
}

// Promote orders a server to become primary and open for writes.
func (cl *ControlClient) Promote(ctx context.Context, a upstream.OrderPromote) (upstream.OrderResponse, error) {
	var r upstream.OrderResponse
	return r, cl.queryJSON(ctx, a.Address, fmt.Sprintf("SELECT group_promote(%d, %s)", a.Term, quote(cl.node)), &r)
}

// Follow orders a server to replicate from a primary.
func (cl *ControlClient) Follow(ctx context.Context, a upstream.OrderFollow) (upstream.OrderResponse, error) {
	var r upstream.OrderResponse
	return r, cl.queryJSON(ctx, a.Address, fmt.Sprintf("SELECT group_follow(%d, %s)", a.Term, quote(a.Primary)), &r)
}

// ConfirmLeadership asks a primary to confirm that a majority follows it and holds its log up to a position. It returns false if
// the primary cannot confirm that.
func (cl *ControlClient) ConfirmLeadership(
	ctx context.Context, a caller.ConfirmLeadership,
) (caller.LeadershipConfirmed, bool, error) {
	var r HoldResponse
	err := cl.queryJSON(ctx, a.Address, fmt.Sprintf("SELECT group_hold(%d, %d)", a.Position.Term, a.Position.Offset), &r)
	return caller.LeadershipConfirmed{Confirmation: a.Confirmation, Term: r.Term, End: r.End, Forks: r.Forks}, r.Held, err
}

// SlotsResponse is a server's answer to a node's request for slots.
type SlotsResponse struct {
	Slots     int  `json:"slots"`
	LongSlots int  `json:"long_slots"`
	Contended bool `json:"contended"`
	Restarted bool `json:"restarted"`
}

// RequestSlots reports to a server how many of its slots the node wants and holds, and returns how many the node may use.
func (cl *ControlClient) RequestSlots(ctx context.Context, a caller.RequestSlots) (caller.SlotsGranted, error) {
	var r SlotsResponse
	err := cl.queryJSON(ctx, a.Address, fmt.Sprintf("SELECT group_slots(%s, %d, %d, %d, %d, %d)", quote(cl.node), a.Seq, a.Short,
		a.Long, a.Retained, a.RetainedLong), &r)
	return caller.SlotsGranted{
		Seq: a.Seq, Server: a.Server, Slots: r.Slots, LongSlots: r.LongSlots, Contended: r.Contended, Restarted: r.Restarted,
	}, err
}

// queryJSON runs a statement on a server and decodes its single JSON value into a variable.
func (cl *ControlClient) queryJSON(ctx context.Context, address, sql string, into any) error {
	c, err := cl.takeConn(ctx, address)
	if err != nil {
		return err
	}
	var rs []*pgconn.Result
	if rs, err = c.Exec(ctx, sql).ReadAll(); err != nil {
		cl.closeConn(c)
		return err
	}
	cl.returnConn(address, c)
	if len(rs) != 1 || len(rs[0].Rows) != 1 {
		return fmt.Errorf("%s: server %s did not return exactly one row", sql, address)
	}
	return json.Unmarshal(rs[0].Rows[0][0], into)
}

// takeConn returns the idle connection to a server. If there is none, or another call uses it, it opens a new one.
func (cl *ControlClient) takeConn(ctx context.Context, address string) (*pgconn.PgConn, error) {
	cl.mu.Lock()
	c, ok := cl.idle[address]
	delete(cl.idle, address)
	cl.mu.Unlock()
	if ok {
		return c, nil
	}
	cfg, err := cl.connConfig(address)
	if err != nil {
		return nil, err
	}
	return pgconn.ConnectConfig(ctx, cfg)
}

// returnConn keeps a connection as the idle one of its server, or closes it if there already is one.
func (cl *ControlClient) returnConn(address string, c *pgconn.PgConn) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	if _, exists := cl.idle[address]; exists {
		go cl.closeConn(c)
		return
	}
	cl.idle[address] = c
}

// closeConn closes a connection without waiting for the server.
func (cl *ControlClient) closeConn(c *pgconn.PgConn) {
	ctx, stop := context.WithCancel(context.Background())
	stop()
	_ = c.Close(ctx)
}

// Close closes all idle connections.
func (cl *ControlClient) Close() {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	for k, c := range cl.idle {
		cl.closeConn(c)
		delete(cl.idle, k)
	}
}
