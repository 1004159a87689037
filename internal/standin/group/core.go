package group

import (
	"fmt"
	"slices"
	"time"

	"buckthornport.example/buckthornport/internal/upstream"
	"buckthornport.example/buckthornport/pkg/session"
)

// Entry is one committed transaction in a server's log.
type Entry struct {
	Term    uint64 `json:"term"`
	Payload string `json:"payload"`
}

// AppendRequest carries log entries from a primary to a replica; Sent comes back in the answer as the primary's own time.
type AppendRequest struct {
	Term       uint64        `json:"term"`
	Primary    string        `json:"primary"`
	PrevOffset uint64        `json:"prev"`
	PrevTerm   uint64        `json:"prev_term"`
	Entries    []Entry       `json:"entries"`
	Forks      []ForkRecord  `json:"forks"`
	SentAt     time.Duration `json:"sent_ns"`
}

// ForkRecord is a fork as it travels between servers.
type ForkRecord = session.Fork

// AppendResponse is a replica's answer to an Append.
type AppendResponse struct {
	From   string        `json:"from"`
	Term   uint64        `json:"term"`
	OK     bool          `json:"ok"`
	Offset uint64        `json:"offset"`
	SentAt time.Duration `json:"sent_ns"`
}

// FencedError refuses work because the server has promised or seen a higher term.
type FencedError struct {
	Server   string
	Term     uint64
	Promised uint64
}

// Error names the two terms.
func (e *FencedError) Error() string {
	return fmt.Sprintf("server %s serves term %d and has promised %d", e.Server, e.Term, e.Promised)
}

// Core is the state of one server; all its times are the server's own.
type Core struct {
	name               string
	peers              []string
	role               upstream.Role
	term               uint64
	promised           uint64
	promisedTo         string
	log                []Entry
	forks              []session.Fork
	applied            uint64
	termStart          uint64
	nextOffset         map[string]uint64
	matchOffset        map[string]uint64
	lastResponse       map[string]time.Duration
	lastPrimaryContact time.Duration
	linkClosed         bool
	leaving            bool
	onTruncate         func(from uint64)
}

// NewCore returns a server of a group whose other members are peers; the primary starts term 1.
func NewCore(name string, peers []string, primary bool) *Core {
	c := &Core{name: name, peers: peers, role: upstream.RoleReplica, term: 1, promised: 1, onTruncate: func(uint64) {}}
	c.log = []Entry{{Term: 1}}
	c.resetPeers(0)
	c.forks = []session.Fork{{Term: 1, Start: 0}}
	c.termStart = 1
	c.applied = 1
	if primary {
		c.role = upstream.RolePrimary
	}
	return c
}

// OnTruncate sets what is called with the first offset that is dropped from the log.
func (c *Core) OnTruncate(f func(from uint64)) {
	c.onTruncate = f
}

func (c *Core) resetPeers(now time.Duration) {
	c.nextOffset = map[string]uint64{}
	c.matchOffset = map[string]uint64{}
	c.lastResponse = map[string]time.Duration{}
	for _, p := range c.peers {
		c.nextOffset[p] = uint64(len(c.log))
		c.lastResponse[p] = now
	}
}

// Status is the server's answer to a probe.
func (c *Core) Status(now time.Duration) upstream.Status {
	st := upstream.Status{
		Role: c.role, Term: c.term, Promised: c.promised, Position: c.positionAt(uint64(len(c.log))),
		Applied: c.positionAt(c.applied), Forks: slices.Clone(c.forks), LinkClosed: c.linkClosed, Leaving: c.leaving,
	}
	if c.role == upstream.RolePrimary {
		st.Applied = st.Position
		st.QuorumAge = now - c.lastQuorumContact(now)
	} else {
		st.PrimaryAge = now - c.lastPrimaryContact
	}
	return st
}

func (c *Core) positionAt(offset uint64) session.Position {
	if offset == 0 {
		return session.Position{}
	}
	return session.Position{Term: c.log[offset-1].Term, Offset: offset}
}

