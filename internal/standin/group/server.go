package group

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"buckthornport.example/buckthornport/internal/upstream"
	"buckthornport.example/buckthornport/pkg/session"
)

// Server is one server of the group, with its own listener, log and data.
type Server struct {
	name    string
	address string
	group   *Group
	kicks   map[string]chan struct{}
	lag     atomic.Int64
	running atomic.Int64
	peak    atomic.Int64
	exceed  atomic.Int64
	queries atomic.Int64

	mu          sync.Mutex
	cond        *sync.Cond
	core        *Core
	engine      *engine
	rebuild     bool
	applyErrors int
	arrived     []arrival
	alive       bool
	paused      bool
	listener    net.Listener
	conns       map[net.Conn]bool
	backends    map[uint32]*backend
	lastPID     uint32
	slots       *upstream.SlotTable
	holders     map[string]*backend
}

func newServer(ctx context.Context, g *Group, v ServerSettings, peers []string, primary bool) (*Server, error) {
	s := &Server{
		name: v.Name, address: v.Address, group: g, alive: true, kicks: map[string]chan struct{}{},
		conns: map[net.Conn]bool{}, backends: map[uint32]*backend{}, core: NewCore(v.Name, peers, primary),
	}
	s.cond = sync.NewCond(&s.mu)
	s.slots = s.newSlots(-upstream.SlotTTL)
	s.holders = map[string]*backend{}
	s.lag.Store(int64(g.settings.LagMS) * int64(time.Millisecond))
	for _, p := range peers {
		s.kicks[p] = make(chan struct{}, 1)
	}
	s.core.OnTruncate(func(from uint64) {
		if from <= s.core.applied+1 {
			s.rebuild = true
		}
	})
	var err error
	s.engine, err = newEngine(ctx, v.Name)
	return s, err
}

func (s *Server) listen(ctx context.Context) error {
	l, err := net.Listen("tcp", s.address)
	if err != nil {
		return err
	}
	s.mu.Lock()
	s.listener = l
	s.mu.Unlock()
	go s.accept(ctx, l)
	return nil
}

func (s *Server) accept(ctx context.Context, l net.Listener) {
	for {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		s.conns[conn] = true
		s.mu.Unlock()
		go func() {
			s.serve(ctx, conn)
			_ = conn.Close()
			s.mu.Lock()
			defer s.mu.Unlock()
			delete(s.conns, conn)
		}()
	}
}

// kick wakes the replication to all peers.
func (s *Server) kick() {
	for _, c := range s.kicks {
		select {
		case c <- struct{}{}:
		default:
		}
	}
}

// gate blocks while the server is paused.
func (s *Server) gate() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for s.paused {
		s.cond.Wait()
	}
}

// Kill ends the server as a killed process would: its log stays, its connections are reset.
func (s *Server) Kill() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.alive {
		return
	}
	s.alive = false
	if s.listener != nil {
		_ = s.listener.Close()
	}
	s.closeConns()
	go s.tellClosed()
}

// tellClosed lets the replicas notice the closed door, as their own connections would.
func (s *Server) tellClosed() {
	time.Sleep(time.Duration(s.group.settings.ReceiveMS) * time.Millisecond)
	for _, p := range s.group.servers {
		if p == s || s.group.isCut(s.name, p.name) {
			continue
		}
		p.mu.Lock()
		if !p.core.Leads() {
			p.core.MarkLinkClosed()
		}
		p.mu.Unlock()
	}
}

// Restart starts a killed server again with the log that it had.
func (s *Server) Restart(ctx context.Context) error {
	s.mu.Lock()
	dead := !s.alive
	s.alive = true
	if dead {
		s.slots = s.newSlots(s.group.now() + upstream.SlotUseTime)
	}
	s.mu.Unlock()
	if !dead {
		return nil
	}
	return s.listen(ctx)
}

// newSlots returns a table in which two of five slots are kept free of long work.
func (s *Server) newSlots(opens time.Duration) *upstream.SlotTable {
	n := s.group.settings.SlotsPerServer
	return upstream.NewSlotTable(n, n*2/5, opens)
}

// Pause freezes the server, or lets it go on.
func (s *Server) Pause(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.paused = on
	s.cond.Broadcast()
}

// SetLag sets how long received entries stay invisible to reads.
func (s *Server) SetLag(d time.Duration) {
	s.lag.Store(int64(d))
}

// MarkLeaving has the server say that its VM is to go away.
func (s *Server) MarkLeaving(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.core.MarkLeaving(on)
}

// Status is what the server answers to a probe.
func (s *Server) Status() upstream.Status {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.core.Status(s.group.now())
}

// promote applies what is left of the log and opens as primary.
func (s *Server) promote(ctx context.Context, term uint64, node string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.core.Leads() {
		s.applyTo(ctx, s.core.Position().Offset)
	}
	ok := s.core.Promote(s.group.now(), term, node)
	s.kick()
	return ok
}

// hold waits until a majority holds the log up to p, or until the server can no longer say so.
func (s *Server) hold(p session.Position, limit time.Duration) heldAnswer {
	since := s.group.now()
	s.kick()
	stop := time.AfterFunc(limit, s.cond.Broadcast)
	defer stop.Stop()
	s.mu.Lock()
	defer s.mu.Unlock()
	for {
		held, _ := s.core.MajorityHolds(p, since)
		if held || !s.core.Leads() || s.group.now()-since >= limit || !s.alive {
			return heldAnswer{Held: held, Term: s.core.Term(), End: s.core.MajorityPosition(), Forks: s.core.Status(0).Forks}
		}
		s.cond.Wait()
	}
}

type heldAnswer struct {
	Held  bool             `json:"held"`
	Term  uint64           `json:"term"`
	End   session.Position `json:"end"`
	Forks []session.Fork   `json:"forks"`
}
