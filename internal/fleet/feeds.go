package fleet

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"time"

	"buckthornport.example/buckthornport/internal/control"
	"buckthornport.example/buckthornport/internal/operator"
	"buckthornport.example/buckthornport/internal/peer"
	listing "buckthornport.example/buckthornport/internal/platform"
	"buckthornport.example/buckthornport/internal/tick"
	"buckthornport.example/buckthornport/pkg/bundle"
	"buckthornport.example/buckthornport/platform"
)

const (
	// configReadWait and configConfirmTimeout are short compared with the seconds within which a configuration must be in force: a
	// node that the readers of its region no longer reach has to notice, and to read the store itself, in that time.
	configReadWait       = time.Second
	configConfirmTimeout = 1500 * time.Millisecond
	configBatchDelay     = 200 * time.Millisecond
	// serversReadWait, serversConfirmTimeout and serversBatchDelay are short compared with the time after which a server that is being
	// drained must get no new work.
	serversReadWait       = 1500 * time.Millisecond
	serversConfirmTimeout = 2500 * time.Millisecond
	serversBatchDelay     = time.Second
	// storeCallTimeout bounds a read of the member table and a write of one row.
	storeCallTimeout = 2 * time.Second
	// minRetryDelay and maxRetryDelay bound the exponential back-off after a failed call. Each delay is jittered, so that nodes do
	// not return to the store all at once.
	minRetryDelay = 150 * time.Millisecond
	maxRetryDelay = 800 * time.Millisecond
	// minMembersInterval is the minimum time between two reads of the member table. The interval grows with the fleet by
	// membersIntervalPerNode, so that the fleet reads at most one row per membersIntervalPerNode and node. Gossip announces new nodes
	// sooner; the table only reconnects parts of the fleet that have lost contact with each other.
	minMembersInterval     = time.Minute
	membersIntervalPerNode = 750 * time.Millisecond
	// fleetStartDelay is how long after its start a node that registers for the first time reads the member table again. It is well
	// above the time between the starts of the nodes of a fleet that starts at once.
	fleetStartDelay = time.Second
	// newEraDelay is the longest delay until a node registers again in a new era of the store.
	newEraDelay = 2 * time.Second
	// tableMembers holds one row per node that ever started, keyed by the node's peer address.
	tableMembers = "buckthornport_members"
)

// newMirror returns the copies of the tables that the operator and the servers write.
func newMirror() (*listing.Mirror, error) {
	return listing.NewMirror(
		listing.WithMirrorJitter(tick.Jitter),
		listing.WithTable(listing.TableRules{
			Name: platform.TableConfig, ReadWait: configReadWait, ConfirmTimeout: configConfirmTimeout, BatchDelay: configBatchDelay,
			CompareAge: platform.CompareConfigs,
		}),
		listing.WithTable(listing.TableRules{
			Name: platform.TableServers, ReadWait: serversReadWait, ConfirmTimeout: serversConfirmTimeout, BatchDelay: serversBatchDelay,
		}))
}

// assignSources determines whether this node reads the store for the nodes of its region, and to which of them it passes changes
// on. It does nothing until the member table was read or memberListTimeout has passed.
func (n *Node) assignSources() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if !n.membersRead {
		return
	}
	region := n.settings.Zones.Region(n.settings.Zone)
	var near []peer.Update
	for _, u := range n.members {
		if u.Zone != "" && n.settings.Zones.Region(u.Zone) == region {
			near = append(near, u)
		}
	}
	readers, substitutes := peer.StoreReaders(near)
	a := listing.SourcesAssigned{
		Reader: slices.Contains(readers, n.settings.Peer), Substitute: slices.Contains(substitutes, n.settings.Peer),
		Successors: peer.Successors(n.settings.Peer, near), Nodes: len(near),
	}
	if s := n.sources; s != nil && s.Reader == a.Reader && s.Substitute == a.Substitute && slices.Equal(s.Successors, a.Successors) {
		return
	}
	n.sources = &a
	n.thread.Post(a)
}

