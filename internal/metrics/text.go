package metrics

import (
	"fmt"
	"io"
	"strings"
)

// ContentType is the MIME type of the text that TextWriter writes.
const ContentType = "text/plain; version=0.0.4"

// TextWriter writes metrics in the Prometheus text format. Every name gets the prefix buckthornport_, and every line gets the
// node's name as a label.
type TextWriter struct {
	w    io.Writer
	node string
}

// NewTextWriter returns a TextWriter for the metrics of a node.
func NewTextWriter(w io.Writer, node string) TextWriter {
	return TextWriter{w: w, node: node}
}

// Line writes one value. labels alternates between label names and values.
func (t TextWriter) Line(name string, value any, labels ...string) {
	var b strings.Builder
	for i := 0; i+1 < len(labels); i += 2 {
		fmt.Fprintf(&b, ",%s=%q", labels[i], labels[i+1])
	}
	// An error means that the scraper has disconnected, which needs no handling.
	_, _ = fmt.Fprintf(t.w, "buckthornport_%s{node=%q%s} %v\n", name, t.node, b.String(), value)
}

// Histogram writes the buckets, the sum and the count of a histogram, in seconds.
func (t TextWriter) Histogram(name string, h Histogram, labels ...string) {
	cumulative := uint64(0)
	for i, b := range BucketBoundsMS {
		cumulative += h.Buckets[i]
		t.Line(name+"_bucket", cumulative, append(labels[:len(labels):len(labels)], "le", fmt.Sprint(float64(b)/1000))...)
	}
	t.Line(name+"_bucket", h.Count, append(labels[:len(labels):len(labels)], "le", "+Inf")...)
	t.Line(name+"_sum", h.Sum.Seconds(), labels...)
	t.Line(name+"_count", h.Count, labels...)
}

// Bytes writes the numbers of bytes sent to and received from one kind of peer.
func (t TextWriter) Bytes(peer string, b *ByteCounter) {
	t.BytesSent(peer, b)
	for d := range distanceCount {
		t.Line("bytes_total", b.received[d].Load(), "peer", peer, "distance", d.String(), "direction", "received")
	}
}

// BytesSent writes only the numbers of bytes sent to one kind of peer, for peers whose received bytes are not counted.
func (t TextWriter) BytesSent(peer string, b *ByteCounter) {
	for d := range distanceCount {
		t.Line("bytes_total", b.sent[d].Load(), "peer", peer, "distance", d.String(), "direction", "sent")
	}
}
