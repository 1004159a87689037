package metadata

import (
	"net/http"
	"sync"
	"time"
)

// Link is a network link of limited bandwidth that all responses through it share.
type Link struct {
	mu             sync.Mutex
	bytesPerSecond int
	// freeAt is when the link will have carried the bytes that were written so far.
	freeAt time.Time
	bytes  int
}

// NewLink returns a link with the given bandwidth.
func NewLink(bytesPerSecond int) *Link {
	return &Link{bytesPerSecond: bytesPerSecond}
}

// Bytes returns the number of bytes that the link has carried or is about to carry.
func (l *Link) Bytes() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.bytes
}

// Handler returns a handler whose responses go through the link.
func (l *Link) Handler(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		h.ServeHTTP(linkWriter{ResponseWriter: w, link: l, done: r.Context().Done()}, r)
	})
}

// carry reserves the link for n bytes and returns how long they take to arrive.
func (l *Link) carry(n int) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	if l.freeAt.Before(now) {
		l.freeAt = now
	}
	l.freeAt = l.freeAt.Add(time.Duration(n) * time.Second / time.Duration(l.bytesPerSecond))
	l.bytes += n
	return l.freeAt.Sub(now)
}

type linkWriter struct {
	http.ResponseWriter
	link *Link
	done <-chan struct{}
}

// Write writes p in packets, each once the link has carried it, until the requester has disconnected.
func (w linkWriter) Write(p []byte) (int, error) {
	for rest := p; len(rest) > 0; {
		packet := rest[:min(len(rest), packetBytes)]
		rest = rest[len(packet):]
		select {
		case <-w.done:
			return len(p) - len(rest), http.ErrAbortHandler
		case <-time.After(w.link.carry(len(packet))):
		}
		if _, err := w.ResponseWriter.Write(packet); err != nil {
			return len(p) - len(rest), err
		}
		if err := http.NewResponseController(w.ResponseWriter).Flush(); err != nil {
			return len(p) - len(rest), err
		}
	}
	return len(p), nil
}

// packetBytes is the unit in which responses share a link.
const packetBytes = 4 << 10
