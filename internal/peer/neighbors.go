package peer

import (
	"slices"
	"time"
)

const (
	// maxSmallFleet is the number of live members up to which a node pings all of them in turn, with fixed timeouts, and reports
	// each change of the list of members at once.
	maxSmallFleet = 16
	// orderedPingEvery is the interval, in pings, at which a ping of a large fleet goes to the next member of the ping order
	// instead of a neighbor. Every remotePingEvery pings, that member may be one of another region.
	orderedPingEvery = 4
	remotePingEvery  = 8
	// remoteAlertChanges is how many members of other regions must change their states within remoteAlertTime for pings in turn.
	remoteAlertChanges = 2
	remoteAlertTime    = 10 * time.Second
	// remoteLostShare is the reciprocal of the share of members that are lost in other regions from which on pings go in turn.
	remoteLostShare = 8
	// These are the minimum times between two urgent gossip messages about dead members, two of a node about itself, two requests
	// for indirect pings and two samples of the members in a large fleet. Without these bounds, a fleet of busy machines sends ten
	// times its usual messages about members that answer late, and stays busy with them.
	newsInterval     = 500 * time.Millisecond
	refuteInterval   = 250 * time.Millisecond
	indirectInterval = time.Second
	sampleInterval   = 200 * time.Millisecond
	// maxBroadcastsInLargeFleet bounds the updates in a message of a large fleet, where a lost zone or region is news of many members:
	// with 12, 300 nodes took 31 s to agree on the loss of a region, and 19 s with 20.
	maxBroadcastsInLargeFleet = 20
	// maxRecentMembers bounds the members that are remembered as told last.
	maxRecentMembers = 256
	// publishIntervalPerMember and maxPublishInterval bound the time between two lists of members in a large fleet.
	publishIntervalPerMember = 3 * time.Millisecond
	maxPublishInterval       = time.Second
	// In a large fleet, the timeouts of pings are at least ackRoundTrips and suspectRoundTrips smoothed round trips. On busy
	// machines fixed timeouts make most nodes suspect each other, and the news of that keep the machines busy.
	ackRoundTrips     = 3
	suspectRoundTrips = 6
	// maxSuspectAfter is below the time between two pings of a neighbor, so that a later ping does not hide an unanswered one.
	maxSuspectAfter = 2 * time.Second
	// maxStepDelay is the delay of a step from which on a node does not judge others.
	maxStepDelay = 50 * time.Millisecond
	// firstRoundTrip is the round trip that a node assumes at its start, when all machines of a new fleet may be busy.
	firstRoundTrip = 300 * time.Millisecond
	// roundTripGain is the reciprocal of the weight of a new round trip in the smoothed one.
	roundTripGain = 8
)

// WithRegion sets the function that returns the region of a zone. In a large fleet, a node pings mostly members of its own
// region. By default all zones are in one region.
func WithRegion(f func(zone string) string) Option {
	return func(m *Membership) error {
		m.region = f
		return nil
	}
}

// allowance bounds how often something is done. next is the time from which on it may be done again.
type allowance struct {
	next time.Duration
}

// take reports whether it may be done now, and if so starts the interval until the next time.
func (a *allowance) take(now, interval time.Duration) bool {
	if now < a.next {
		return false
	}
	a.next = now + interval
	return true
}

// chooseNeighbors decides whether the fleet is large, and then chooses the members that get most of the pings among the live
// members. They are the node's successors in its region: each member is the neighbor of as many nodes, so that it is pinged as
// often as by nodes that ping all members in turn. As the neighbors stay the same, the connections to them stay open.
func (m *Membership) chooseNeighbors(alive []Update) {
	m.neighbors, m.large = nil, len(alive) > maxSmallFleet
	if !m.large {
		return
	}
	m.neighbors = Successors(m.self.Name, slices.DeleteFunc(slices.Clone(alive), func(u Update) bool { return !m.isNear(u.Zone) }))
}

