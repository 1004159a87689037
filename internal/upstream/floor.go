package upstream

import (
	"time"

	"buckthornport.example/buckthornport/pkg/session"
)

const (
	// floorRecorders is the number of a group's highest-ranked nodes that record its floor again after a restore of the store.
	floorRecorders = 2
	// floorRecordDelay is the longest delay until they do. It spreads the writes of a large fleet.
	floorRecordDelay = 2 * time.Second
)

// RecordFloor raises the floor in a group's lease row to at least the given position and leaves the rest of the row as it is.
type RecordFloor struct {
	Group string
	Floor session.Position
}

func (RecordFloor) upstreamAction() {}

// FloorNotRecorded reports that a floor may not have been recorded.
type FloorNotRecorded struct {
	Group string
}

func (FloorNotRecorded) upstreamEvent() {}

// learnFloor raises the floor of a group, which may not be known yet otherwise.
func (w *Watch) learnFloor(group string, floor session.Position) {
	g, _ := w.groups.Get(group)
	if raised := g.WithFloor(floor); raised.Floor != g.Floor {
		w.groups.Put(group, raised.WithName(group))
	}
}

// scheduleFloor has a group's floor recorded again, if this node watches the group and is among its first nodes.
func (w *Watch) scheduleFloor(now time.Duration, group string) {
	g, _ := w.groups.Get(group)
	if !w.kind.UsesLeases || g.Floor.IsZero() || !g.Watched || w.rank(group) >= floorRecorders {
		return
	}
	w.lostFloors.Put(group, struct{}{})
	w.lostFloors.SetDue(group, now+w.jitter(floorRecordDelay))
}

// recordFloors records the floors that are due.
func recordFloors(w *Watch, now time.Duration) {
	for _, k := range w.lostFloors.TakeDue(now) {
		g, _ := w.groups.Get(k)
		w.lostFloors.Delete(k)
		w.actions = append(w.actions, RecordFloor{Group: k, Floor: g.Floor})
	}
	w.lostFloors.TakeDirty()
}
