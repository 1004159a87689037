package peerlink

import (
	"bytes"
	"compress/flate"
	"errors"
	"fmt"
	"io"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"buckthornport.example/buckthornport/internal/metrics"
	"buckthornport.example/buckthornport/internal/platform"
)

const (
	// kindTable is the kind of a message about a table of the platform's store. It is outside the range of peer.Kind.
	kindTable = 101
	// minCompressedBytes is the size from which rows are compressed.
	minCompressedBytes = 1024
	// maxRowsBytes bounds the size of decompressed rows.
	maxRowsBytes = 32 << 20
)

var errTooManyRows = errors.New("the rows of a message are too large")

// WithTableHandler passes messages about tables to f, with the name of the node that sent them.
func WithTableHandler(f func(from string, t platform.TableMessage)) Option {
	return func(l *Link) error {
		l.receiveTable = f
		return nil
	}
}

// SendTable queues a message from the node named self about a table. It never blocks, and drops the message if the queue is full.
func (l *Link) SendTable(self, address, zone string, t platform.TableMessage) {
	l.enqueue(address, address, outgoing{
		purpose: metrics.Tables, zone: zone, encode: func() (*Message, error) { return encodeTable(self, t) },
	})
}

func encodeTable(self string, t platform.TableMessage) (*Message, error) {
	p := &TableMessage{
		Kind: uint32(t.Kind), Table: t.Table, Era: t.Era, Version: t.Version, LastChange: t.LastChange,
		AgeUs: uint64(max(0, t.Age.Microseconds())), After: t.After, All: t.All,
	}
	rs := &TableRows{}
	for _, r := range t.Rows {
		rs.Rows = append(rs.Rows, &TableRow{Key: r.Key, Value: r.Value, Version: r.Version, Deleted: r.Deleted, Delta: r.Delta})
	}
	var err error
	if p.Rows, err = proto.Marshal(rs); err != nil {
		return nil, err
	}
	if len(p.Rows) >= minCompressedBytes {
		if p.Rows, err = compress(p.Rows); err != nil {
			return nil, err
		}
		p.Compressed = true
	}
	return &Message{Kind: kindTable, From: self, Table: p}, nil
}

func decodeTable(p *TableMessage) (platform.TableMessage, error) {
	t := platform.TableMessage{
		Kind: platform.TableMessageKind(p.Kind), Table: p.Table, Era: p.Era, Version: p.Version, LastChange: p.LastChange,
		Age: time.Duration(p.AgeUs) * time.Microsecond, After: p.After, All: p.All,
	}
	raw := p.Rows
	if p.Compressed {
		var err error
		if raw, err = decompress(raw); err != nil {
			return t, err
		}
	}
	var rs TableRows
	if err := proto.Unmarshal(raw, &rs); err != nil {
		return t, fmt.Errorf("rows of table %q: %w", p.Table, err)
	}
	for _, r := range rs.Rows {
		t.Rows = append(t.Rows, platform.Row{Key: r.Key, Value: r.Value, Version: r.Version, Deleted: r.Deleted, Delta: r.Delta})
	}
	return t, nil
}

// compressors holds writers for reuse, as a new one allocates more than a megabyte.
var compressors sync.Pool

func compress(raw []byte) ([]byte, error) {
	var b bytes.Buffer
	w, ok := compressors.Get().(*flate.Writer)
	if ok {
		w.Reset(&b)
	} else {
		var err error
		if w, err = flate.NewWriter(&b, flate.BestSpeed); err != nil {
			return nil, err
		}
	}
	defer compressors.Put(w)
	if _, err := w.Write(raw); err != nil {
		return nil, err
	}
	err := w.Close()
	return b.Bytes(), err
}

func decompress(raw []byte) ([]byte, error) {
	out, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(raw)), maxRowsBytes+1))
	if err == nil && len(out) > maxRowsBytes {
		err = errTooManyRows
	}
	return out, err
}
