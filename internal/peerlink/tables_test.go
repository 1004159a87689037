package peerlink

import (
	"bytes"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"buckthornport.example/buckthornport/internal/platform"
)

func TestTableCodec(t *testing.T) {
	for _, k := range []struct {
		name string
		m    platform.TableMessage
	}{
		{"announcement", platform.TableMessage{
			Kind: platform.TableAnnounced, Table: "t", Era: 2, Version: 9, LastChange: 7, Age: time.Second,
		}},
		{"rows", platform.TableMessage{Kind: platform.TableSent, Table: "t", Version: 9, After: 5, All: true, Rows: []platform.Row{
			{Key: "a", Value: bytes.Repeat([]byte("value "), 500), Version: 7, Delta: true},
			{Key: "b", Version: 9, Deleted: true},
		}}},
	} {
		t.Run(k.name, func(t *testing.T) {
			c := qt.New(t)
			p, err := encodeTable("n0", k.m)
			c.Assert(err, qt.IsNil)
			c.Assert(len(p.Table.Rows) < 1000, qt.IsTrue)
			got, err := decodeTable(p.Table)
			c.Assert(err, qt.IsNil)
			rows := got.Rows
			c.Assert(rows, qt.HasLen, len(k.m.Rows))
			for i, r := range k.m.Rows {
				c.Assert(rows[i].Key, qt.Equals, r.Key)
				c.Assert(bytes.Equal(rows[i].Value, r.Value), qt.IsTrue)
				c.Assert([]any{rows[i].Version, rows[i].Deleted, rows[i].Delta}, qt.DeepEquals, []any{r.Version, r.Deleted, r.Delta})
			}
			got.Rows, k.m.Rows = nil, nil
			c.Assert(got, qt.DeepEquals, k.m)
		})
	}
}

// FuzzTable checks that any rows in a message are refused or decoded.
func FuzzTable(f *testing.F) {
	f.Add([]byte("rows"), true)
	f.Fuzz(func(_ *testing.T, rows []byte, compressed bool) {
		_, _ = decodeTable(&TableMessage{Table: "t", Rows: rows, Compressed: compressed})
	})
}