// Position is the end of the server's log.
func (c *Core) Position() session.Position {
	return c.positionAt(uint64(len(c.log)))
}

// AppliedPosition is the end of what the server's reads show.
func (c *Core) AppliedPosition() session.Position {
	if c.role == upstream.RolePrimary {
		return c.Position()
	}
	return c.positionAt(c.applied)
}

// Leads reports whether the server believes itself primary.
func (c *Core) Leads() bool {
	return c.role == upstream.RolePrimary && c.promised <= c.term
}

// Term is the term that the server serves or follows.
func (c *Core) Term() uint64 {
	return c.term
}

// Commit appends one transaction to the log, or refuses if the server may not lead.
func (c *Core) Commit(payload string) (session.Position, error) {
	if !c.Leads() {
		return session.Position{}, &FencedError{Server: c.name, Term: c.term, Promised: c.promised}
	}
	c.log = append(c.log, Entry{Term: c.term, Payload: payload})
	c.applied = uint64(len(c.log))
	return c.Position(), nil
}

// Promise makes the server refuse all terms below term, for one node alone.
func (c *Core) Promise(term uint64, node string) bool {
	if term < c.promised || term == c.promised && c.promisedTo != node || term <= c.term {
		return false
	}
	c.promised = term
	c.promisedTo = node
	return true
}

// Promote opens the server as primary of a term that it promised to node; repeating the order changes nothing. The
// caller applies what is left of the log first, so that the new primary's reads show all of it.
func (c *Core) Promote(now time.Duration, term uint64, node string) bool {
	if c.term == term && c.role == upstream.RolePrimary {
		return true
	}
	if c.promised != term || c.promisedTo != node || c.term >= term {
		return false
	}
	c.role = upstream.RolePrimary
	c.forks = append(c.forks, session.Fork{Term: term, Start: uint64(len(c.log))})
	c.term = term
	c.resetPeers(now)
	c.log = append(c.log, Entry{Term: term})
	c.termStart = uint64(len(c.log))
	c.applied = c.termStart
	return true
}

// Follow makes the server a replica of a term that is at least as high as any that it promised.
func (c *Core) Follow(now time.Duration, term uint64) bool {
	if term < c.promised || term < c.term || term == c.term && c.role == upstream.RolePrimary {
		return false
	}
	if term > c.term || c.role == upstream.RolePrimary {
		c.role = upstream.RoleReplica
		c.term = term
		c.lastPrimaryContact = now
		c.linkClosed = false
	}
	c.promised = max(c.promised, term)
	return true
}

// NextAppend returns what the primary has to send to a replica, at most limit entries.
func (c *Core) NextAppend(now time.Duration, peer string, limit int) (AppendRequest, bool) {
	if !c.Leads() {
		return AppendRequest{}, false
	}
	prev := min(c.nextOffset[peer], uint64(len(c.log)))
	end := min(prev+uint64(limit), uint64(len(c.log)))
	return AppendRequest{
		Term: c.term, Primary: c.name, PrevOffset: prev, PrevTerm: c.positionAt(prev).Term,
		Entries: slices.Clone(c.log[prev:end]), Forks: slices.Clone(c.forks), SentAt: now,
	}, true
}

// HandleAppend takes entries from a primary, dropping what does not belong to its lineage.
func (c *Core) HandleAppend(now time.Duration, a AppendRequest) AppendResponse {
	r := AppendResponse{From: c.name, Term: c.term, SentAt: a.SentAt}
	if a.Term < c.promised || a.Term < c.term || a.Term == c.term && c.role == upstream.RolePrimary {
		r.Term = max(c.promised, c.term)
		return r
	}
	c.Follow(now, a.Term)
	c.lastPrimaryContact = now
	c.linkClosed = false
	r.Term = c.term
	end := uint64(len(c.log))
	if a.PrevOffset > end || c.positionAt(a.PrevOffset).Term != a.PrevTerm {
		r.Offset = c.rewindOffset(a)
		return r
	}
	for i, e := range a.Entries {
		c.storeEntry(a.PrevOffset+uint64(i)+1, e)
	}
	c.forks = slices.Clone(a.Forks)
	r.OK = true
	r.Offset = a.PrevOffset + uint64(len(a.Entries))
	return r
}

