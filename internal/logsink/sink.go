package logsink

import (
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// waiting is how many lines may wait for the writer; at the bounds of the limiter it is several seconds' worth.
	waiting = 1024
	// syncLimit bounds the wait for lines that are still to be written at the end.
	syncLimit = 500 * time.Millisecond
)

// Sink is a zapcore.WriteSyncer that never blocks: a line that finds no room is dropped and counted.
type Sink struct {
	lines   chan []byte
	flushed chan chan struct{}
	dropped atomic.Uint64
	written atomic.Uint64
	once    sync.Once
	to      io.Writer
}

// New returns a sink that writes to w.
func New(w io.Writer) *Sink {
	return &Sink{lines: make(chan []byte, waiting), flushed: make(chan chan struct{}), to: w}
}

// Write queues one line.
func (s *Sink) Write(line []byte) (int, error) {
	s.once.Do(func() { go s.run() })
	select {
	case s.lines <- append([]byte(nil), line...):
	default:
		s.dropped.Add(1)
	}
	return len(line), nil
}

// Sync waits for a short while until all lines queued so far are written.
func (s *Sink) Sync() error {
	s.once.Do(func() { go s.run() })
	done := make(chan struct{})
	limit := time.NewTimer(syncLimit)
	defer limit.Stop()
	select {
	case s.flushed <- done:
	case <-limit.C:
		return nil
	}
	select {
	case <-done:
	case <-limit.C:
	}
	return nil
}

// Counts returns how many bytes were written and how many lines dropped.
func (s *Sink) Counts() (written, dropped uint64) {
	return s.written.Load(), s.dropped.Load()
}

func (s *Sink) run() {
	for {
		select {
		case l := <-s.lines:
			s.write(l)
		case done := <-s.flushed:
			for len(s.lines) > 0 {
				s.write(<-s.lines)
			}
			close(done)
		}
	}
}

// write passes a line on; nothing can be told of an error where the log itself fails, so it is counted as a drop.
func (s *Sink) write(l []byte) {
	n, err := s.to.Write(l)
	s.written.Add(uint64(n))
	if err != nil {
		s.dropped.Add(1)
	}
}
