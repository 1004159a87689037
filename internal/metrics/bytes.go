package metrics

import (
	"net"
	"sync/atomic"
	"syscall"
)

// Distance is how far the two ends of a connection stand apart.
type Distance int

// The distances; bytes beyond the own zone are usually paid for.
const (
	SameZone Distance = iota
	SameRegion
	OtherRegion
	distances
)

// String names the distance.
func (d Distance) String() string {
	return [...]string{"same_zone", "same_region", "other_region"}[d]
}

// DistanceBetween returns the distance between two zones, given their regions.
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

// ByteCounter counts payload bytes by how far they travel; its methods may be called from any goroutine.
type ByteCounter struct {
	sent, received [distances]atomic.Int64
}

// AddSent counts bytes that left this node.
func (b *ByteCounter) AddSent(d Distance, n int) {
	b.sent[d].Add(int64(n))
}

// WrapConn returns the connection with its bytes counted.
func (b *ByteCounter) WrapConn(c net.Conn, d Distance) net.Conn {
	return countedConn{Conn: c, bytes: b, distance: d}
}

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

// SyscallConn gives access to the socket, so that an idle connection can be checked without reading from it.
func (c countedConn) SyscallConn() (syscall.RawConn, error) {
	s, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, syscall.ENOTSUP
	}
	return s.SyscallConn()
}
