package peerlink

import (
	"bufio"
	"context"
	"net"
	"sync"
	"time"

	"google.golang.org/protobuf/encoding/protodelim"

	"buckthornport.example/buckthornport/internal/caller"
	"buckthornport.example/buckthornport/internal/dispatcher"
	"buckthornport.example/buckthornport/internal/metrics"
	"buckthornport.example/buckthornport/internal/traffic"
)

const (
	// kindJobs is the kind of the first message of a job stream. It is outside the range of peer.Kind.
	kindJobs = 100
	// jobQueueLength bounds the messages that are queued for one stream. If the queue is full, the stream is closed.
	jobQueueLength = 1024
)

// JobHandlers are the functions that handle the messages of one job stream from another node.
type JobHandlers struct {
	Job       func(j dispatcher.Job)
	Abandoned func(id caller.SessionID)
	// Ended is called once, after the last call of the others.
	Ended func()
}

// ReplySender holds the functions that send messages back to the node that sent jobs. They never block, and return false if the
// stream is closed or its queue is full.
type ReplySender struct {
	Outcome  func(o dispatcher.Outcome) bool
	Draining func() bool
}

// WithJobHandlers makes the link accept job streams. f is called for each new stream and returns its handlers.
func WithJobHandlers(f func(a ReplySender) JobHandlers) Option {
	return func(l *Link) error {
		l.handleJobs = f
		return nil
	}
}

// DialDispatcher opens a job stream from the node named self to the dispatcher at the given address and zone. The messages of the
// dispatcher go to the handler.
func (l *Link) DialDispatcher(ctx context.Context, self, address, zone string, handler traffic.LinkHandler) (traffic.Link, error) {
	stream, closeAll, err := l.dial(ctx, address, metrics.Jobs)
	if err != nil {
		return traffic.Link{}, err
	}
	s := newJobStream(stream, bufio.NewReader(stream), func(n int) { l.countBytes(metrics.Jobs, zone, n) })
	if _, err := protodelim.MarshalTo(stream, &Message{Kind: kindJobs, From: self}); err != nil {
		closeAll()
		return traffic.Link{}, err
	}
	return traffic.Link{
		Serve: func() {
			defer closeAll()
			s.serve(func(m *Relayed) { deliverAnswer(handler, m) })
		},
		Forward: func(j dispatcher.Job) bool { return s.send(&Relayed{Job: encodeJob(j)}) },
		Abandon: func(id caller.SessionID) bool { return s.send(&Relayed{Abandoned: uint64(id)}) },
		Ping:    func() bool { return s.send(&Relayed{Ask: true}) },
		Close:   s.close,
	}, nil
}

func deliverAnswer(handler traffic.LinkHandler, m *Relayed) {
	switch {
	case m.Outcome != nil:
		handler.Outcome(decodeOutcome(m.Outcome))
	case m.Leaving:
		handler.Draining()
	case m.Alive:
		handler.Pong()
	}
}

// serveJobs handles a job stream from another node until the stream ends.
func (l *Link) serveJobs(stream net.Conn, r *bufio.Reader) {
	s := newJobStream(stream, r, func(n int) { l.countBytes(metrics.Jobs, "", n) })
	handlers := l.handleJobs(ReplySender{
		Outcome:  func(o dispatcher.Outcome) bool { return s.sendThen(&Relayed{Outcome: encodeOutcome(o)}, o.Done) },
		Draining: func() bool { return s.send(&Relayed{Leaving: true}) },
	})
	defer handlers.Ended()
	s.serve(func(m *Relayed) {
		switch {
		case m.Job != nil:
			handlers.Job(decodeJob(m.Job))
		case m.Abandoned != 0:
			handlers.Abandoned(caller.SessionID(m.Abandoned))
		case m.Ask:
			s.send(&Relayed{Alive: true})
		}
	})
}

// jobStream is one end of a job stream.
type jobStream struct {
	stream     net.Conn
	reader     *bufio.Reader
	queue      chan queuedMessage
	countBytes func(n int)
	ended      chan struct{}
	once       sync.Once
}

func newJobStream(stream net.Conn, r *bufio.Reader, countBytes func(n int)) *jobStream {
	return &jobStream{
		stream: stream, reader: r, queue: make(chan queuedMessage, jobQueueLength), countBytes: countBytes, ended: make(chan struct{}),
	}
}

// queuedMessage is a message that waits to be sent, and what is called when it was sent or dropped.
type queuedMessage struct {
	message *Relayed
	done    func()
}

// send queues a message and reports whether it did. If the queue is full, send closes the stream.
func (s *jobStream) send(m *Relayed) bool {
	return s.sendThen(m, nil)
}

// sendThen is like send, and calls done, if it is not nil, when the message was sent or dropped.
func (s *jobStream) sendThen(m *Relayed, done func()) bool {
	if done == nil {
		done = func() {}
	}
	select {
	case <-s.ended:
		done()
		return false
	default:
	}
	select {
	case s.queue <- queuedMessage{message: m, done: done}:
		// The stream may have ended meanwhile, after the queue was emptied.
		select {
		case <-s.ended:
			s.dropQueued()
		default:
		}
		return true
	default:
		s.close()
		done()
		return false
	}
}

// dropQueued empties the queue of a stream that has ended.
func (s *jobStream) dropQueued() {
	for {
		select {
		case m := <-s.queue:
			m.done()
		default:
			return
		}
	}
}

func (s *jobStream) close() {
	s.once.Do(func() {
		close(s.ended)
		_ = s.stream.Close()
	})
}

// serve passes each message to handle until the stream ends or a message cannot be decoded.
func (s *jobStream) serve(handle func(m *Relayed)) {
	defer s.close()
	go s.write()
	for {
		m := &Relayed{}
		if err := readMessage(s.reader, m); err != nil {
			return
		}
		handle(m)
	}
}

// write sends the queued messages, and flushes when the queue is empty.
func (s *jobStream) write() {
	defer s.dropQueued()
	defer s.close()
	w := bufio.NewWriter(s.stream)
	for {
		select {
		case <-s.ended:
			return
		case m := <-s.queue:
			n, err := protodelim.MarshalTo(w, m.message)
			m.done()
			s.countBytes(n)
			if err == nil && len(s.queue) == 0 {
				err = s.flush(w)
			}
			if err != nil {
				return
			}
		}
	}
}

func (s *jobStream) flush(w *bufio.Writer) error {
	if err := s.stream.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return err
	}
	return w.Flush()
}
