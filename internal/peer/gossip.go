package peer

import (
	"math/bits"
	"slices"
	"time"
)

// queueBroadcast queues an update or a route, in place of an older one about the same member or group. It is sent a number of
// times that grows with the logarithm of the fleet size.
func (m *Membership) queueBroadcast(r broadcast) {
	r.remaining = m.retransmissions(r)
	m.broadcasts = slices.DeleteFunc(m.broadcasts, func(o broadcast) bool {
		return o.update.Name == r.update.Name && o.route.Group == r.route.Group
	})
	i, _ := slices.BinarySearchFunc(m.broadcasts, r.remaining, compareRemaining)
	m.broadcasts = slices.Insert(m.broadcasts, i, r)
}

// retransmissions returns the number of messages in which a broadcast is sent. In a large fleet, a member that has joined is told
// less often: many may join at once, nodes also read of them in the list, and digests find what is missing.
func (m *Membership) retransmissions(r broadcast) int {
	n := 1 + bits.Len(uint(len(m.pingOrder)))
	if m.large && r.joined {
		return n
	}
	return retransmitFactor * n
}

// compareRemaining orders broadcasts by descending numbers of messages that remain. It never returns zero, so that a search finds
// the place after those with the same number.
func compareRemaining(r broadcast, remaining int) int {
	if r.remaining >= remaining {
		return -1
	}
	return 1
}

// dropListed removes the broadcasts of live members that are in the list, which the other nodes read as well.
func (m *Membership) dropListed(us []Update) {
	listed := make(map[string]bool, len(us))
	for _, u := range us {
		listed[u.Name] = true
	}
	m.broadcasts = slices.DeleteFunc(m.broadcasts, func(r broadcast) bool {
		return r.joined && listed[r.update.Name]
	})
}

// takeBroadcasts returns the broadcasts that have been sent least often, and counts them as sent. The queue stays sorted without
// sorting it for each message: a fleet that starts queues a broadcast for each of its members.
func (m *Membership) takeBroadcasts() []broadcast {
	limit := maxBroadcastsPerMessage
	if m.large {
		limit = maxBroadcastsInLargeFleet
	}
	sent := slices.Clone(m.broadcasts[:min(len(m.broadcasts), limit)])
	rest := slices.Delete(m.broadcasts, 0, len(sent))
	for _, r := range sent {
		if r.remaining--; r.remaining > 0 {
			i, _ := slices.BinarySearchFunc(rest, r.remaining, compareRemaining)
			rest = slices.Insert(rest, i, r)
		}
	}
	m.broadcasts = rest
	return sent
}

// message returns a message with the broadcasts that have been sent least often.
func (m *Membership) message(k Kind, seq uint64) Message {
	g := Message{
		Kind: k, From: m.self.Name, Seq: seq, Digest: m.routeDigest, Members: m.membersDigest(), Version: m.bundleVersion,
		Updates: []Update{m.self},
	}
	for _, r := range m.takeBroadcasts() {
		if r.update.Name != "" {
			g.Updates = append(g.Updates, r.update)
		} else {
			g.Routes = append(g.Routes, r.route)
		}
	}
	return g
}

// send sends a message to a member. A member that is not considered alive also gets its own state, so that it can refute it.
func (m *Membership) send(to string, g Message) {
	r, ok := m.members.Get(to)
	if !ok {
		return
	}
	if r.State != StateAlive {
		g.Updates = append(g.Updates, r.update())
	}
	m.actions = append(m.actions, Send{To: to, Zone: r.Zone, Address: r.Address, Message: g})
}

// ping pings a member once per PingInterval.
func (m *Membership) ping(now time.Duration) {
	if now < m.nextPingAt {
		return
	}
	m.nextPingAt = now + PingInterval
	m.pingCount++
	k, ok := m.nextNeighbor()
	if !ok {
		k, ok = m.nextInOrder()
	}
	if !ok {
		return
	}
	r, _ := m.members.Get(k)
	m.seq++
	m.members.Put(k, r.WithPing(now, m.seq))
	if r.State == StateAlive {
		m.members.SetDue(k, now+m.ackTimeout())
	}
	m.send(k, m.message(KindPing, m.seq))
}

// nextInOrder returns the next member of the ping order.
func (m *Membership) nextInOrder() (string, bool) {
	for range m.pingOrder {
		k := m.pingOrder[m.nextIndex%len(m.pingOrder)]
		m.nextIndex++
		r, ok := m.members.Get(k)
		if !ok || r.State == StateDead && m.pingCount%deadPingEvery != 0 || m.skipsRemote(r) {
			continue
		}
		return k, true
	}
	return "", false
}

