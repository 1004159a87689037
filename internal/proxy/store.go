package proxy

import (
	"bytes"
	"context"
	"encoding/json"
	"time"

	"go.uber.org/zap"

	"buckthornport.example/buckthornport/internal/control"
	"buckthornport.example/buckthornport/internal/peer"
	"buckthornport.example/buckthornport/internal/platform"
	"buckthornport.example/buckthornport/internal/upstream"
)

const (
	pollInterval = time.Second
	// pollerCount is the number of nodes that poll the platform. The other nodes receive updates from them.
	pollerCount = 6
	// pollTask is the name of the polling task in the rendezvous hash.
	pollTask     = "platform"
	storeTimeout = 2 * time.Second
)

// BundlePointer is the row that names the active bundle: its version and the object that holds it, the operation that wrote the row
// and the operator who ran it.
type BundlePointer struct {
	Version   uint64 `json:"version"`
	Object    string `json:"object"`
	Operation string `json:"operation"`
	By        string `json:"by"`
}

// BundlePointerKey returns the key of a deployment's bundle pointer.
func BundlePointerKey(deployment string) string {
	return "bundles/" + deployment
}

// poll reads the bundle and the VM list from the platform at intervals while the polling task is assigned to this node.
func (n *Node) poll() error {
	t := time.NewTicker(pollInterval)
	defer t.Stop()
	for {
		if n.isAssigned(pollTask, pollerCount) {
			n.pollOnce()
		}
		select {
		case <-n.ctx.Done():
			return n.ctx.Err()
		case <-t.C:
		}
	}
}

// isAssigned reports whether this node is one of the given number of nodes that carry out a task.
func (n *Node) isAssigned(task string, nodes int) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return peer.Rank(n.settings.Node, task, n.members) < nodes
}

func (n *Node) pollOnce() {
	ctx, stop := context.WithTimeout(n.ctx, storeTimeout)
	defer stop()
	n.pollBundle(ctx)
	n.pollVMs(ctx)
}

// pollBundle offers the bundle of the pointer row to the control thread if it is newer than the active one.
func (n *Node) pollBundle(ctx context.Context) {
	row, err := n.store.Get(ctx, BundlePointerKey(n.Bundle().Deployment))
	if err != nil || row.Version == 0 {
		return
	}
	var p BundlePointer
	if err := json.Unmarshal(row.Value, &p); err != nil || p.Version <= n.Bundle().Version {
		return
	}
	if b, err := n.store.Object(ctx, p.Object); err == nil {
		n.thread.Post(control.BundleOffered{Encoded: b, Source: "platform"})
	}
}

// pollVMs reports to the control thread which servers the platform's VM list marks as leaving. It also reports the nodes on the
// list, so that nodes that are not known yet become members.
func (n *Node) pollVMs(ctx context.Context) {
	vms, err := n.store.VMs(ctx)
	if err != nil {
		return
	}
	var updates []peer.Update
	for _, v := range vms {
		n.thread.Post(upstream.VMListed{Server: v.Name, Leaving: v.State == "leaving"})
		u := peer.Update{Name: v.Name, Zone: v.Zone, Address: v.Address}
		switch {
		case v.Address == "" || v.State == "gone" || n.isServer(v.Name):
			continue
		case v.State == "leaving":
			u.State = peer.StateLeaving
		}
		updates = append(updates, u)
	}
	n.thread.Post(peer.VMsListed{Updates: updates})
}

func (n *Node) isServer(name string) bool {
	for _, g := range n.Bundle().Groups {
		for _, s := range g.Servers {
			if s.Name == name {
				return true
			}
		}
	}
	return false
}

// putRecords writes audit records to an object in the platform's store, as JSON lines. It does nothing without a platform.
func (n *Node) putRecords(ctx context.Context, a platform.PutRecords) error {
	if n.store == nil {
		return nil
	}
	var b bytes.Buffer
	e := json.NewEncoder(&b)
	for _, r := range a.Records {
		if err := e.Encode(r); err != nil {
			return err
		}
	}
	return n.store.PutObject(ctx, a.Name, b.Bytes())
}

// recordIntent writes a row about a promotion that begins. Nothing depends on the row.
func (n *Node) recordIntent(a upstream.RecordIntent) {
	n.writeRow("intents/"+a.Group, map[string]any{"term": a.Term, "node": n.settings.Node})
}

// announcePrimary writes the primary of a group to the store, for nodes that start while no server is reachable.
func (n *Node) announcePrimary(a upstream.AnnouncePrimary) {
	if n.isAssigned(a.Group, 1) {
		n.writeRow("routes/"+a.Group, peer.Route{Group: a.Group, Term: a.Term, Primary: a.Primary})
	}
}

// writeRow writes a row regardless of its previous value. A stale row does no harm, because decisions depend on the servers' terms
// and not on the row.
func (n *Node) writeRow(key string, value any) {
	if n.store == nil {
		return
	}
	ctx, stop := context.WithTimeout(n.ctx, storeTimeout)
	defer stop()
	row, err := n.store.Get(ctx, key)
	if err == nil {
		_, err = n.store.CompareAndSet(ctx, key, row.Version, value)
	}
	if err != nil {
		n.log.Debug("cannot write row", zap.String("key", key), zap.Error(err))
	}
}
