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
	"buckthornport.example/buckthornport/internal/traffic"
)

const (
	// kindJobs is the kind of the message that begins a stream of jobs; it is none of the membership's.
	kindJobs = 100
	// jobQueue bounds the messages that wait to be written to one stream; a peer that falls further behind is given up.
	jobQueue = 1024
)

// Jobs is where a stream hands over what another node asks of this one.
type Jobs struct {
	Job       func(j dispatcher.Job)
	Abandoned func(id caller.SessionID)
	// Ended is called once, after everything else.
	Ended func()
}

// Answers is the door back to the node that sent jobs; the functions never block, and false stands for a stream that is gone or
// cannot keep up.
type Answers struct {
	Outcome func(o dispatcher.Outcome) bool
	Leaving func() bool
}

// WithJobs has the node serve jobs of others; f is called for each stream of them.
func WithJobs(f func(a Answers) Jobs) Option {
	return func(l *Link) error {
		l.jobs = f
		return nil
	}
}

// DialDispatcher opens a stream of jobs to a node of the given zone, in the name of this one.
func (l *Link) DialDispatcher(ctx context.Context, self, address, zone string, in traffic.LinkHandler) (traffic.Link, error) {
	stream, closeAll, err := l.dial(ctx, address)
	if err != nil {
		return traffic.Link{}, err
	}
	s := newJobStream(stream, bufio.NewReader(stream), func(n int) { l.counted(zone, n) })
	if _, err := protodelim.MarshalTo(stream, &Message{Kind: kindJobs, From: self}); err != nil {
		closeAll()
		return traffic.Link{}, err
	}
	return traffic.Link{
		Serve: func() {
			defer closeAll()
			s.serve(func(m *Relayed) { takeAnswer(in, m) })
		},
		Forward: func(j dispatcher.Job) bool { return s.send(&Relayed{Job: encodeJob(j)}) },
		Abandon: func(id caller.SessionID) bool { return s.send(&Relayed{Abandoned: uint64(id)}) },
		Ping:     func() bool { return s.send(&Relayed{Ask: true}) },
		Close:   s.close,
	}, nil
}

func takeAnswer(in traffic.LinkHandler, m *Relayed) {
	switch {
	case m.Outcome != nil:
		in.Outcome(decodeOutcome(m.Outcome))
	case m.Leaving:
		in.Draining()
	case m.Alive:
		in.Pong()
	}
}

// serveJobs takes the jobs of another node until its stream ends.
func (l *Link) serveJobs(stream net.Conn, r *bufio.Reader) {
	s := newJobStream(stream, r, func(n int) { l.counted("", n) })
	jobs := l.jobs(Answers{
		Outcome: func(o dispatcher.Outcome) bool { return s.send(&Relayed{Outcome: encodeOutcome(o)}) },
		Leaving: func() bool { return s.send(&Relayed{Leaving: true}) },
	})
	defer jobs.Ended()
	s.serve(func(m *Relayed) {
		switch {
		case m.Job != nil:
			jobs.Job(decodeJob(m.Job))
		case m.Abandoned != 0:
			jobs.Abandoned(caller.SessionID(m.Abandoned))
		case m.Ask:
			s.send(&Relayed{Alive: true})
		}
	})
}

// jobStream is one end of a stream of jobs.
type jobStream struct {
	stream  net.Conn
	r       *bufio.Reader
	queue   chan *Relayed
	counted func(n int)
	ended   chan struct{}
	once    sync.Once
}

func newJobStream(stream net.Conn, r *bufio.Reader, counted func(n int)) *jobStream {
	return &jobStream{stream: stream, r: r, queue: make(chan *Relayed, jobQueue), counted: counted, ended: make(chan struct{})}
}

// send queues a message; a peer that has fallen too far behind is given up.
func (s *jobStream) send(m *Relayed) bool {
	select {
	case <-s.ended:
		return false
	default:
	}
	select {
	case s.queue <- m:
		return true
	default:
		s.close()
		return false
	}
}

func (s *jobStream) close() {
	s.once.Do(func() {
		close(s.ended)
		_ = s.stream.Close()
	})
}

// serve hands over what comes until the stream ends or makes no sense.
func (s *jobStream) serve(take func(m *Relayed)) {
	defer s.close()
	go s.write()
	for {
		m := &Relayed{}
		if err := readMessage(s.r, m); err != nil {
			return
		}
		take(m)
	}
}

// write sends what is queued, as much as there is at a time.
func (s *jobStream) write() {
	defer s.close()
	w := bufio.NewWriter(s.stream)
	for {
		select {
		case <-s.ended:
			return
		case m := <-s.queue:
			n, err := protodelim.MarshalTo(w, m)
			s.counted(n)
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
