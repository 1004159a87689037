package metrics

import "sync/atomic"

// Purpose is what a message to another node or a new connection is for.
type Purpose int

// The purposes. Gossip covers the pings and updates of the membership, Tables the copies of the store's tables, and Limits the
// credit of tenants. Messages of all three travel on connections of the purpose Peers. Jobs are requests for a dispatcher. Control
// covers status requests and orders to servers, Statements the connections on which callers' statements run.
const (
	Gossip Purpose = iota
	Tables
	Limits
	Jobs
	Peers
	Control
	Statements
	purposeCount
)

// String returns the metric label of the purpose.
func (p Purpose) String() string {
	return [...]string{"gossip", "tables", "limits", "jobs", "peers", "control", "statements"}[p]
}

// PurposeCounter counts sent messages, their bytes and opened connections by purpose. It is safe for concurrent use.
type PurposeCounter struct {
	messages, connections [purposeCount]atomic.Int64
	bytes                 [purposeCount][distanceCount]atomic.Int64
}

// AddMessage counts a message of n bytes to a node at the given distance.
func (c *PurposeCounter) AddMessage(p Purpose, d Distance, n int) {
	c.messages[p].Add(1)
	c.bytes[p][d].Add(int64(n))
}

// AddConnection counts an opened connection.
func (c *PurposeCounter) AddConnection(p Purpose) {
	c.connections[p].Add(1)
}

// Messages returns the number of messages sent for a purpose.
func (c *PurposeCounter) Messages(p Purpose) int64 {
	return c.messages[p].Load()
}

// Bytes returns the number of bytes sent for a purpose over a distance.
func (c *PurposeCounter) Bytes(p Purpose, d Distance) int64 {
	return c.bytes[p][d].Load()
}

// Connections returns the number of connections opened for a purpose.
func (c *PurposeCounter) Connections(p Purpose) int64 {
	return c.connections[p].Load()
}

// Purposes writes the messages and bytes sent to other nodes, and the connections opened, by purpose.
func (t TextWriter) Purposes(c *PurposeCounter) {
	for _, p := range []Purpose{Gossip, Tables, Limits, Jobs} {
		t.Line("peer_messages_sent_total", c.Messages(p), "purpose", p.String())
		for d := range distanceCount {
			t.Line("peer_bytes_sent_total", c.Bytes(p, d), "purpose", p.String(), "distance", d.String())
		}
	}
	for _, p := range []Purpose{Peers, Jobs, Control, Statements} {
		t.Line("connections_opened_total", c.Connections(p), "purpose", p.String())
	}
}