// connectMirror sets the functions through which the control thread performs the actions of the mirror.
func (n *Node) connectMirror() {
	t := n.thread
	t.ReadTable = func(ctx context.Context, a listing.ReadTable) (listing.RowsRead, error) {
		rs, err := n.store.ReadAll(ctx, a.Table)
		n.auditRead(a.Table, err)
		return rowsRead(rs, true), err
	}
	t.ReadChanges = func(ctx context.Context, a listing.ReadChanges) (listing.RowsRead, error) {
		progress := func() { n.thread.Post(listing.ReadProgressed{Table: a.Table}) }
		rs, err := n.store.Feed(ctx, a.Table, a.After, a.Wait, progress)
		n.auditRead(a.Table, err)
		return rowsRead(rs, false), err
	}
	t.HistoryGone = func(err error) bool { return errors.Is(err, platform.ErrHistoryTruncated) }
	t.SendTable = func(a listing.SendTable) { n.link.SendTable(n.settings.Peer, a.To, n.memberZone(a.To), a.Message) }
	t.TableChanged = n.applyTable
}

func rowsRead(rs platform.Rows, all bool) listing.RowsRead {
	r := listing.RowsRead{
		Era: rs.Era, Version: rs.Version, All: all, Rows: make([]listing.Row, 0, len(rs.Rows)), Transfer: rs.Transfer,
	}
	for _, v := range rs.Rows {
		r.Rows = append(r.Rows, listing.Row{Key: v.Key, Value: v.Value, Version: v.Version, Deleted: v.Deleted})
	}
	return r
}

// auditRead writes an audit record when reads of a table begin to fail, work again, or ask for changes that are gone.
func (n *Node) auditRead(table string, err error) {
	if n.ctx.Err() != nil {
		return
	}
	n.mu.Lock()
	lost := n.lostTables[table]
	n.lostTables[table] = err != nil && !errors.Is(err, platform.ErrHistoryTruncated)
	n.mu.Unlock()
	switch {
	case errors.Is(err, platform.ErrHistoryTruncated):
		n.auditDependency("store/"+table, "history_gone", err)
	case err != nil && !lost:
		n.auditDependency("store/"+table, "lost", err)
	case err == nil && lost:
		n.auditDependency("store/"+table, "regained", nil)
	}
}

// applyTable passes changed rows on to the control thread. Rows from another node may be the first that is heard of a new era.
func (n *Node) applyTable(a listing.TableChanged) {
	n.store.ObserveEra(a.Era)
	switch {
	case a.Table == platform.TableConfig:
		for _, r := range a.Rows {
			if r.Key == platform.KeyConfig && !r.Deleted {
				n.thread.Post(control.BundleOffered{Encoded: r.Value, Source: a.Source, Transfer: a.Transfer})
			}
		}
	case a.All:
		n.replaceServers(a.Rows, a.Restored)
	default:
		for _, r := range a.Rows {
			n.updateServerRow(r)
		}
	}
}

// replaceServers passes a complete list of the servers on to the control thread. A restored list may be older than what is known.
func (n *Node) replaceServers(rs []listing.Row, restored bool) {
	var es []listing.Entry
	for _, r := range rs {
		if e, ok := n.decodeServerRow(r); ok {
			es = append(es, e)
		}
	}
	n.thread.Post(listing.ListRead{Entries: es, Restored: restored})
}

// updateServerRow passes a changed or removed server on to the control thread. An unreadable row counts as removed.
func (n *Node) updateServerRow(r listing.Row) {
	if e, ok := n.decodeServerRow(r); ok {
		n.thread.Post(listing.EntryWritten{Entry: e})
	} else {
		n.thread.Post(listing.EntryRemoved{ID: r.Key})
	}
}

// decodeServerRow decodes the row that a server wrote about itself. It returns false for deleted and unreadable rows.
func (n *Node) decodeServerRow(r listing.Row) (listing.Entry, bool) {
	if r.Deleted {
		return listing.Entry{}, false
	}
	e, err := platform.DecodeEntry(r.Key, r.Value)
	if err != nil {
		n.writeAuditRecord(operator.Record{Kind: operator.KindServer, Server: r.Key, Cause: "entry_unreadable"}.
			WithEvidence("error", err.Error()))
		return listing.Entry{}, false
	}
	return e, true
}

