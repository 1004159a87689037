package upstream_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"buckthornport.example/buckthornport/internal/upstream"
)

// TestLeavingPrimaryUnderTraffic guards against a primary that is leaving and stays the primary until it has gone: commits that are
// acknowledged after a replica's last status keep the floor above that status, and traffic with the replica puts off its next one.
func TestLeavingPrimaryUnderTraffic(t *testing.T) {
	c := qt.New(t)
	s := newSimulation(c)
	offset := uint64(100)
	s.step(s.configured("p", true))
	for i := 0; i < 60 && len(s.promoteOrders) == 0; i++ {
		switch {
		case s.status["a"].Promised != 0 || s.status["b"].Promised != 0: // a paused replica lets no commit be acknowledged
		case s.view.Suspect:
			offset++ // lanes send nothing to a suspect primary, but a commit that it was sent before ends
		default:
			offset += 10
		}
		for name, st := range s.status {
			if st.Promised == 0 {
				st.Position = position(1, offset)
				s.status[name] = st
			}
			s.step(upstream.ResponseReceived{Server: name, SentAt: s.now})
		}
		if s.view.FloorNeeded() {
			s.step(upstream.CommitsAcknowledged{Group: "g", Position: position(1, offset)})
		}
		s.run(50 * time.Millisecond)
	}
	c.Assert(s.promoteOrders, qt.HasLen, 1)
}
