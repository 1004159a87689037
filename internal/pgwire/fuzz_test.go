package pgwire

import (
	"bytes"
	"net"
	"testing"
	"testing/iotest"

	qt "github.com/frankban/quicktest"

	"buckthornport.example/buckthornport/internal/budget"
)

// FuzzFrames checks that a caller's messages do not depend on whether they are read as a whole or with limits and in pieces.
func FuzzFrames(f *testing.F) {
	f.Add([]byte("Q\x00\x00\x00\x0dselect 1\x00"), 1)
	f.Add([]byte("Q\x00\x00\x61\xa8select"), 5000)
	f.Fuzz(func(t *testing.T, text []byte, times int) {
		text = bytes.Repeat(text, max(1, min(times, 50_000/(len(text)+1))))
		whole := newFrameReader(bytes.NewReader(text), callerBufferBytes, MaxFrameBytes)
		pieces := newFrameReader(iotest.HalfReader(bytes.NewReader(text)), callerBufferBytes, MaxFrameBytes)
		pieces.paced = &pacedReader{}
		c := qt.New(t)
		for {
			want, wantErr := whole.next(nil)
			got, err := pieces.next(nil)
			c.Assert(err == nil, qt.Equals, wantErr == nil, qt.Commentf("%v, as a whole %v", err, wantErr))
			if err != nil {
				return
			}
			c.Assert(bytes.Equal(got, want), qt.IsTrue)
		}
	})
}

// FuzzStartupParameters checks that a startup packet is refused or names a user.
func FuzzStartupParameters(f *testing.F) {
	f.Add([]byte("user\x00demo\x00database\x00ledger\x00options\x00-c a=b\x00\x00"))
	f.Fuzz(func(t *testing.T, body []byte) {
		params, err := parseStartup(body)
		if err == nil && params["user"] == "" {
			t.Fatalf("%q names no user", body)
		}
		_ = settingsFromStartup(params)
	})
}

// FuzzRequests checks that no message of the extended protocol ends the program, and that the size of what a session keeps is
// that of its statements.
func FuzzRequests(f *testing.F) {
	f.Add([]byte("P\x00\x00\x00\x14p1\x00select 1\x00\x00\x00\x00"))
	f.Add([]byte("B\x00\x00\x00\x0e\x00p1\x00\x00\x00\x00\x00\x00\x00"))
	f.Add([]byte("C\x00\x00\x00\x08Sp1\x00"))
	f.Fuzz(func(t *testing.T, text []byte) {
		server, client := net.Pipe()
		_ = client.Close()
		var none *budget.Account
		k := &CallerConn{
			listener: &Listener{statements: NewStatementCache()}, statements: map[string]prepared{}, frames: newCallerFrames(server, none),
		}
		r := newFrameReader(bytes.NewReader(text), 16, MaxFrameBytes)
		var q request
		for {
			b, err := r.next(nil)
			if err != nil {
				break
			}
			_ = k.appendExtended(&q, frame(b))
		}
		kept := int64(0)
		for name, p := range k.statements {
			kept += int64(len(name) + len(p.sql))
		}
		qt.New(t).Assert(k.keptBytes, qt.Equals, kept)
	})
}
