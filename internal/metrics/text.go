package metrics

import (
	"fmt"
	"io"
	"strings"
)

// ContentType is the type of the text that Text writes.
const ContentType = "text/plain; version=0.0.4"

// TextWriter writes metrics in the text form that common scrapers read. Every name begins with buckthornport_, and every line bears
// the node's name.
type TextWriter struct {
	w    io.Writer
	node string
}

// NewTextWriter returns a writer of the named node's metrics.
func NewTextWriter(w io.Writer, node string) TextWriter {
	return TextWriter{w: w, node: node}
}

// Line writes one value; labels are pairs of names and values.
func (t TextWriter) Line(name string, value any, labels ...string) {
	var b strings.Builder
	for i := 0; i+1 < len(labels); i += 2 {
		fmt.Fprintf(&b, ",%s=%q", labels[i], labels[i+1])
	}
	// A scraper that has gone away concerns nobody else.
	_, _ = fmt.Fprintf(t.w, "buckthornport_%s{node=%q%s} %v\n", name, t.node, b.String(), value)
}

// Histogram writes a histogram in seconds.
func (t TextWriter) Histogram(name string, h Histogram, labels ...string) {
	sum := uint64(0)
	for i, b := range BucketBoundsMS {
		sum += h.Buckets[i]
		t.Line(name+"_bucket", sum, append(labels[:len(labels):len(labels)], "le", fmt.Sprint(float64(b)/1000))...)
	}
	t.Line(name+"_bucket", h.Count, append(labels[:len(labels):len(labels)], "le", "+Inf")...)
	t.Line(name+"_sum", h.Sum.Seconds(), labels...)
	t.Line(name+"_count", h.Count, labels...)
}

// Bytes writes the counts of bytes to and from one kind of peer.
func (t TextWriter) Bytes(peer string, b *ByteCounter) {
	t.BytesSent(peer, b)
	for d := range distances {
		t.Line("bytes_total", b.received[d].Load(), "peer", peer, "distance", d.String(), "direction", "received")
	}
}

// BytesSent writes the counts of bytes to one kind of peer, where what comes from it is not counted.
func (t TextWriter) BytesSent(peer string, b *ByteCounter) {
	for d := range distances {
		t.Line("bytes_total", b.sent[d].Load(), "peer", peer, "distance", d.String(), "direction", "sent")
	}
}
