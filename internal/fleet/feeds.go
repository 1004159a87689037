package fleet

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"buckthornport.example/buckthornport/internal/control"
	"buckthornport.example/buckthornport/internal/operator"
	"buckthornport.example/buckthornport/internal/peer"
	listing "buckthornport.example/buckthornport/internal/platform"
	"buckthornport.example/buckthornport/internal/tick"
	"buckthornport.example/buckthornport/platform"
)

const (
	// readLimit bounds one reading of a whole table.
	readLimit = 2 * time.Second
	// feedRetry is the first pause after a call that failed, feedRetryMax the longest; both are spread at random, so that
	// nodes do not return to a store all at once.
	feedRetry    = 150 * time.Millisecond
	feedRetryMax = 800 * time.Millisecond
	// configPause and serversPause are the times after changes in which more of them gather before the next call, since changes come
	// in bursts. Both are small parts of the seconds within which a configuration has to be in force, and a server that leaves must
	// get no new work.
	configPause  = 200 * time.Millisecond
	serversPause = time.Second
	// membersEvery is the time between readings of the members: nodes that start are known by gossip sooner, and the table only
	// brings together parts of a fleet that have lost sight of each other.
	membersEvery = time.Minute
	// tableMembers holds a row for each node that ever started, under its address.
	tableMembers = "buckthornport_members"
)

// feed is one table of the store that the node follows.
type feed struct {
	table string
	// whole takes a reading of the table, change one row of it that changed.
	whole  func(rs []platform.Row)
	change func(r platform.Row)
	// pause is the time after changes in which more of them gather.
	pause time.Duration
	// every is the time between readings of a table whose changes are not waited for, zero for one that is followed.
	every time.Duration
}

func (n *Node) feeds() []feed {
	return []feed{
		{table: platform.TableConfig, whole: each(n.takeConfig), change: n.takeConfig, pause: configPause},
		{table: platform.TableServers, whole: n.takeEntries, change: n.takeEntry, pause: serversPause},
		{table: tableMembers, whole: n.takeMembers, every: membersEvery},
	}
}

func each(f func(r platform.Row)) func([]platform.Row) {
	return func(rs []platform.Row) {
		for _, r := range rs {
			f(r)
		}
	}
}

// follow reads a table and then waits for its changes, and begins anew when the store has lost track of them, or reads it now and
// then.
func (n *Node) follow(f feed) error {
	version, known, pause := uint64(0), false, feedRetry
	for n.ctx.Err() == nil {
		var err error
		if !known {
			version, err = n.readTable(f)
		} else {
			version, err = n.readChanges(f, version)
		}
		switch {
		case err == nil:
			if pause != feedRetry {
				n.depend("store/"+f.table, "regained", nil)
			}
			known, pause = f.every == 0, feedRetry
			n.sleep(f.every)
		case errors.Is(err, platform.ErrHistoryGone):
			n.depend("store/"+f.table, "history_gone", err)
			known = false
		case n.ctx.Err() != nil:
		default:
			if pause == feedRetry {
				n.depend("store/"+f.table, "lost", err)
			}
			n.sleep(pause/2 + tick.Jitter(pause/2))
			pause = min(2*pause, feedRetryMax)
		}
	}
	return n.ctx.Err()
}

func (n *Node) sleep(d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-n.ctx.Done():
	case <-t.C:
	}
}

func (n *Node) readTable(f feed) (uint64, error) {
	ctx, stop := context.WithTimeout(n.ctx, readLimit)
	defer stop()
	rs, err := n.store.ReadAll(ctx, f.table)
	if err != nil {
		return 0, err
	}
	f.whole(rs.Rows)
	return rs.Version, nil
}

func (n *Node) readChanges(f feed, version uint64) (uint64, error) {
	rs, err := n.store.Feed(n.ctx, f.table, version)
	if err != nil {
		return version, err
	}
	for _, r := range rs.Rows {
		f.change(r)
	}
	if len(rs.Rows) > 0 {
		n.sleep(f.pause)
	}
	return max(version, rs.Version), nil
}

func (n *Node) takeConfig(r platform.Row) {
	if r.Key == platform.KeyConfig && !r.Deleted {
		n.thread.Post(control.BundleOffered{Encoded: r.Value, Source: "store"})
	}
}

func (n *Node) takeEntries(rs []platform.Row) {
	var es []listing.Entry
	for _, r := range rs {
		if e, ok := n.entry(r); ok {
			es = append(es, e)
		}
	}
	n.thread.Post(listing.ListRead{Entries: es})
}

func (n *Node) takeEntry(r platform.Row) {
	if e, ok := n.entry(r); ok {
		n.thread.Post(listing.EntryWritten{Entry: e})
	} else {
		n.thread.Post(listing.EntryDropped{ID: r.Key})
	}
}

// entry decodes what a server wrote of itself; anything else names no server.
func (n *Node) entry(r platform.Row) (listing.Entry, bool) {
	if r.Deleted {
		return listing.Entry{}, false
	}
	e, err := platform.DecodeEntry(r.Key, r.Value)
	if err != nil {
		n.keep(operator.Record{Kind: operator.KindServer, Server: r.Key, Cause: "entry_unreadable"}.WithEvidence("error", err.Error()))
		return listing.Entry{}, false
	}
	return e, true
}

// memberRow is what a node leaves in the store so that others find it.
type memberRow struct {
	Zone   string `json:"zone"`
	Weight uint32 `json:"weight"`
}

// register leaves word of this node under its address; the store may be away when the node starts.
func (n *Node) register() {
	raw, err := json.Marshal(memberRow{Zone: n.settings.Zone, Weight: n.settings.CPUWeight()})
	for pause := feedRetry; err == nil && n.ctx.Err() == nil; pause = min(2*pause, feedRetryMax) {
		ctx, stop := context.WithTimeout(n.ctx, readLimit)
		failed := n.store.Write(ctx, tableMembers, n.settings.Peer, raw)
		stop()
		if failed == nil {
			return
		}
		n.depend("store/"+tableMembers, "not_registered", failed)
		n.sleep(pause/2 + tick.Jitter(pause/2))
	}
}

// takeMembers takes note of the nodes that have registered. This one registers after its first reading, so that it knows the fleet
// before it decides what it serves.
func (n *Node) takeMembers(rs []platform.Row) {
	var us []peer.Update
	for _, r := range rs {
		var m memberRow
		if err := json.Unmarshal(r.Value, &m); err != nil {
			n.keep(operator.Record{Kind: operator.KindMember, Server: r.Key, Cause: "row_unreadable"}.WithEvidence("error", err.Error()))
			continue
		}
		us = append(us, peer.Update{Name: r.Key, Zone: m.Zone, Address: r.Key, Weight: m.Weight})
	}
	n.thread.Post(peer.Listed{Updates: us})
	n.registering.Do(func() { go n.register() })
}
