package tenant

import (
	"slices"
	"time"

	"buckthornport.example/buckthornport/internal/peer"
	"buckthornport.example/buckthornport/internal/table"
)

const (
	// unreachableTime is how long a node that refused a connection is passed over. By then the membership suspects a stopped node.
	unreachableTime = time.Second
	// fallbackDelay is how long most witnesses must have been lost before others take their place. It exceeds the time within which
	// all nodes notice that a part of the fleet is gone.
	fallbackDelay = 2 * time.Second
	// maxFallbackWitnesses is the number of witnesses that take the place of lost ones.
	maxFallbackWitnesses = 5
)

// homes holds the members that may be the home of a tenant.
type homes struct {
	self     string
	members  MembersChanged
	refused  map[string]time.Duration
	rankings map[string][]string
	// lostAt is when most witnesses were lost, table.Never while they are not. fallback is set once others have taken their place.
	lostAt   time.Duration
	fallback bool
	// share is the part of tenants' rates that may be lent under leases. It is raised at raiseAt. shared is set once it was above
	// zero.
	share   float64
	raiseAt time.Duration
	shared  bool
}

func newHomes(self string) *homes {
	return &homes{
		self: self, refused: map[string]time.Duration{}, rankings: map[string][]string{}, lostAt: table.Never, raiseAt: table.Never,
	}
}

func (h *homes) update(now time.Duration, e MembersChanged) {
	if !slices.Equal(h.members.Homes, e.Homes) {
		clear(h.rankings)
	}
	h.members = e
	lost := 0
	for _, name := range e.Witnesses {
		if slices.Contains(e.Suspects, name) {
			lost++
		}
	}
	switch {
	case 2*lost < len(e.Witnesses):
		h.lostAt, h.fallback = table.Never, false
	case h.lostAt == table.Never:
		h.lostAt = now
	}
	h.updateShare(now)
}

// fallbackAt returns when others take the place of lost witnesses, or table.Never.
func (h *homes) fallbackAt() time.Duration {
	if h.lostAt == table.Never || h.fallback {
		return table.Never
	}
	return h.lostAt + fallbackDelay
}

// passedOver reports whether a home does not answer.
func (h *homes) passedOver(now time.Duration, name string) bool {
	return name != h.self && (slices.Contains(h.members.Suspects, name) || now < h.refused[name])
}

// home returns the first home of a tenant that is not passed over, or "" if there is none.
func (h *homes) home(now time.Duration, tenant string) string {
	r, ok := h.rankings[tenant]
	if !ok {
		r = peer.SortByRank(h.members.Homes, tenant, func(string) int { return 0 })
		h.rankings[tenant] = r
	}
	i := slices.IndexFunc(r, func(name string) bool { return !h.passedOver(now, name) })
	if i < 0 {
		return ""
	}
	return r[i]
}

// witnesses returns the nodes whose confirmation counts, and how many of them must confirm. These are more than half of the
// witnesses of the fleet, which all nodes agree on, as lost members are among them. Of those that take the place of lost ones it is
// four of five: two such majorities have a node in common also if the two sets differ in two nodes. These confirm only if they miss
// the witnesses too.
func (h *homes) witnesses() (names []string, quorum int) {
	if !h.fallback {
		return h.members.Witnesses, len(h.members.Witnesses)/2 + 1
	}
	for _, name := range h.members.Homes {
		if len(names) < maxFallbackWitnesses && !slices.Contains(h.members.Suspects, name) {
			names = append(names, name)
		}
	}
	return names, (4*len(names) + 4) / 5
}

// visibleShare returns the part of tenants' rates that the homes which the node sees may lend together: all of it if more than two
// thirds of the fleet answer, the part that answers if it is at least a third, and otherwise nothing. Over all parts of a divided
// fleet this is at most the whole rate.
func (h *homes) visibleShare() float64 {
	switch alive, known := h.members.Alive, h.members.Known; {
	case !h.members.Complete || 3*alive < known:
		return 0
	case 3*alive > 2*known:
		return 1
	default:
		return h.aliveShare()
	}
}

// updateShare lowers the share at once, and raises it once it has been higher for fallbackDelay: the other part of a divided fleet
// may not have noticed yet that the parts are one again. The first share counts at once.
func (h *homes) updateShare(now time.Duration) {
	v := h.visibleShare()
	switch {
	case v <= h.share || !h.shared && v > 0:
		h.share, h.raiseAt, h.shared = v, table.Never, h.shared || v > 0
	case h.raiseAt == table.Never:
		h.raiseAt = now + fallbackDelay
	case now >= h.raiseAt:
		h.share, h.raiseAt = v, table.Never
	}
}

// aliveShare returns the part of the known nodes that answer.
func (h *homes) aliveShare() float64 {
	return float64(h.members.Alive) / float64(max(1, h.members.Known, h.members.Alive))
}
