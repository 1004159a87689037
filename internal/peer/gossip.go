package peer

import (
	"math/bits"
	"slices"
	"time"
)

// queueBroadcast queues an update or a route, in place of an older one about the same member or group. It is sent a number of
// times that grows with the logarithm of the fleet size.
func (m *Membership) queueBroadcast(r broadcast) {
	r.remaining = retransmitFactor * (1 + bits.Len(uint(len(m.pingOrder))))
	m.broadcasts = slices.DeleteFunc(m.broadcasts, func(o broadcast) bool {
		return o.update.Name == r.update.Name && o.route.Group == r.route.Group
	})
	m.broadcasts = append(m.broadcasts, r)
}

// message returns a message with the broadcasts that have been sent least often.
func (m *Membership) message(k Kind, seq uint64) Message {
	g := Message{
		Kind: k, From: m.self.Name, Seq: seq, Digest: m.routeDigest, Members: m.membersDigest(), Version: m.bundleVersion,
		Updates: []Update{m.self},
	}
	slices.SortStableFunc(m.broadcasts, func(a, b broadcast) int { return b.remaining - a.remaining })
	for i := range m.broadcasts {
		if i == maxBroadcastsPerMessage {
			break
		}
		m.broadcasts[i].remaining--
		if r := m.broadcasts[i]; r.update.Name != "" {
			g.Updates = append(g.Updates, r.update)
		} else {
			g.Routes = append(g.Routes, r.route)
		}
	}
	m.broadcasts = slices.DeleteFunc(m.broadcasts, func(r broadcast) bool { return r.remaining <= 0 })
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

// ping pings the next member of the ping order, once per PingInterval.
func (m *Membership) ping(now time.Duration) {
	if now < m.nextPingAt {
		return
	}
	m.nextPingAt = now + PingInterval
	m.pingCount++
	for range m.pingOrder {
		k := m.pingOrder[m.nextIndex%len(m.pingOrder)]
		m.nextIndex++
		r, ok := m.members.Get(k)
		if !ok || r.State == StateDead && m.pingCount%deadPingEvery != 0 {
			continue
		}
		m.seq++
		m.members.Put(k, r.WithPing(now, m.seq))
		if r.State == StateAlive {
			m.members.SetDue(k, now+AckTimeout)
		}
		m.send(k, m.message(KindPing, m.seq))
		return
	}
}

// gossip sends the queued broadcasts to gossipFanout members if gossipNow is set, without waiting for the next ping.
func (m *Membership) gossip() {
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
		case r.State == StateDead:
			m.removeMember(k)
		case r.State == StateSuspect && now-r.StateSince >= DeadAfter:
			m.change(r, r.WithState(now, StateDead, r.Incarnation))
			m.gossipNow = true
		case r.State == StateSuspect:
			m.members.SetDue(k, r.StateSince+DeadAfter)
		case r.PendingPing != 0 && now-r.PingSentAt >= SuspectAfter:
			m.change(r, r.WithState(now, StateSuspect, r.Incarnation))
		case r.PendingPing != 0 && !r.IndirectPing:
			m.requestIndirectPings(k, r)
		}
	}
}

func (m *Membership) requestIndirectPings(k string, r Member) {
	m.members.Put(k, r.WithIndirectPing())
	m.members.SetDue(k, r.PingSentAt+SuspectAfter)
	for _, o := range m.chooseMembers(gossipFanout, k) {
		g := m.message(KindPingRequest, r.PendingPing)
		g.Target = k
		m.send(o, g)
	}
}

func (m *Membership) removeMember(k string) {
	m.members.Delete(k)
	m.pingOrder = slices.DeleteFunc(m.pingOrder, func(o string) bool { return o == k })
	m.membersChanged = true
}

func (m *Membership) publishMembers() {
	if !m.membersChanged {
		return
	}
	m.membersChanged = false
	m.actions = append(m.actions, MembersChanged{
		Members: m.Alive(), Known: m.members.Len() + 1, KnownZones: m.countZones(), Lost: m.lost(), VMsListed: m.vmsListed,
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
