package platform

import (
	"bytes"
	"testing"

	qt "github.com/frankban/quicktest"
)

func TestDelta(t *testing.T) {
	base := bytes.Repeat([]byte(`{"Name":"r-17","Host":"h","Kind":"primary"},`), 100)
	for i := range base {
		if i%44 == 12 {
			base[i] = byte('a' + i/44%26)
		}
	}
	for _, k := range []struct {
		name     string
		target   []byte
		maxBytes int
	}{
		{"equal", base, 40},
		{"one part more at the end", append(bytes.Clone(base), `{"Name":"new"}`...), 200},
		{"one part fewer at the start", base[88:], 200},
		{"empty", nil, 40},
		{"unrelated", bytes.Repeat([]byte("xyz "), 300), 1400},
	} {
		t.Run(k.name, func(t *testing.T) {
			c := qt.New(t)
			d := encodeDelta(base, k.target)
			c.Check(len(d) <= k.maxBytes, qt.IsTrue, qt.Commentf("%d bytes", len(d)))
			got, err := decodeDelta(base, d)
			c.Assert(err, qt.IsNil)
			c.Assert(bytes.Equal(got, k.target), qt.IsTrue)
		})
	}
	t.Run("to another value", func(t *testing.T) {
		_, err := decodeDelta(base[1:], encodeDelta(base, base))
		qt.Assert(t, err, qt.Equals, errDeltaBase)
	})
}

// FuzzDelta checks that a delta yields its target, and that damaged deltas are refused.
func FuzzDelta(f *testing.F) {
	f.Add([]byte("base"), []byte("target"), []byte("damaged"))
	f.Fuzz(func(t *testing.T, base, target, damaged []byte) {
		got, err := decodeDelta(base, encodeDelta(base, target))
		if err != nil || !bytes.Equal(got, target) {
			t.Fatalf("decoded %q, %v; want %q", got, err, target)
		}
		if _, err := decodeDelta(base, damaged); err == nil {
			t.Fatalf("damaged delta %q accepted", damaged)
		}
	})
}
