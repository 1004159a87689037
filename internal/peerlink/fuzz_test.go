package peerlink

import (
	"testing"

	"google.golang.org/protobuf/proto"
)

// FuzzJobs checks that no message of a job stream ends the program.
func FuzzJobs(f *testing.F) {
	raw, err := proto.Marshal(&Relayed{Job: &Job{
		Session: 1, Seq: 1, Group: "books", Text: "READ a", Names: []string{"n"}, Values: []string{"v"},
	}})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(raw)
	f.Fuzz(func(_ *testing.T, text []byte) {
		var m Relayed
		if proto.Unmarshal(text, &m) != nil {
			return
		}
		if m.Job != nil {
			_ = decodeJob(m.Job)
		}
		if m.Outcome != nil {
			_ = decodeOutcome(m.Outcome)
		}
	})
}

// FuzzTables checks that no message about a table ends the program.
func FuzzTables(f *testing.F) {
	f.Add([]byte("\x0a\x03abc"), false)
	f.Add([]byte("\x00\x00"), true)
	f.Fuzz(func(_ *testing.T, rows []byte, compressed bool) {
		_, _ = decodeTable(&TableMessage{Table: "t", Rows: rows, Compressed: compressed})
	})
}
