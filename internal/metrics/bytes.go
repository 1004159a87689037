package metrics

import (
	"net"
	"sync/atomic"
	"syscall"
)

// Distance is the network distance between the two ends of a connection.
type Distance int

// The distances. Traffic between zones is usually billed.
const (
	SameZone Distance = iota
	SameRegion
	OtherRegion
	distanceCount
)

// String returns the metric label of the distance.
func (d Distance) String() string {
	return [...]string{"same_zone", "same_region", "other_region"}[d]
}

// DistanceBetween returns the distance between two zones with the given regions.
func DistanceBetween(zone, region, otherZone, otherRegion string) Distance {
	switch {
	case zone == otherZone:
		return SameZone
	case region == otherRegion:
		return SameRegion
	default:
		return OtherRegion
	}
}

// ByteCounter counts sent and received payload bytes by distance. It is safe for concurrent use.
type ByteCounter struct {
	sent, received [distanceCount]atomic.Int64
}

// AddSent counts n bytes sent by this node.
func (b *ByteCounter) AddSent(d Distance, n int) {
	b.sent[d].Add(int64(n))
}

// WrapConn returns a connection that counts the bytes of c.
func (b *ByteCounter) WrapConn(c net.Conn, d Distance) net.Conn {
	return countedConn{Conn: c, bytes: b, distance: d}
}

// countedConn is a connection whose bytes are counted.
type countedConn struct {
	net.Conn
	bytes    *ByteCounter
	distance Distance
}

func (c countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.received[c.distance].Add(int64(n))
	return n, err
}

func (c countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.sent[c.distance].Add(int64(n))
	return n, err
}

// SyscallConn gives access to the socket, which is needed to check an idle connection without reading from it.
func (c countedConn) SyscallConn() (syscall.RawConn, error) {
	s, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, syscall.ENOTSUP
	}
	return s.SyscallConn()
}
