package group

import (
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

const (
	heartbeatInterval = 50 * time.Millisecond
	applyInterval     = 5 * time.Millisecond
	maxBatchEntries   = 256
)

// Group is the stand-in of one database group: three servers in one process, whose links can be cut.
type Group struct {
	settings           Settings
	servers            []*Server
	openConnections    atomic.Int64
	refusedConnections atomic.Int64
	start              time.Time
	ctx                context.Context

	mu          sync.Mutex
	partitioned map[[2]string]bool
}

// New returns a group whose servers do not listen yet.
func New(ctx context.Context, s Settings) (*Group, error) {
	g := &Group{settings: s, start: time.Now(), ctx: ctx, partitioned: map[[2]string]bool{}}
	for i, v := range s.Servers {
		var peers []string
		for _, o := range s.Servers {
			if o.Name != v.Name {
				peers = append(peers, o.Name)
			}
		}
		srv, err := newServer(ctx, g, v, peers, i == 0)
		if err != nil {
			return nil, err
		}
		g.servers = append(g.servers, srv)
	}
	return g, nil
}

// Run serves until the context ends.
func (g *Group) Run(ctx context.Context) error {
	var wg sync.WaitGroup
	for _, s := range g.servers {
		if err := s.listen(ctx); err != nil {
			return err
		}
	}
	for _, s := range g.servers {
		for _, p := range g.servers {
			if p != s {
				wg.Go(func() { s.replicateTo(ctx, p) })
			}
		}
		wg.Go(func() { s.applyLoop(ctx) })
	}
	<-ctx.Done()
	for _, s := range g.servers {
		s.Kill()
	}
	wg.Wait()
	return ctx.Err()
}

func (g *Group) now() time.Duration {
	return time.Since(g.start)
}

func (g *Group) isPartitioned(a, b string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.partitioned[[2]string{a, b}]
}

// SetPartitioned parts two servers from each other, or joins them again.
func (g *Group) SetPartitioned(a, b string, on bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.partitioned[[2]string{a, b}] = on
	g.partitioned[[2]string{b, a}] = on
}

// Server returns the named server, and whether there is one.
func (g *Group) Server(name string) (*Server, bool) {
	for _, s := range g.servers {
		if s.name == name {
			return s, true
		}
	}
	return nil, false
}

// ErrNoServer is what commands about unknown servers return.
var ErrNoServer = errors.New("no such server")

// replicateTo feeds one replica for as long as this server leads.
func (s *Server) replicateTo(ctx context.Context, p *Server) {
	t := time.NewTicker(heartbeatInterval)
	defer t.Stop()
	kick := s.replicationWake[p.name]
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		case <-kick:
		}
		for s.sendBatch(p) {
			continue
		}
	}
}

// sendBatch sends one batch, and reports whether the replica is still behind.
func (s *Server) sendBatch(p *Server) bool {
	s.mu.Lock()
	a, ok := s.core.NextAppend(s.group.now(), p.name, maxBatchEntries)
	alive := s.alive && !s.paused
	s.mu.Unlock()
	if !ok || !alive {
		return false
	}
	time.Sleep(time.Duration(s.group.settings.ReceiveMS) * time.Millisecond)
	r, ok := p.receiveBatch(s, a)
	if !ok {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.alive || s.paused {
		return false
	}
	s.core.HandleResponse(r)
	s.cond.Broadcast()
	return r.Term == s.core.Term() && (!r.OK || r.Offset < s.core.Position().Offset)
}

// receiveBatch takes a batch from a primary if the path and the VM are up; a closed door is told from silence.
func (s *Server) receiveBatch(from *Server, a AppendRequest) (AppendResponse, bool) {
	if s.group.isPartitioned(from.name, s.name) {
		return AppendResponse{}, false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.alive || s.paused {
		return AppendResponse{}, false
	}
	r := s.core.HandleAppend(s.group.now(), a)
	s.receivedBatches = append(s.receivedBatches, receivedBatch{endOffset: s.core.Position().Offset, receivedAt: s.group.now()})
	return r, true
}

type receivedBatch struct {
	endOffset  uint64
	receivedAt time.Duration
}

// applyLoop makes received entries visible after the lag that is set.
func (s *Server) applyLoop(ctx context.Context) {
	t := time.NewTicker(applyInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			s.applyDue(ctx)
		}
	}
}

func (s *Server) applyDue(ctx context.Context) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.core.Leads() || !s.alive || s.paused {
		return
	}
	due := uint64(0)
	lag := time.Duration(s.lag.Load())
	for len(s.receivedBatches) > 0 && s.group.now()-s.receivedBatches[0].receivedAt >= lag {
		due = max(due, s.receivedBatches[0].endOffset)
		s.receivedBatches = s.receivedBatches[1:]
	}
	s.applyUpTo(ctx, due)
}

// applyUpTo replays the log up to an offset; the caller holds the lock.
func (s *Server) applyUpTo(ctx context.Context, offset uint64) {
	if s.needsRebuild {
		s.rebuildEngine(ctx)
	}
	for s.core.applied < offset {
		_, e, ok := s.core.ApplyNext()
		if !ok {
			return
		}
		if err := s.engine.replay(ctx, e.Payload); err != nil {
			s.applyErrors++
		}
	}
}

// rebuildEngine starts from an empty database after the log was cut back, and closes all connections to the old one.
func (s *Server) rebuildEngine(ctx context.Context) {
	e, err := newEngine(ctx, s.name)
	if err != nil {
		return
	}
	s.engine.close()
	s.engine = e
	s.needsRebuild = false
	s.closeConns()
	s.core.applied = 0
}

func (s *Server) closeConns() {
	for c := range s.conns {
		_ = c.Close()
	}
	s.conns = map[net.Conn]bool{}
}
