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

// Group is the stand-in for one database group: three servers in one process, whose links can be partitioned.
type Group struct {
	settings           Settings
	servers            []*Server
	openConnections    atomic.Int64
	refusedConnections atomic.Int64
	start              time.Time
	ctx                context.Context

	mu sync.Mutex
	// partitioned holds both directions of each partitioned link.
	partitioned map[[2]string]bool
}

// New returns a group whose servers do not listen yet. The first server starts as the primary.
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

// Run serves until the context is cancelled, or returns an error if a server cannot listen.
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

// SetPartitioned stops replication between two servers in both directions, or lets it continue.
func (g *Group) SetPartitioned(a, b string, partitioned bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.partitioned[[2]string{a, b}] = partitioned
	g.partitioned[[2]string{b, a}] = partitioned
}

// Server returns the named server, and whether it exists.
func (g *Group) Server(name string) (*Server, bool) {
	for _, s := range g.servers {
		if s.name == name {
			return s, true
		}
	}
	return nil, false
}

// ErrNoServer is the answer to a command for a server that does not exist.
var ErrNoServer = errors.New("no such server")

// replicateTo sends log entries to one replica whenever this server leads, until the context is cancelled.
func (s *Server) replicateTo(ctx context.Context, p *Server) {
	t := time.NewTicker(heartbeatInterval)
	defer t.Stop()
	wake := s.replicationWake[p.name]
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		case <-wake:
		}
		for s.sendBatch(p) {
			continue
		}
	}
}

// sendBatch sends one batch of entries, and reports whether the replica is still behind.
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

// receiveBatch accepts a batch from a primary. It returns false if the link is partitioned or this server is dead or paused;
// the primary then gets no response. Replicas learn of a closed link from notifyLinkClosed.
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

// receivedBatch records when the log was received up to an offset.
type receivedBatch struct {
	endOffset  uint64
	receivedAt time.Duration
}

// applyLoop makes received entries visible to reads after the configured lag.
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

// applyUpTo replays the log up to an offset. s.mu must be held.
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

// rebuildEngine replaces the database by an empty one after the log was truncated, so that the log is replayed from its start.
// It closes the server's connections, as they use the old database.
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
