package peerlink

import (
	"bytes"
	"testing"

	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/encoding/protodelim"

	"buckthornport.example/buckthornport/internal/caller"
	"buckthornport.example/buckthornport/internal/dispatcher"
	"buckthornport.example/buckthornport/pkg/bundle"
	"buckthornport.example/buckthornport/pkg/session"
)

var (
	job = dispatcher.Job{
		Forward: dispatcher.Forward{
			Group: "g", Session: 7, Seq: 3, Floor: session.Position{Term: 2, Offset: 9}, Joined: true,
			Statement: caller.Statement{
				ID: "id", Version: 5, Class: bundle.Class{
					Name: "c", DeadlineMS: 1000, Priority: -1, IdleTransactionMS: 3000, ObjectiveMS: 400, MaxAgeMS: 1500,
					SessionBound: true,
				},
			},
		},
		Payload: dispatcher.Payload{Text: "EXECUTE p 1", Shape: "q1", Writes: true, Names: []string{"n"}, Values: []string{"v"}},
	}
	outcome = dispatcher.Outcome{
		Session: 7, Seq: 3, Answer: []byte("COMPLETE x\r\n"), State: "T", TransactionOpen: true,
		Position: session.Position{Term: 2, Offset: 10}, Floor: session.Position{Term: 2, Offset: 9},
	}
)

// TestJobCodec guards against fields that the encoding of a job or an outcome drops.
func TestJobCodec(t *testing.T) {
	t.Run("job", func(t *testing.T) {
		qt.Assert(t, decodeJob(encodeJob(job)), qt.DeepEquals, job)
	})
	t.Run("outcome", func(t *testing.T) {
		qt.Assert(t, decodeOutcome(encodeOutcome(outcome)), qt.DeepEquals, outcome)
	})
}

func FuzzReadJob(f *testing.F) {
	var b bytes.Buffer
	if _, err := protodelim.MarshalTo(&b, &Relayed{Job: encodeJob(job), Outcome: encodeOutcome(outcome)}); err != nil {
		f.Fatal(err)
	}
	f.Add(b.Bytes())
	f.Fuzz(func(_ *testing.T, text []byte) {
		var m Relayed
		if err := readMessage(bytes.NewReader(text), &m); err != nil {
			return
		}
		if m.Job != nil {
			decodeJob(m.Job)
		}
		if m.Outcome != nil {
			decodeOutcome(m.Outcome)
		}
	})
}
