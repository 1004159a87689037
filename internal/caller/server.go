package caller

import (
	"slices"
	"time"

	"buckthornport.example/buckthornport/internal/upstream"
	"buckthornport.example/buckthornport/pkg/session"
)

// Server is the lane's row of one database server: what control reports about it, and what the lane uses of it.
type Server struct {
	View  upstream.ServerView
	Slots int
	// LongSlots is how many of the slots requests of long classes may hold.
	LongSlots int
	// ConnLimit is the node's share of the server's connections. With Retired set, none of them is kept when it is idle.
	ConnLimit    int
	Retired      bool
	Running      int
	RunningLong  int
	OpenConns    int
	OpeningConns int
	IdleConns    []ConnID
	// Transactions counts the open transactions of the lane at the server, including those that are about to begin.
	Transactions int
	// OpenTime is the moving average of the time to open a connection.
	OpenTime time.Duration
	// RetryAt is the earliest time of the next attempt to connect.
	RetryAt time.Duration
	// Reads that accept an age avoid the server until BehindUntil if it lacked their position, and until DeclinedUntil if it
	// declined a request for another reason.
	BehindUntil   time.Duration
	DeclinedUntil time.Duration
	// BehindCount counts consecutive reads for which the server lacked the required position.
	BehindCount int
	// ResponseReportedAt is the send time of the last request whose answer was reported to control. SuspicionReportedAt is
	// when a missing answer was last reported to control.
	ResponseReportedAt  time.Duration
	SuspicionReportedAt time.Duration
	// AnsweredAt is when the server last answered a request of this lane.
	AnsweredAt time.Duration
	// MeanAnswerTime is the moving average of its answer times.
	MeanAnswerTime time.Duration
	// ShownPosition is the highest position that an answer of the server has shown in this term.
	ShownPosition session.Position
	// BusySince is when the server got a request while it ran none of this lane.
	BusySince time.Duration
	// Capacity is what the lane has learned about the server's capacity.
	Capacity Capacity
}

// WithView returns the row with a newer snapshot of the server. While the server is alive and its term is unchanged, its
// applied position stays at least ShownPosition, since the snapshot may be older than the server's last answer.
func (s Server) WithView(v upstream.ServerView) Server {
	if v.Term == s.View.Term && v.Alive {
		v.Applied = v.Applied.Max(s.ShownPosition)
	} else {
		s.ShownPosition = session.Position{}
	}
	s.View = v
	return s
}

// WithShownPosition returns the row after an answer that showed the server's state at p.
func (s Server) WithShownPosition(p session.Position) Server {
	if p.Term == s.View.Term {
		s.ShownPosition = s.ShownPosition.Max(p)
		s.View.Applied = s.View.Applied.Max(p)
	}
	return s
}

// WithBehindUntil returns the row of a server that lacked the position a read required. Zero means that it had the position.
func (s Server) WithBehindUntil(until time.Duration) Server {
	s.BehindUntil = until
	s.BehindCount++
	if until == 0 {
		s.BehindCount = 0
	}
	return s
}

// WithDeclinedUntil returns the row of a server that declined a request.
func (s Server) WithDeclinedUntil(until time.Duration) Server {
	s.DeclinedUntil = until
	return s
}

// WithResponseReported returns the row after an answer to a request sent at the given time was reported to control.
func (s Server) WithResponseReported(at time.Duration) Server {
	s.ResponseReportedAt = at
	return s
}

// WithSuspicionReported returns the row after a missing answer was reported to control.
func (s Server) WithSuspicionReported(now time.Duration) Server {
	s.SuspicionReportedAt = now
	return s
}

// WithAnswered returns the row after an answer to a request.
func (s Server) WithAnswered(now time.Duration) Server {
	s.AnsweredAt = now
	return s
}

// WithAnswerTime returns the row after an answer that took d.
func (s Server) WithAnswerTime(d time.Duration) Server {
	if s.MeanAnswerTime == 0 {
		s.MeanAnswerTime = d
	}
	s.MeanAnswerTime += time.Duration(meanWeight * float64(d-s.MeanAnswerTime))
	return s
}

// WithLimits returns the row with new shares of the server's slots and connections.
func (s Server) WithLimits(slots, long, conns int) Server {
	s.Slots = slots
	s.LongSlots = long
	s.ConnLimit = conns
	return s
}

// WithRetired returns the row of a server that other nodes use for the group, or that this node uses.
func (s Server) WithRetired(on bool) Server {
	s.Retired = on
	return s
}

// WithRunning returns the row with n more, or fewer, requests running.
func (s Server) WithRunning(n int, long bool) Server {
	s.Running += n
	if long {
		s.RunningLong += n
	}
	return s
}

// WithSent returns the row before a request is sent.
func (s Server) WithSent(now time.Duration) Server {
	if s.Running == 0 {
		s.BusySince = now
	}
	return s
}

// WithOpeningConns returns the row with n more, or fewer, connections being opened.
func (s Server) WithOpeningConns(n int) Server {
	s.OpeningConns += n
	return s
}

// WithOpenConns returns the row with n more, or fewer, open connections.
func (s Server) WithOpenConns(n int) Server {
	s.OpenConns += n
	return s
}

// WithTransactions returns the row with n more, or fewer, open transactions.
func (s Server) WithTransactions(n int) Server {
	s.Transactions += n
	return s
}

// WithOpenTime returns the row after a connection that took d to open.
func (s Server) WithOpenTime(d time.Duration) Server {
	if s.OpenTime == 0 {
		s.OpenTime = d
	}
	s.OpenTime += time.Duration(meanWeight * float64(d-s.OpenTime))
	return s
}

// WithIdleConn returns the row with one more idle connection, which is used first.
func (s Server) WithIdleConn(c ConnID) Server {
	s.IdleConns = append(s.IdleConns[:len(s.IdleConns):len(s.IdleConns)], c)
	return s
}

// WithoutIdleConn returns the row with an idle connection removed.
func (s Server) WithoutIdleConn(c ConnID) Server {
	if n := len(s.IdleConns) - 1; n >= 0 && s.IdleConns[n] == c {
		s.IdleConns = s.IdleConns[:n]
		return s
	}
	s.IdleConns = slices.DeleteFunc(slices.Clone(s.IdleConns), func(o ConnID) bool { return o == c })
	return s
}

// WithRetryAt returns the row of a server that must not be connected to before the given time.
func (s Server) WithRetryAt(at time.Duration) Server {
	s.RetryAt = at
	return s
}

// FreeSlots returns how many more requests may run on the server, by the learned limit if the server has one.
func (s Server) FreeSlots() int {
	if s.Capacity.Max > 0 {
		return s.Capacity.Allowed() - s.Running
	}
	return s.Slots - s.Running
}
