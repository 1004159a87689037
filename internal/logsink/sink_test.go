package logsink_test

import (
	"bytes"
	"io"
	"testing"

	qt "github.com/frankban/quicktest"

	"buckthornport.example/buckthornport/internal/logsink"
)

// TestBlockedWriterDoesNotBlockWrite checks that lines are dropped, instead of blocking Write, while the reader of the log reads
// nothing.
func TestBlockedWriterDoesNotBlockWrite(t *testing.T) {
	c := qt.New(t)
	r, w := io.Pipe()
	s := logsink.New(w)
	for range 5000 {
		n, err := s.Write([]byte("line\n"))
		c.Assert(err, qt.IsNil)
		c.Assert(n, qt.Equals, 5)
	}
	_, dropped := s.Counts()
	c.Assert(dropped > 3000, qt.IsTrue)
	c.Assert(r.Close(), qt.IsNil)
}

func TestLinesInOrder(t *testing.T) {
	c := qt.New(t)
	var b bytes.Buffer
	s := logsink.New(&b)
	for _, l := range []string{"a\n", "b\n", "c\n"} {
		_, err := s.Write([]byte(l))
		c.Assert(err, qt.IsNil)
	}
	c.Assert(s.Sync(), qt.IsNil)
	c.Assert(b.String(), qt.Equals, "a\nb\nc\n")
}
