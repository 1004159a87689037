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

// AppendRequest carries log entries from a primary to a replica. PrevOffset and PrevTerm are the position of the entry before
// them. SentAt is on the clock of the primary, and the response returns it.
type AppendRequest struct {
	Term       uint64        `json:"term"`
	Primary    string        `json:"primary"`
	PrevOffset uint64        `json:"prev"`
	PrevTerm   uint64        `json:"prev_term"`
	Entries    []Entry       `json:"entries"`
	Forks      []ForkRecord  `json:"forks"`
	SentAt     time.Duration `json:"sent_ns"`
}

// ForkRecord is a fork as it is sent between servers.
type ForkRecord = session.Fork

// AppendResponse is a replica's answer to an AppendRequest. If OK is true, Offset is the end of the entries received. If it is
// false because the logs do not match, Offset is the one after which the primary must resend.
type AppendResponse struct {
	From   string        `json:"from"`
	Term   uint64        `json:"term"`
	OK     bool          `json:"ok"`
	Offset uint64        `json:"offset"`
	SentAt time.Duration `json:"sent_ns"`
}

// FencedError reports that a server refuses a write because it has promised a higher term or is not the primary.
type FencedError struct {
	Server   string
	Term     uint64
	Promised uint64
}

// Error names the server, its term and the promised term.
func (e *FencedError) Error() string {
	return fmt.Sprintf("server %s serves term %d and has promised %d", e.Server, e.Term, e.Promised)
}

// Core is the state of one server. Its times are on the server's own clock.
type Core struct {
	name       string
	peers      []string
	role       upstream.Role
	term       uint64
	promised   uint64
	promisedTo string
	log        []Entry
	forks      []session.Fork
	// applied is the offset of the last entry that reads show.
	applied uint64
	// termStart is the offset of the first entry that this server wrote as primary of its term.
	termStart uint64
	// nextOffset is where the next request to each peer starts, and matchOffset how much of the log the peer is known to hold.
	nextOffset  map[string]uint64
	matchOffset map[string]uint64
	// lastResponse is, for each peer, the send time of the latest request that it has answered.
	lastResponse       map[string]time.Duration
	lastPrimaryContact time.Duration
	linkClosed         bool
	leaving            bool
	onTruncate         func(from uint64)
}

// NewCore returns the server of the given name in a group with the given peers. If primary is true, it starts as the primary of
// term 1.
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

// OnTruncate sets the function that is called with the first dropped offset when the log is truncated.
func (c *Core) OnTruncate(f func(from uint64)) {
	c.onTruncate = f
}

// resetPeers starts replication to all peers at the end of the log. The time without a response counts from now.
func (c *Core) resetPeers(now time.Duration) {
	c.nextOffset = map[string]uint64{}
	c.matchOffset = map[string]uint64{}
	c.lastResponse = map[string]time.Duration{}
	for _, p := range c.peers {
		c.nextOffset[p] = uint64(len(c.log))
		c.lastResponse[p] = now
	}
}

// Status returns the server's answer to a probe.
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

// Position returns the end of the server's log.
func (c *Core) Position() session.Position {
	return c.positionAt(uint64(len(c.log)))
}

// AppliedPosition returns the position up to which the server's reads show the log.
func (c *Core) AppliedPosition() session.Position {
	if c.role == upstream.RolePrimary {
		return c.Position()
	}
	return c.positionAt(c.applied)
}

// Leads reports whether the server considers itself the primary. A primary that has promised a higher term no longer leads.
func (c *Core) Leads() bool {
	return c.role == upstream.RolePrimary && c.promised <= c.term
}

// Term returns the term in which the server leads or follows.
func (c *Core) Term() uint64 {
	return c.term
}

// Commit appends one transaction to the log. It returns a FencedError if the server does not lead.
func (c *Core) Commit(payload string) (session.Position, error) {
	if !c.Leads() {
		return session.Position{}, &FencedError{Server: c.name, Term: c.term, Promised: c.promised}
	}
	c.log = append(c.log, Entry{Term: c.term, Payload: payload})
	c.applied = uint64(len(c.log))
	return c.Position(), nil
}

// Promise makes the server refuse all terms below term, and reports whether the promise was given. A term is promised to one
// node only; that node may repeat the request.
func (c *Core) Promise(term uint64, node string) bool {
	if term < c.promised || term == c.promised && c.promisedTo != node || term <= c.term {
		return false
	}
	c.promised = term
	c.promisedTo = node
	return true
}

// Promote makes the server the primary of a term that it has promised to node, and reports whether it is. Repeating the order
// has no effect. The caller must first apply the rest of the log, so that reads of the new primary show all of it.
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

// Follow makes the server a replica in a term, and reports whether it accepted the order. It refuses terms lower than its own
// or the promised one.
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

// NextAppend returns the next request to a replica, with at most limit entries. It returns false if the server does not lead.
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

// HandleAppend appends a primary's entries to the log and truncates entries that conflict with them. It refuses a request from
// a term lower than its own or the promised one.
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

// rewindOffset returns the offset after which the primary must resend when the logs do not match. It is lower than the offset
// of the mismatch, and this log may still agree with the primary's up to it.
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

// HandleResponse records a replica's response. It returns true if the response has a higher term, which means that this
// server's term has ended.
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

// MajorityHolds reports whether a majority of the group holds the log up to p, and has answered requests that this primary sent
// at or after since. If a promotion has dropped the entry at p, lost is true, and held is about the first entry of the term
// instead.
func (c *Core) MajorityHolds(p session.Position, since time.Duration) (held, lost bool) {
	if !c.Leads() {
		return false, false
	}
	if _, dropped := session.DroppedBy(p, c.forks); dropped {
		lost = true
		p = c.positionAt(c.termStart)
	}
	return c.majorityOffset() >= max(p.Offset, c.termStart) && c.lastQuorumContact(since) >= since, lost
}

// MajorityPosition returns the position up to which a majority of the group is known to hold the log.
func (c *Core) MajorityPosition() session.Position {
	return c.positionAt(c.majorityOffset())
}

func (c *Core) majorityOffset() uint64 {
	offsets := []uint64{uint64(len(c.log))}
	for _, p := range c.peers {
		offsets = append(offsets, c.matchOffset[p])
	}
	slices.Sort(offsets)
	return offsets[(len(offsets)-1)/2]
}

// lastQuorumContact returns the latest time at which a majority, including this server, is known to have followed its term.
func (c *Core) lastQuorumContact(now time.Duration) time.Duration {
	times := []time.Duration{now}
	for _, p := range c.peers {
		times = append(times, c.lastResponse[p])
	}
	slices.Sort(times)
	return times[(len(times)-1)/2]
}

// ApplyNext makes the next entry visible to reads. It returns the offset and the entry, or false if all entries are applied.
func (c *Core) ApplyNext() (uint64, Entry, bool) {
	if c.applied >= uint64(len(c.log)) {
		return 0, Entry{}, false
	}
	c.applied++
	return c.applied, c.log[c.applied-1], true
}

// Entry returns the entry at an offset. It panics if the log has no such entry.
func (c *Core) Entry(offset uint64) Entry {
	return c.log[offset-1]
}

// Log returns a copy of the whole log.
func (c *Core) Log() []Entry {
	return slices.Clone(c.log)
}

// MarkLinkClosed records that the primary's VM refuses connections. Missing heartbeats alone do not show this.
func (c *Core) MarkLinkClosed() {
	c.linkClosed = true
}

// MarkLeaving records whether the server's VM is going to be removed.
func (c *Core) MarkLeaving(leaving bool) {
	c.leaving = leaving
}