// followMembers reads the member table at intervals and in each era of the store, until the node's context ends. It registers this
// node if the table lacks its row, and again in each era, since the store may have lost it. A node that finds no row of its own
// reads the table once more, fleetStartDelay after its start: many nodes may be starting for the first time, and one that took
// those few that have registered for the whole fleet would serve every group.
func (n *Node) followMembers() error {
	readAgainAt := n.clock() + fleetStartDelay
	registeredIn := uint64(0)
	delay := minRetryDelay
	for n.ctx.Err() == nil {
		rs, err := n.readMembers()
		n.auditRead(tableMembers, err)
		if err != nil {
			n.sleep(delay/2 + tick.Jitter(delay/2))
			delay = min(2*delay, maxRetryDelay)
			continue
		}
		delay = minRetryDelay
		era := max(1, rs.Era)
		first := registeredIn == 0
		if registeredIn < era {
			registeredIn = era
			if n.hasOwnRow(rs) {
				first = false
			} else {
				go n.registerMember()
			}
		}
		if wait := readAgainAt - n.clock(); first && wait > 0 {
			n.sleep(wait)
			continue
		}
		n.applyMembers(rs)
		n.awaitMembersRead(max(minMembersInterval, time.Duration(len(rs.Rows))*membersIntervalPerNode))
	}
	return n.ctx.Err()
}

// hasOwnRow reports whether the member table holds this node's row as it would write it.
func (n *Node) hasOwnRow(rs platform.Rows) bool {
	raw, err := n.encodeMember()
	return err == nil && slices.ContainsFunc(rs.Rows, func(r platform.Row) bool {
		return r.Key == n.settings.Peer && bytes.Equal(r.Value, raw)
	})
}

// awaitMembersRead waits until the member table must be read again: for the given time, or for a short one if the store begins a
// new era. That time is random, so that a large fleet does not write to the store all at once.
func (n *Node) awaitMembersRead(d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-n.ctx.Done():
	case <-t.C:
	case <-n.eraBegun:
		n.sleep(tick.Jitter(newEraDelay))
	}
}

func (n *Node) readMembers() (platform.Rows, error) {
	ctx, stop := context.WithTimeout(n.ctx, storeCallTimeout)
	defer stop()
	return n.store.ReadAll(ctx, tableMembers)
}

// applyMembers passes the registered nodes on to the membership.
func (n *Node) applyMembers(rs platform.Rows) {
	var us []peer.Update
	for _, r := range rs.Rows {
		u, err := decodeMember(r.Key, r.Value, n.settings.Zones)
		if err != nil {
			n.writeAuditRecord(operator.Record{Kind: operator.KindMember, Server: r.Key, Cause: "row_unreadable"}.
				WithEvidence("error", err.Error()))
			continue
		}
		us = append(us, u)
	}
	n.thread.Post(peer.VMsListed{Updates: us})
}

// memberRow is the row that a node writes about itself into the member table.
type memberRow struct {
	Zone   string `json:"zone"`
	Weight uint32 `json:"weight"`
}

// maxMemberWeight is above the processor share of any machine, in thousandths of a core.
const maxMemberWeight = 1_000_000

// decodeMember decodes the row of a node. It returns an error for a row that describes no node of the deployment.
func decodeMember(key string, raw []byte, zones bundle.Zones) (peer.Update, error) {
	var m memberRow
	if err := json.Unmarshal(raw, &m); err != nil {
		return peer.Update{}, err
	}
	if err := platform.CheckAddress(key); err != nil {
		return peer.Update{}, err
	}
	switch {
	case len(zones) > 0 && !slices.ContainsFunc(zones, func(z bundle.Zone) bool { return z.Name == m.Zone }):
		return peer.Update{}, fmt.Errorf("zone %.40q is not configured", m.Zone)
	case m.Weight > maxMemberWeight:
		return peer.Update{}, fmt.Errorf("weight %d is above %d", m.Weight, maxMemberWeight)
	}
	return peer.Update{Name: key, Zone: m.Zone, Address: key, Weight: m.Weight}, nil
}

func (n *Node) encodeMember() ([]byte, error) {
	return json.Marshal(memberRow{Zone: n.settings.Zone, Weight: n.settings.CPUWeight()})
}

// registerMember writes this node's row into the member table. It retries, because the store may be unavailable when the node
// starts.
func (n *Node) registerMember() {
	raw, err := n.encodeMember()
	for delay := minRetryDelay; err == nil && n.ctx.Err() == nil; delay = min(2*delay, maxRetryDelay) {
		ctx, stop := context.WithTimeout(n.ctx, storeCallTimeout)
		writeErr := n.store.Write(ctx, tableMembers, n.settings.Peer, raw)
		stop()
		if writeErr == nil {
			return
		}
		n.auditDependency("store/"+tableMembers, "not_registered", writeErr)
		n.sleep(delay/2 + tick.Jitter(delay/2))
	}
}

func (n *Node) sleep(d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-n.ctx.Done():
	case <-t.C:
	}
}
