package budget

import "time"

// Class is a kind of connection. Each has a number of connections of its own.
type Class uint8

// The classes of connections.
const (
	Caller Class = iota
	Peer
	HTTP
	// Classes is the number of classes.
	Classes
)

// String returns the name of the class in logs.
func (c Class) String() string {
	return [Classes]string{"caller", "peer", "http"}[c]
}

const (
	// SessionBytes is the charge for a caller's connection. An idle session was measured to take 8 KB of memory, and the charge counts
	// bytesOfLimit times.
	SessionBytes = 5 << 10
	// FreeBytes is what each message, answer and session may hold without a reservation. The messages of ordinary callers are smaller.
	FreeBytes = 4 << 10
	// baseBytes is what a process takes without callers.
	baseBytes = 24 << 20
	// bytesOfLimit is how many bytes of memory one reserved byte may cause: Go's collector keeps garbage beside what is in use.
	bytesOfLimit = 2
	// fileReserve is the number of descriptors that are kept for files.
	fileReserve = 200
	// httpConns is the number of connections to the status and readiness addresses together.
	httpConns = 16
	// minOtherConns and maxOutgoingConns bound the descriptors that are set aside for connections to nodes and servers. A node has
	// some hundred of them.
	minOtherConns    = 32
	maxOutgoingConns = 384
	// maxPeerConns bounds the connections from other nodes. A node of a fleet of 300 was measured to accept 106 a second, of which
	// each is kept for 3 s, beside the links of callers' nodes to a dispatcher.
	maxPeerConns = 1024
)

// Limits bounds what the connections of a process may hold.
type Limits struct {
	// Bytes bounds all connections together, and State the part that session values and prepared statements take. SessionState bounds
	// these in one session.
	Bytes        int64
	State        int64
	SessionState int64
	// Conns bounds the number of connections by their class.
	Conns [Classes]int64
	// Wait is how long a connection waits for memory before it is refused, and Stall the time without progress after which a
	// connection is closed if others need its memory.
	Wait  time.Duration
	Stall time.Duration
	// Startup is the time for the startup of a connection. A message that has begun and an answer may take Grace, and a second more
	// for each Pace bytes.
	Startup time.Duration
	Grace   time.Duration
	Pace    int64
}

// NewLimits returns the limits of a process with the given memory and number of descriptors.
func NewLimits(memoryMB, maxFDs int) Limits {
	l := Limits{
		Bytes: max(int64(memoryMB)<<20-baseBytes, baseBytes/2) / bytesOfLimit, SessionState: 4 << 20,
		Wait: time.Second, Stall: 2 * time.Second,
		Startup: 10 * time.Second, Grace: 10 * time.Second, Pace: 1 << 10,
	}
	l.State = l.Bytes / 2
	available := maxFDs - min(fileReserve, maxFDs/4)
	peers := min(max(minOtherConns, available/6), maxPeerConns)
	outgoing := min(max(minOtherConns, available/8), maxOutgoingConns)
	l.Conns = [Classes]int64{
		Caller: min(int64(available-httpConns-peers-outgoing), l.Bytes*3/4/SessionBytes), Peer: int64(peers), HTTP: httpConns,
	}
	return l
}

// Deadline returns the time by which a transfer must have ended that began at the given time and has moved the given bytes so far.
func (l Limits) Deadline(began time.Time, moved int64) time.Time {
	return began.Add(l.Grace + time.Duration(moved)*time.Second/time.Duration(l.Pace))
}
