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
	pollEvery = time.Second
	// pollers is how many nodes of the fleet ask the platform; the others hear from them.
	pollers = 6
	// pollDuty is the name of that duty in the rendezvous hash.
	pollDuty   = "platform"
	storeLimit = 2 * time.Second
)

// BundlePointer is the row that names the bundle in force.
type BundlePointer struct {
	Version   uint64 `json:"version"`
	Object    string `json:"object"`
	Operation string `json:"operation"`
	By        string `json:"by"`
}

// BundlePointerKey is the key of a deployment's pointer row.
func BundlePointerKey(deployment string) string {
	return "bundles/" + deployment
}

// poll asks the platform for bundles and the VM list while this node has that duty.
func (n *Node) poll() error {
	t := time.NewTicker(pollEvery)
	defer t.Stop()
	for {
		if n.hasDuty(pollDuty, pollers) {
			n.pollOnce()
		}
		select {
		case <-n.ctx.Done():
			return n.ctx.Err()
		case <-t.C:
		}
	}
}

func (n *Node) hasDuty(duty string, holders int) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return peer.Rank(n.settings.Node, duty, n.members) < holders
}

func (n *Node) pollOnce() {
	ctx, stop := context.WithTimeout(n.ctx, storeLimit)
	defer stop()
	n.pollBundle(ctx)
	n.pollVMs(ctx)
}

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

// pollVMs takes the platform's word for servers that are leaving and for nodes that are not known yet.
func (n *Node) pollVMs(ctx context.Context) {
	vms, err := n.store.VMs(ctx)
	if err != nil {
		return
	}
	var us []peer.Update
	for _, v := range vms {
		n.thread.Post(upstream.VMListed{Server: v.Name, Leaving: v.State == "leaving"})
		u := peer.Update{Name: v.Name, Zone: v.Zone, Address: v.Address}
		switch {
		case v.Address == "" || v.State == "gone" || n.isServer(v.Name):
			continue
		case v.State == "leaving":
			u.State = peer.StateLeaving
		}
		us = append(us, u)
	}
	n.thread.Post(peer.VMsListed{Updates: us})
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

// putRecords writes audit records as JSON lines.
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

// intend leaves word of a promotion that begins; nothing depends on it.
func (n *Node) intend(a upstream.RecordIntent) {
	n.leaveWord("intents/"+a.Group, map[string]any{"term": a.Term, "node": n.settings.Node})
}

// announce leaves word of who leads a group, for nodes that start while no server can be asked.
func (n *Node) announce(a upstream.AnnouncePrimary) {
	if n.hasDuty(a.Group, 1) {
		n.leaveWord("routes/"+a.Group, peer.Route{Group: a.Group, Term: a.Term, Primary: a.Primary})
	}
}

// leaveWord writes a row whatever it held before; the servers' terms decide, not the row.
func (n *Node) leaveWord(key string, value any) {
	if n.store == nil {
		return
	}
	ctx, stop := context.WithTimeout(n.ctx, storeLimit)
	defer stop()
	row, err := n.store.Get(ctx, key)
	if err == nil {
		_, err = n.store.CompareAndSet(ctx, key, row.Version, value)
	}
	if err != nil {
		n.log.Debug("word not left", zap.String("key", key), zap.Error(err))
	}
}