// gossip sends the queued broadcasts to gossipFanout members if gossipNow is set, without waiting for the next ping.
func (m *Membership) gossip(now time.Duration) {
	if m.memberNews && (!m.large || m.newsAllowance.take(now, newsInterval)) {
		m.gossipNow, m.memberNews = true, false
	}
	if m.refuted && (!m.large || m.refuteAllowance.take(now, refuteInterval)) {
		m.gossipNow, m.refuted = true, false
	}
	if !m.gossipNow {
		return
	}
	m.gossipNow = false
	for _, k := range m.chooseMembers(gossipFanout, "") {
		m.send(k, m.message(KindGossip, 0))
	}
}

// chooseMembers returns up to n random members that are not dead, without the excepted one.
func (m *Membership) chooseMembers(n int, except string) []string {
	var ks []string
	if len(m.pingOrder) == 0 {
		return nil
	}
	start := m.random(len(m.pingOrder))
	step := 1 + m.random(max(1, len(m.pingOrder)-1))
	for i := 0; i < len(m.pingOrder) && len(ks) < n; i++ {
		k := m.pingOrder[(start+i*step)%len(m.pingOrder)]
		if r, ok := m.members.Get(k); ok && r.State != StateDead && k != except && !slices.Contains(ks, k) {
			ks = append(ks, k)
		}
	}
	return ks
}

// expireMembers requests indirect pings for unanswered pings, moves members from alive to suspect and from suspect to dead, and
// removes the rows of members that have been dead for ForgetAfter.
func (m *Membership) expireMembers(now time.Duration) {
	m.members.TakeDirty()
	for _, k := range m.members.TakeDue(now) {
		r, _ := m.members.Get(k)
		switch {
		case now < m.judgeFrom:
			m.members.SetDue(k, m.judgeFrom)
		case r.State == StateDead:
			m.removeMember(k)
		case r.State == StateSuspect && now-r.StateSince >= DeadAfter:
			m.change(r, r.WithState(now, StateDead, r.Incarnation))
			m.memberNews = true
		case r.State == StateSuspect:
			m.members.SetDue(k, r.StateSince+DeadAfter)
		case r.PendingPing != 0 && now-r.PingSentAt >= m.suspectAfter():
			m.change(r, r.WithState(now, StateSuspect, r.Incarnation))
		case r.PendingPing != 0 && !r.IndirectPing:
			m.requestIndirectPings(now, k, r)
		}
	}
}

func (m *Membership) requestIndirectPings(now time.Duration, k string, r Member) {
	m.members.Put(k, r.WithIndirectPing())
	m.members.SetDue(k, r.PingSentAt+m.suspectAfter())
	if m.large && !m.indirectAllowance.take(now, indirectInterval) {
		return
	}
	for _, o := range m.chooseMembers(gossipFanout, k) {
		g := m.message(KindPingRequest, r.PendingPing)
		g.Target = k
		m.send(o, g)
	}
}

func (m *Membership) removeMember(k string) {
	if r, _ := m.members.Get(k); !m.isNear(r.Zone) {
		m.remoteLost--
	}
	m.members.Delete(k)
	m.pingOrder = slices.DeleteFunc(m.pingOrder, func(o string) bool { return o == k })
	m.membersChanged = true
}

// publishMembers reports a changed list of members. In a large fleet it does so at intervals: each list costs work that grows
// with the fleet, and while many nodes start, nearly every message changes the list.
func (m *Membership) publishMembers(now time.Duration) {
	if !m.membersChanged || now < m.nextPublishAt {
		return
	}
	m.membersChanged = false
	alive := m.Alive()
	m.chooseNeighbors(alive)
	if m.large {
		m.nextPublishAt = now + min(maxPublishInterval, time.Duration(len(alive))*publishIntervalPerMember)
	}
	m.actions = append(m.actions, MembersChanged{
		Members: alive, Known: m.members.Len() + 1, KnownZones: m.countZones(), Lost: m.lost(), VMsListed: m.vmsListed,
	})
}

// countZones counts the zones of all known nodes.
func (m *Membership) countZones() int {
	zones := map[string]bool{m.self.Zone: true}
	for _, k := range m.members.Keys() {
		r, _ := m.members.Get(k)
		zones[r.Zone] = true
	}
	delete(zones, "")
	return len(zones)
}
