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
	name            string
	address         string
	group           *Group
	replicationWake map[string]chan struct{}
	// lag is the delay, in nanoseconds, before a replica applies received entries.
	lag           atomic.Int64
	running       atomic.Int64
	peakRunning   atomic.Int64
	slotsExceeded atomic.Int64
	queries       atomic.Int64

	mu     sync.Mutex
	cond   *sync.Cond
	core   *Core
	engine *engine
	// needsRebuild is set if the log was truncated down to the applied entries or below, so that the engine must be rebuilt.
	needsRebuild    bool
	applyErrors     int
	receivedBatches []receivedBatch
	alive           bool
	paused          bool
	listener        net.Listener
	conns           map[net.Conn]bool
	backends        map[uint32]*backend
	lastProcessID   uint32
	slots           *upstream.SlotTable
	// slotConns holds the connection over which each node requests its slots.
	slotConns map[string]*backend
}

// newServer returns a server that does not listen yet.
func newServer(ctx context.Context, g *Group, v ServerSettings, peers []string, primary bool) (*Server, error) {
	s := &Server{
		name: v.Name, address: v.Address, group: g, alive: true, replicationWake: map[string]chan struct{}{},
		conns: map[net.Conn]bool{}, backends: map[uint32]*backend{}, core: NewCore(v.Name, peers, primary),
	}
	s.cond = sync.NewCond(&s.mu)
	s.slots = s.newSlotTable(-upstream.SlotTTL)
	s.slotConns = map[string]*backend{}
	s.lag.Store(int64(g.settings.LagMS) * int64(time.Millisecond))
	for _, p := range peers {
		s.replicationWake[p] = make(chan struct{}, 1)
	}
	s.core.OnTruncate(func(from uint64) {
		if from <= s.core.applied+1 {
			s.needsRebuild = true
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

// wakeReplication makes the replication to all peers send at once.
func (s *Server) wakeReplication() {
	for _, c := range s.replicationWake {
		select {
		case c <- struct{}{}:
		default:
		}
	}
}

// waitWhilePaused blocks while the server is paused.
func (s *Server) waitWhilePaused() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for s.paused {
		s.cond.Wait()
	}
}

// Kill stops the server as a crash of its process would. Its log is kept, and its connections are closed.
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
	go s.notifyLinkClosed()
}

// notifyLinkClosed notifies the replicas that the primary refuses connections, as their own replication connections would.
func (s *Server) notifyLinkClosed() {
	time.Sleep(time.Duration(s.group.settings.ReceiveMS) * time.Millisecond)
	for _, p := range s.group.servers {
		if p == s || s.group.isPartitioned(s.name, p.name) {
			continue
		}
		p.mu.Lock()
		if !p.core.Leads() {
			p.core.MarkLinkClosed()
		}
		p.mu.Unlock()
	}
}

// Restart starts a killed server with the log that it had. It has no effect on a running server.
func (s *Server) Restart(ctx context.Context) error {
	s.mu.Lock()
	wasDead := !s.alive
	s.alive = true
	if wasDead {
		s.slots = s.newSlotTable(s.group.now() + upstream.SlotUseTime)
	}
	s.mu.Unlock()
	if !wasDead {
		return nil
	}
	return s.listen(ctx)
}

// newSlotTable returns a slot table that reserves two fifths of the slots for short work and grants nothing before grantsFrom.
func (s *Server) newSlotTable(grantsFrom time.Duration) *upstream.SlotTable {
	n := s.group.settings.SlotsPerServer
	return upstream.NewSlotTable(n, n*2/5, grantsFrom)
}

// Pause freezes the server, or resumes it if on is false.
func (s *Server) Pause(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.paused = on
	s.cond.Broadcast()
}

// SetLag sets the delay after which received entries become visible to reads.
func (s *Server) SetLag(d time.Duration) {
	s.lag.Store(int64(d))
}

// MarkLeaving sets whether the server reports that its VM is going to be removed.
func (s *Server) MarkLeaving(leaving bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.core.MarkLeaving(leaving)
}

// Status returns the server's answer to a probe.
func (s *Server) Status() upstream.Status {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.core.Status(s.group.now())
}

// promote applies the rest of the log and makes the server the primary.
func (s *Server) promote(ctx context.Context, term uint64, node string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.core.Leads() {
		s.applyUpTo(ctx, s.core.Position().Offset)
	}
	ok := s.core.Promote(s.group.now(), term, node)
	s.wakeReplication()
	return ok
}

// awaitMajority waits until a majority holds the log up to p. It stops waiting after timeout, or when the server no longer
// leads or is killed.
func (s *Server) awaitMajority(p session.Position, timeout time.Duration) holdResponse {
	since := s.group.now()
	s.wakeReplication()
	stop := time.AfterFunc(timeout, s.cond.Broadcast)
	defer stop.Stop()
	s.mu.Lock()
	defer s.mu.Unlock()
	for {
		held, _ := s.core.MajorityHolds(p, since)
		if held || !s.core.Leads() || s.group.now()-since >= timeout || !s.alive {
			return holdResponse{Held: held, Term: s.core.Term(), End: s.core.MajorityPosition(), Forks: s.core.Status(0).Forks}
		}
		s.cond.Wait()
	}
}

type holdResponse struct {
	Held  bool             `json:"held"`
	Term  uint64           `json:"term"`
	End   session.Position `json:"end"`
	Forks []session.Fork   `json:"forks"`
}
