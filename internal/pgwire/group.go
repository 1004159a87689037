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

// ControlUser is the user under which a group's servers take orders and questions, outside their connection limit.
const ControlUser = "buckthornport_control"

// ControlClient asks one server of a group questions and gives it orders, over one connection that it opens as needed.
type ControlClient struct {
	node   string
	config func(address string) (*pgconn.Config, error)
	mu     sync.Mutex
	conns  map[string]*pgconn.PgConn
}

// NewControlClient returns the named node's control, whose connections are set up by config.
func NewControlClient(node string, config func(address string) (*pgconn.Config, error)) *ControlClient {
	return &ControlClient{node: node, config: config, conns: map[string]*pgconn.PgConn{}}
}

// HoldResponse is a primary's answer to the question what a majority holds.
type HoldResponse struct {
	Held  bool             `json:"held"`
	Term  uint64           `json:"term"`
	End   session.Position `json:"end"`
	Forks []session.Fork   `json:"forks"`
}

// Status asks a server for its status.
func (g *ControlClient) Status(ctx context.Context, a upstream.Probe) (upstream.Status, error) {
	var st upstream.Status
	return st, g.ask(ctx, a.Address, "SHOW group_status", &st)
}

// Promise asks a server to refuse all lower terms for this node alone.
func (g *ControlClient) Promise(ctx context.Context, a upstream.RequestPromise) (upstream.OrderResponse, error) {
	var r upstream.OrderResponse
	return r, g.ask(ctx, a.Address, fmt.Sprintf("SELECT group_promise(%d, %s)", a.Term, quote(g.node)), &r)
}

// Promote orders a server to open as primary.
func (g *ControlClient) Promote(ctx context.Context, a upstream.OrderPromote) (upstream.OrderResponse, error) {
	var r upstream.OrderResponse
	return r, g.ask(ctx, a.Address, fmt.Sprintf("SELECT group_promote(%d, %s)", a.Term, quote(g.node)), &r)
}

// Follow orders a server to follow a primary.
func (g *ControlClient) Follow(ctx context.Context, a upstream.OrderFollow) (upstream.OrderResponse, error) {
	var r upstream.OrderResponse
	return r, g.ask(ctx, a.Address, fmt.Sprintf("SELECT group_follow(%d, %s)", a.Term, quote(a.Primary)), &r)
}

// ConfirmLeadership asks a primary to show that a majority follows it and holds its log up to a position; false means that it could not.
func (g *ControlClient) ConfirmLeadership(ctx context.Context, a caller.Prove) (caller.Proven, bool, error) {
	var r HoldResponse
	err := g.ask(ctx, a.Address, fmt.Sprintf("SELECT group_hold(%d, %d)", a.Position.Term, a.Position.Offset), &r)
	return caller.Proven{Proof: a.Proof, Term: r.Term, End: r.End, Forks: r.Forks}, r.Held, err
}

// SlotsResponse is a server's answer to a node that asked for slots.
type SlotsResponse struct {
	Slots     int  `json:"slots"`
	LongSlots int  `json:"long_slots"`
	Contended bool `json:"contended"`
	Restarted bool `json:"restarted"`
}

// RequestSlots tells a server what the node wants and holds of its slots, and returns what it may use.
func (g *ControlClient) RequestSlots(ctx context.Context, a caller.AskSlots) (caller.SlotsGranted, error) {
	var r SlotsResponse
	err := g.ask(ctx, a.Address, fmt.Sprintf("SELECT group_slots(%s, %d, %d, %d, %d, %d)", quote(g.node), a.Ask, a.Short, a.Long,
		a.Holds, a.HoldsLong), &r)
	return caller.SlotsGranted{
		Ask: a.Ask, Server: a.Server, Slots: r.Slots, LongSlots: r.LongSlots, Contended: r.Contended, Restarted: r.Restarted,
	}, err
}

// ask runs one statement whose only value is JSON.
func (g *ControlClient) ask(ctx context.Context, address, sql string, into any) error {
	c, err := g.take(ctx, address)
	if err != nil {
		return err
	}
	var rs []*pgconn.Result
	if rs, err = c.Exec(ctx, sql).ReadAll(); err != nil {
		g.drop(c)
		return err
	}
	g.give(address, c)
	if len(rs) != 1 || len(rs[0].Rows) != 1 {
		return fmt.Errorf("%s: want one row from %s", sql, address)
	}
	return json.Unmarshal(rs[0].Rows[0][0], into)
}

// take returns the kept connection to a server, or a new one while another call uses that.
func (g *ControlClient) take(ctx context.Context, address string) (*pgconn.PgConn, error) {
	g.mu.Lock()
	c, ok := g.conns[address]
	delete(g.conns, address)
	g.mu.Unlock()
	if ok {
		return c, nil
	}
	cfg, err := g.config(address)
	if err != nil {
		return nil, err
	}
	return pgconn.ConnectConfig(ctx, cfg)
}

func (g *ControlClient) give(address string, c *pgconn.PgConn) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if _, taken := g.conns[address]; taken {
		go g.drop(c)
		return
	}
	g.conns[address] = c
}

func (g *ControlClient) drop(c *pgconn.PgConn) {
	ctx, stop := context.WithCancel(context.Background())
	stop()
	_ = c.Close(ctx)
}

// Close ends all kept connections.
func (g *ControlClient) Close() {
	g.mu.Lock()
	defer g.mu.Unlock()
	for k, c := range g.conns {
		g.drop(c)
		delete(g.conns, k)
	}
}
