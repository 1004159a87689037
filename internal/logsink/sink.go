package logsink

import (
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// queuedLines is how many lines may wait for the writer. At the rate limit of the log it holds the lines of several seconds.
	queuedLines = 1024
	// syncTimeout limits how long Sync waits for queued lines to be written.
	syncTimeout = 500 * time.Millisecond
)

// Sink is a zapcore.WriteSyncer that never blocks on writes. A line is dropped and counted if the queue is full.
type Sink struct {
	lines   chan []byte
	syncs   chan chan struct{}
	dropped atomic.Uint64
	written atomic.Uint64
	once    sync.Once
	out     io.Writer
}

// New returns a sink that writes to w.
func New(w io.Writer) *Sink {
	return &Sink{lines: make(chan []byte, queuedLines), syncs: make(chan chan struct{}), out: w}
}

// Write queues a copy of one line. It never returns an error.
func (s *Sink) Write(line []byte) (int, error) {
	s.once.Do(func() { go s.run() })
	select {
	case s.lines <- append([]byte(nil), line...):
	default:
		s.dropped.Add(1)
	}
	return len(line), nil
}

// Sync waits up to syncTimeout until all queued lines are written. It never returns an error.
func (s *Sink) Sync() error {
	s.once.Do(func() { go s.run() })
	done := make(chan struct{})
	timeout := time.NewTimer(syncTimeout)
	defer timeout.Stop()
	select {
	case s.syncs <- done:
	case <-timeout.C:
		return nil
	}
	select {
	case <-done:
	case <-timeout.C:
	}
	return nil
}

// Counts returns the number of bytes written and the number of lines dropped.
func (s *Sink) Counts() (written, dropped uint64) {
	return s.written.Load(), s.dropped.Load()
}

// run writes queued lines. For each request of Sync it writes all lines that are in the queue before it closes the channel.
func (s *Sink) run() {
	for {
		select {
		case l := <-s.lines:
			s.write(l)
		case done := <-s.syncs:
			for len(s.lines) > 0 {
				s.write(<-s.lines)
			}
			close(done)
		}
	}
}

// write writes one line. A failed write is counted as a dropped line, because the log cannot report its own failure.
func (s *Sink) write(l []byte) {
	n, err := s.out.Write(l)
	s.written.Add(uint64(n))
	if err != nil {
		s.dropped.Add(1)
	}
}
