package peer

import (
	"cmp"
	"maps"
	"slices"

	"buckthornport.example/buckthornport/internal/table"
)

// Dispatchers holds, for each database group, the node of each area that serves the group for the other nodes of the area: the
// first one by weighted rendezvous hash. An area is an availability zone, or a region if WithAreas says so. A region's
// dispatcher is thus also that of its zone. The weight is the square of the processor share, so that a few large nodes take
// most of the groups even among many small ones. Members without a zone are left out.
//
// A member that joins costs one hash per group, and one that leaves costs the hashes of its zone for each group that it served.
type Dispatchers struct {
	members map[string]Update
	groups  *table.Table[string, groupDispatchers]
	// standIns chooses among the members that are not suspect. It is nil until it is needed.
	standIns *Dispatchers
	// score returns the weighted rendezvous hash of a member for a group.
	score func(u Update, group string) float64
	// area returns the area of a zone.
	area func(zone string) string
}

// DispatchersOption configures Dispatchers.
type DispatchersOption func(*Dispatchers)

// WithAreas sets the function that returns the area of a zone. By default each zone is an area.
func WithAreas(area func(zone string) string) DispatchersOption {
	return func(d *Dispatchers) { d.area = area }
}

// groupDispatchers is the row of one group: its dispatchers, sorted by their areas, which stand in place of the zones.
type groupDispatchers struct {
	nodes []candidate
}

// candidate is a member with its score for a group.
type candidate struct {
	zone  string
	name  string
	score float64
}

// precedes reports whether a candidate comes before another of the same zone.
func (a candidate) precedes(b candidate) bool {
	return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.name, b.name)) < 0
}

func compareZones(a candidate, zone string) int {
	return cmp.Compare(a.zone, zone)
}

// WithCandidate returns the row with the candidate in place of the dispatcher of its zone, if it precedes that one.
func (g groupDispatchers) WithCandidate(a candidate) groupDispatchers {
	i, found := slices.BinarySearchFunc(g.nodes, a.zone, compareZones)
	switch {
	case !found:
		g.nodes = slices.Insert(slices.Clone(g.nodes), i, a)
	case a.precedes(g.nodes[i]):
		g.nodes = slices.Clone(g.nodes)
		g.nodes[i] = a
	}
	return g
}

// WithoutZone returns the row without the dispatcher of a zone.
func (g groupDispatchers) WithoutZone(zone string) groupDispatchers {
	g.nodes = slices.DeleteFunc(slices.Clone(g.nodes), func(a candidate) bool { return a.zone == zone })
	return g
}

// serves reports whether the named member is the dispatcher of a zone.
func (g groupDispatchers) serves(name, zone string) bool {
	i, found := slices.BinarySearchFunc(g.nodes, zone, compareZones)
	return found && g.nodes[i].name == name
}

// NewDispatchers returns a table without members and groups.
func NewDispatchers(opts ...DispatchersOption) *Dispatchers {
	d := &Dispatchers{
		members: map[string]Update{}, groups: table.New[string, groupDispatchers](), score: score,
		area: func(zone string) string { return zone },
	}
	for _, o := range opts {
		o(d)
	}
	return d
}

// Update replaces the members, and adds the groups that are not in the table yet.
func (d *Dispatchers) Update(members []Update, groups []string) {
	if joined, left := d.replaceMembers(members); len(joined)+len(left) > 0 {
		for _, k := range d.groups.Keys() {
			g, _ := d.groups.Get(k)
			d.groups.Put(k, d.updateGroup(k, g, joined, left))
		}
	}
	for _, k := range groups {
		if _, ok := d.groups.Get(k); !ok {
			d.groups.Put(k, d.addCandidates(k, groupDispatchers{}, maps.Values(d.members)))
		}
	}
	d.groups.TakeDirty()
}

// replaceMembers stores the members. It returns those that have joined and those that have left; a member that has moved or changed
// its weight has done both.
func (d *Dispatchers) replaceMembers(members []Update) (joined, left []Update) {
	next := make(map[string]Update, len(members))
	for _, u := range members {
		if u.Zone == "" {
			continue
		}
		u = Update{Name: u.Name, Zone: d.area(u.Zone), Weight: u.Weight}
		next[u.Name] = u
		if d.members[u.Name] != u {
			joined = append(joined, u)
		}
	}
	for name, u := range d.members {
		if next[name] != u {
			left = append(left, u)
		}
	}
	d.members = next
	return joined, left
}

// updateGroup returns a group's row after members have joined and left.
func (d *Dispatchers) updateGroup(group string, g groupDispatchers, joined, left []Update) groupDispatchers {
	for _, u := range left {
		if g.serves(u.Name, u.Zone) {
			g = d.addCandidates(group, g.WithoutZone(u.Zone), d.zoneMembers(u.Zone))
		}
	}
	return d.addCandidates(group, g, slices.Values(joined))
}

func (d *Dispatchers) addCandidates(group string, g groupDispatchers, members func(yield func(Update) bool)) groupDispatchers {
	for u := range members {
		g = g.WithCandidate(candidate{zone: u.Zone, name: u.Name, score: d.score(u, group)})
	}
	return g
}

// zoneMembers iterates over the members of a zone.
func (d *Dispatchers) zoneMembers(zone string) func(yield func(Update) bool) {
	return func(yield func(Update) bool) {
		for _, u := range d.members {
			if u.Zone == zone && !yield(u) {
				return
			}
		}
	}
}

// Nodes returns the names of a group's dispatchers, ordered by their zones.
func (d *Dispatchers) Nodes(group string) []string {
	g, _ := d.groups.Get(group)
	names := make([]string, 0, len(g.nodes))
	for _, a := range g.nodes {
		names = append(names, a.name)
	}
	return names
}

// Serving returns the names of the nodes that serve a group: its dispatchers and, while all of them are suspect, as stand-ins those
// that would be its dispatchers without the suspects. A node that is cut off with the group's servers thus serves the group itself.
func (d *Dispatchers) Serving(group string, suspect func(name string) bool) (dispatchers, standIns []string) {
	dispatchers = d.Nodes(group)
	if len(dispatchers) == 0 || slices.ContainsFunc(dispatchers, func(name string) bool { return !suspect(name) }) {
		return dispatchers, nil
	}
	trusted := make([]Update, 0, len(d.members))
	for name, u := range d.members {
		if !suspect(name) {
			trusted = append(trusted, u)
		}
	}
	if d.standIns == nil {
		d.standIns = NewDispatchers()
	}
	d.standIns.Update(trusted, []string{group})
	return dispatchers, d.standIns.Nodes(group)
}