// rewindOffset returns an offset, below the one that did not fit, up to which this log can still agree with the primary's.
func (c *Core) rewindOffset(a AppendRequest) uint64 {
	offset := min(a.PrevOffset-1, uint64(len(c.log)))
	for _, f := range a.Forks {
		if f.Term > c.positionAt(offset).Term {
			return min(offset, f.Start)
		}
	}
	return offset
}

func (c *Core) storeEntry(offset uint64, e Entry) {
	if offset <= uint64(len(c.log)) {
		if c.log[offset-1].Term == e.Term {
			return
		}
		c.log = c.log[:offset-1]
		c.applied = min(c.applied, offset-1)
		c.onTruncate(offset)
	}
	c.log = append(c.log, e)
}

// HandleResponse takes a replica's answer, and reports whether it carries a higher term, which ends this one's.
func (c *Core) HandleResponse(r AppendResponse) bool {
	if r.Term > c.term {
		return true
	}
	if c.role != upstream.RolePrimary || r.Term != c.term {
		return false
	}
	c.lastResponse[r.From] = max(c.lastResponse[r.From], r.SentAt)
	if r.OK {
		c.matchOffset[r.From] = max(c.matchOffset[r.From], r.Offset)
		c.nextOffset[r.From] = max(c.nextOffset[r.From], c.matchOffset[r.From])
	} else {
		c.nextOffset[r.From] = r.Offset
	}
	return false
}

// MajorityHolds answers whether the entry at p belongs to this server's log and a majority of the group was heard to hold it
// since the given time; lost says that another entry has taken its place.
func (c *Core) MajorityHolds(p session.Position, since time.Duration) (held, lost bool) {
	if !c.Leads() {
		return false, false
	}
	if _, gone := session.DroppedBy(p, c.forks); gone {
		lost = true
		p = c.positionAt(c.termStart)
	}
	return c.majorityOffset() >= max(p.Offset, c.termStart) && c.lastQuorumContact(since) >= since, lost
}

// MajorityPosition is the end of what a majority of the group is known to hold.
func (c *Core) MajorityPosition() session.Position {
	return c.positionAt(c.majorityOffset())
}

func (c *Core) majorityOffset() uint64 {
	os := []uint64{uint64(len(c.log))}
	for _, p := range c.peers {
		os = append(os, c.matchOffset[p])
	}
	slices.Sort(os)
	return os[(len(os)-1)/2]
}

// lastQuorumContact is the latest time at which a majority, this server included, was known to follow its term.
func (c *Core) lastQuorumContact(now time.Duration) time.Duration {
	ts := []time.Duration{now}
	for _, p := range c.peers {
		ts = append(ts, c.lastResponse[p])
	}
	slices.Sort(ts)
	return ts[(len(ts)-1)/2]
}

// ApplyNext makes the next entry visible to reads, and returns it.
func (c *Core) ApplyNext() (uint64, Entry, bool) {
	if c.applied >= uint64(len(c.log)) {
		return 0, Entry{}, false
	}
	c.applied++
	return c.applied, c.log[c.applied-1], true
}

// Entry returns the entry at an offset, which must be one of the log's.
func (c *Core) Entry(offset uint64) Entry {
	return c.log[offset-1]
}

// Log returns a copy of the whole log.
func (c *Core) Log() []Entry {
	return slices.Clone(c.log)
}

// MarkLinkClosed notes that the primary's VM refuses connections, which silence alone never shows.
func (c *Core) MarkLinkClosed() {
	c.linkClosed = true
}

// MarkLeaving notes that the server's VM is to go away.
func (c *Core) MarkLeaving(leaving bool) {
	c.leaving = leaving
}
