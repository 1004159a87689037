package control_test

import (
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"buckthornport.example/buckthornport/internal/caller"
	"buckthornport.example/buckthornport/internal/upstream"
	"buckthornport.example/buckthornport/pkg/session"
)

const guardSeeds = 100

// suspectWithoutCause is a failure detector that also suspects the primary without cause in every third period of 700 ms. No
// guarantee may depend on detection.
func suspectWithoutCause(e upstream.FailureEvidence) string {
	if e.Now/(700*ms)%3 == 0 {
		return "suspect_always"
	}
	return upstream.DetectQuorumFailure(e)
}

// TestWrongDetectionIsHarmless repeatedly promotes servers without cause while faults are injected.
func TestWrongDetectionIsHarmless(t *testing.T) {
	for i := range runs(6) {
		c := qt.New(t)
		w := newWorld(firstSeed()+int64(i), worldOptions{
			nodes: 3, callers: 8, deadlineMS: 2000, watchOptions: []upstream.Option{upstream.WithFailureDetector(suspectWithoutCause)},
		})
		w.Run(2 * time.Second)
		w.injectFaults()
		w.recoverAndStop()
		assertNoViolations(c, w)
		assertHistory(c, w)
	}
}

// ignoreFloor is the product's routing without the check that a replica has applied the session's own writes.
func ignoreFloor(_ caller.RouteQuery, s caller.Server) (session.Position, bool) {
	return session.Position{}, s.View.Alive
}

// TestGuardsMatter disables one guard at a time. Runs that pass with all guards must then show a violated guarantee.
func TestGuardsMatter(t *testing.T) {
	withoutFloor := caller.Quorum()
	withoutFloor.ReplicaCanServe = ignoreFloor
	for _, k := range []struct {
		name    string
		o       worldOptions
		symptom string
	}{
		{"evidence of a majority", worldOptions{primaryOnly: true}, "is in the log 0 times"},
		{"fence before promotion", worldOptions{
			noFence: true, watchOptions: []upstream.Option{upstream.WithFailureDetector(suspectWithoutCause)},
		}, "is in the log 0 times"},
		{"tombstone before not run", worldOptions{noTombstone: true}, "reported as not run and is in the log"},
		{"idempotency key", worldOptions{noKeys: true}, "times"},
		{"floor of a session", worldOptions{laneOptions: []caller.Option{caller.WithGroupKind(withoutFloor)}}, "session_sees_own_work"},
	} {
		t.Run(k.name, func(t *testing.T) {
			c := qt.New(t)
			c.Assert(findSymptom(k.o, k.symptom), qt.Not(qt.Equals), "", qt.Commentf("no run showed a violation with the guard disabled"))
		})
	}
}

// findSymptom runs seeds until one shows the symptom, and returns the message that contains it, or an empty string.
func findSymptom(o worldOptions, symptom string) string {
	o.nodes, o.callers, o.deadlineMS = 3, 8, 2000
	for seed := range int64(guardSeeds) {
		w := newWorld(seed+1, o)
		w.Run(2 * time.Second)
		w.injectFaults()
		w.recoverAndStop()
		for _, f := range append(w.violations, w.inconsistencies()...) {
			if strings.Contains(f, symptom) {
				return f
			}
		}
	}
	return ""
}
