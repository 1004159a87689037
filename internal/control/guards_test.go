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

// suspectAlways is a judge that is wrong most of the time: what is promised may not hang on detection.
func suspectAlways(e upstream.Evidence) string {
	if e.Now/(700*ms)%3 == 0 {
		return "suspect_always"
	}
	return upstream.Judge(e)
}

// TestWrongDetectionIsHarmless replaces primaries all the time for no reason, under faults.
func TestWrongDetectionIsHarmless(t *testing.T) {
	for i := range runs(6) {
		c := qt.New(t)
		w := newWorld(firstSeed()+int64(i), worldOptions{
			nodes: 3, clients: 8, deadlineMS: 2000, watch: []upstream.Option{upstream.WithJudge(suspectAlways)},
		})
		w.Run(2 * time.Second)
		w.storm()
		w.settle()
		assertNothingBroken(c, w)
		assertLedger(c, w)
	}
}

// ignoreFloor is the product's routing without the check that a replica has applied the session's own work.
func ignoreFloor(_ caller.RouteQuery, s caller.Server) (session.Position, bool) {
	return session.Position{}, s.View.Alive
}

// TestGuardsMatter switches one guard off at a time: the runs that pass with all guards on must then see a promise broken.
func TestGuardsMatter(t *testing.T) {
	blind := caller.Quorum()
	blind.ReplicaCanServe = ignoreFloor
	for _, k := range []struct {
		name    string
		o       worldOptions
		symptom string
	}{
		{"evidence of a majority", worldOptions{primaryOnly: true}, "is there 0 times"},
		{"fence before promotion", worldOptions{
			noFence: true, watch: []upstream.Option{upstream.WithJudge(suspectAlways)},
		}, "is there 0 times"},
		{"tombstone before not run", worldOptions{noTombstone: true}, "called not run and is there"},
		{"idempotency key", worldOptions{noKeys: true}, "times"},
		{"floor of a session", worldOptions{lane: []caller.Option{caller.WithGroupKind(blind)}}, "session_sees_own_work"},
	} {
		t.Run(k.name, func(t *testing.T) {
			c := qt.New(t)
			c.Assert(findSymptom(k.o, k.symptom), qt.Not(qt.Equals), "", qt.Commentf("no run noticed that the guard was off"))
		})
	}
}

// findSymptom runs seeds until one shows the symptom, and returns what it showed.
func findSymptom(o worldOptions, symptom string) string {
	o.nodes, o.clients, o.deadlineMS = 3, 8, 2000
	for seed := range int64(guardSeeds) {
		w := newWorld(seed+1, o)
		w.Run(2 * time.Second)
		w.storm()
		w.settle()
		for _, f := range append(w.broken, w.faults()...) {
			if strings.Contains(f, symptom) {
				return f
			}
		}
	}
	return ""
}
