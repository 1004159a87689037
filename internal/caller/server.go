package caller

import (
	"slices"
	"time"

	"buckthornport.example/buckthornport/internal/upstream"
	"buckthornport.example/buckthornport/pkg/session"
)

// Server is the lane's row of one database server: what control sees of it, and what the lane uses of it.
type Server struct {
	View  upstream.ServerView
	Slots int
	// LongSlots is how many of the slots long requests may hold.
	LongSlots int
	Conns     int
	Running   int
	Long      int
	Open      int
	Opening   int
	Idle      []ConnID
	Retry     time.Duration
	// Behind is until when the server is thought to lack what reads of a stated age need, Declined until when it is spared.
	Behind   time.Duration
	Declined time.Duration
	// Lacked is how often in a row the server lacked what a read needed.
	Lacked int
	// Told and Doubted are when control was last told of an answer, and of a missing one.
	Told    time.Duration
	Doubted time.Duration
	// Answered is when the server last answered a request of this lane.
	Answered time.Duration
	// Took is the mean time of its answers, weighted towards the latest.
	Took time.Duration
	// Shown is the latest position that an answer of the server has shown.
	Shown session.Position
}

// WithView returns the row with a newer picture of the server. What a replica has shown in this term it still has, so a
// picture that is older than its last answer does not take that back.
func (s Server) WithView(v upstream.ServerView) Server {
	if v.Term == s.View.Term && v.Alive {
		v.Applied = v.Applied.Max(s.Shown)
	} else {
		s.Shown = session.Position{}
	}
	s.View = v
	return s
}

// WithShown returns the row after an answer that showed the server's state at p.
func (s Server) WithShown(p session.Position) Server {
	if p.Term == s.View.Term {
		s.Shown = s.Shown.Max(p)
		s.View.Applied = s.View.Applied.Max(p)
	}
	return s
}

// WithBehind returns the row of a server that lacked what a read needed, or for zero of one that had it.
func (s Server) WithBehind(until time.Duration) Server {
	s.Behind = until
	s.Lacked++
	if until == 0 {
		s.Lacked = 0
	}
	return s
}

// WithDeclined returns the row of a server that declined a request.
func (s Server) WithDeclined(until time.Duration) Server {
	s.Declined = until
	return s
}

// WithTold returns the row after control was told of an answer to what was sent at a moment.
func (s Server) WithTold(at time.Duration) Server {
	s.Told = at
	return s
}

// WithDoubted returns the row after control was told of a missing answer.
func (s Server) WithDoubted(now time.Duration) Server {
	s.Doubted = now
	return s
}

// WithAnswered returns the row after an answer to a request.
func (s Server) WithAnswered(now time.Duration) Server {
	s.Answered = now
	return s
}

// WithTook returns the row after an answer that took so long.
func (s Server) WithTook(d time.Duration) Server {
	if s.Took == 0 {
		s.Took = d
	}
	s.Took += time.Duration(flowWeight * float64(d-s.Took))
	return s
}

// WithLimits returns the row with other shares of the server's slots and connections.
func (s Server) WithLimits(slots, long, conns int) Server {
	s.Slots = slots
	s.LongSlots = long
	s.Conns = conns
	return s
}

// WithRunning returns the row with n more, or fewer, requests running.
func (s Server) WithRunning(n int, long bool) Server {
	s.Running += n
	if long {
		s.Long += n
	}
	return s
}

// WithOpening returns the row with n more, or fewer, connections being opened.
func (s Server) WithOpening(n int) Server {
	s.Opening += n
	return s
}

// WithOpen returns the row with n more, or fewer, open connections.
func (s Server) WithOpen(n int) Server {
	s.Open += n
	return s
}

// WithIdle returns the row with one more idle connection, which is used first.
func (s Server) WithIdle(c ConnID) Server {
	s.Idle = append(s.Idle[:len(s.Idle):len(s.Idle)], c)
	return s
}

// WithoutIdle returns the row without an idle connection.
func (s Server) WithoutIdle(c ConnID) Server {
	if n := len(s.Idle) - 1; n >= 0 && s.Idle[n] == c {
		s.Idle = s.Idle[:n]
		return s
	}
	s.Idle = slices.DeleteFunc(slices.Clone(s.Idle), func(o ConnID) bool { return o == c })
	return s
}

// WithRetry returns the row of a server that is not to be connected to before the given time.
func (s Server) WithRetry(at time.Duration) Server {
	s.Retry = at
	return s
}

// Free returns how many more requests may run on the server.
func (s Server) Free() int {
	return s.Slots - s.Running
}