// isNear reports whether a zone is in the region of this node.
func (m *Membership) isNear(zone string) bool {
	return m.region(zone) == m.region(m.self.Zone)
}

// nextNeighbor returns the neighbor that is pinged next, and false if the ping goes to the next member of the ping order.
func (m *Membership) nextNeighbor() (string, bool) {
	if m.pingCount%orderedPingEvery == 0 || m.remoteAlert() {
		return "", false
	}
	for range m.neighbors {
		k := m.neighbors[m.neighborIndex%len(m.neighbors)]
		m.neighborIndex++
		if r, ok := m.members.Get(k); ok && r.State.present() {
			return k, true
		}
	}
	return "", false
}

// skipsRemote reports whether this ping does not go to a member because it is in another region.
func (m *Membership) skipsRemote(r Member) bool {
	return m.large && m.pingCount%remotePingEvery != 0 && !m.isNear(r.Zone) && !m.remoteAlert()
}

// recordRemoteChange records that a member of another region changed its state.
func (m *Membership) recordRemoteChange(before, after Member) {
	if m.isNear(after.Zone) {
		return
	}
	copy(m.remoteChanges[1:], m.remoteChanges[:])
	m.remoteChanges[0] = m.now
	if before.State.present() && !after.State.present() {
		m.remoteLost++
	}
	if !before.State.present() && after.State.present() {
		m.remoteLost--
	}
}

// remoteAlert reports whether several members of other regions have changed their states a short while ago, or many of them are
// lost. As a region may be cut off or reachable again, a node then pings all members in turn.
func (m *Membership) remoteAlert() bool {
	last := m.remoteChanges[remoteAlertChanges-1]
	return m.large && (last != 0 && m.now-last < remoteAlertTime || m.remoteLost > m.members.Len()/remoteLostShare)
}

// measureRoundTrip adds the time between a ping and its ack to the smoothed round trip, also if the ack is late.
func (m *Membership) measureRoundTrip(now time.Duration, r Member, g Message) {
	if g.Kind == KindAck && g.Target == r.Name && r.PendingPing != 0 && r.PendingPing == g.Seq {
		m.roundTrip += (now - r.PingSentAt - m.roundTrip) / roundTripGain
	}
}

// detectOwnDelay notices that this step is late, as on a busy machine: the acks of the pings that are due may have arrived at the
// node but not here. For as long again, no member of a large fleet becomes suspect or dead.
func (m *Membership) detectOwnDelay(now time.Duration) {
	if late := now - m.wakeAt; m.large && late > maxStepDelay {
		m.judgeFrom = now + min(late, maxSuspectAfter)
	}
}

// ackTimeout returns how long a ping may stay unanswered before other members are asked to ping the same member.
func (m *Membership) ackTimeout() time.Duration {
	if !m.large {
		return AckTimeout
	}
	return max(AckTimeout, min(ackRoundTrips*m.roundTrip, maxSuspectAfter/2))
}

// suspectAfter returns how long a ping may stay unanswered before the member becomes suspect.
func (m *Membership) suspectAfter() time.Duration {
	if !m.large {
		return SuspectAfter
	}
	return max(SuspectAfter, min(suspectRoundTrips*m.roundTrip, maxSuspectAfter))
}

// sampleMembers returns up to maxMembersPerMessage members that are not dead: half of them from those of which other nodes have
// told this one last, since a receiver with another digest is likely to lack one of these, and the others from the ping order,
// each from a random start.
func (m *Membership) sampleMembers() []Update {
	us := m.sample(m.recent, maxMembersPerMessage/2)
	return append(us, m.sample(m.pingOrder, maxMembersPerMessage-len(us))...)
}

func (m *Membership) sample(names []string, count int) []Update {
	if len(names) == 0 {
		return nil
	}
	var us []Update
	start := m.random(len(names))
	for i := range min(count, len(names)) {
		if r, ok := m.members.Get(names[(start+i)%len(names)]); ok && r.State != StateDead {
			us = append(us, r.update())
		}
	}
	return us
}
