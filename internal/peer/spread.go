package peer

import (
	"math/bits"
	"slices"
	"time"
)

// spread queues news; it replaces older news about the same subject, and is told a number of times that grows with the
// logarithm of the fleet.
func (m *Membership) spread(r rumour) {
	r.left = retransmits * (1 + bits.Len(uint(len(m.order))))
	m.news = slices.DeleteFunc(m.news, func(o rumour) bool {
		return o.update.Name == r.update.Name && o.route.Group == r.route.Group
	})
	m.news = append(m.news, r)
}

// message returns a message with the news that has been told least often.
func (m *Membership) message(k Kind, seq uint64) Message {
	g := Message{
		Kind: k, From: m.self.Name, Seq: seq, Digest: m.digest, Members: m.memberDigest(), Version: m.version,
		Updates: []Update{m.self},
	}
	slices.SortStableFunc(m.news, func(a, b rumour) int { return b.left - a.left })
	for i := range m.news {
		if i == maxNews {
			break
		}
		m.news[i].left--
		if r := m.news[i]; r.update.Name != "" {
			g.Updates = append(g.Updates, r.update)
		} else {
			g.Routes = append(g.Routes, r.route)
		}
	}
	m.news = slices.DeleteFunc(m.news, func(r rumour) bool { return r.left <= 0 })
	return g
}

// send sends a message; a member that is thought gone is told so, which it contradicts if it can.
func (m *Membership) send(to string, g Message) {
	r, ok := m.members.Get(to)
	if !ok {
		return
	}
	if r.State != StateAlive {
		g.Updates = append(g.Updates, r.update())
	}
	m.out = append(m.out, Send{To: to, Zone: r.Zone, Address: r.Address, Message: g})
}

// ping asks the next member in turn for a sign of life, once per interval.
func (m *Membership) ping(now time.Duration) {
	if now < m.nextAt {
		return
	}
	m.nextAt = now + PingEvery
	m.pings++
	for range m.order {
		k := m.order[m.turn%len(m.order)]
		m.turn++
		r, ok := m.members.Get(k)
		if !ok || r.State == StateDead && m.pings%deadPingEvery != 0 {
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

// push tells urgent news to a few members at once instead of waiting for the next ping.
func (m *Membership) push() {
	if !m.urgent {
		return
	}
	m.urgent = false
	for _, k := range m.pick(fanout, "") {
		m.send(k, m.message(KindNews, 0))
	}
}

// pick returns up to n members that are there, chosen at random, but not the excepted one.
func (m *Membership) pick(n int, except string) []string {
	var ks []string
	if len(m.order) == 0 {
		return nil
	}
	start := m.random(len(m.order))
	step := 1 + m.random(max(1, len(m.order)-1))
	for i := 0; i < len(m.order) && len(ks) < n; i++ {
		k := m.order[(start+i*step)%len(m.order)]
		if r, ok := m.members.Get(k); ok && r.State != StateDead && k != except && !slices.Contains(ks, k) {
			ks = append(ks, k)
		}
	}
	return ks
}

// expire acts on pings without answers, suspects without proof and rows without use.
func (m *Membership) expire(now time.Duration) {
	m.members.TakeDirty()
	for _, k := range m.members.TakeDue(now) {
		r, _ := m.members.Get(k)
		switch {
		case r.State == StateDead:
			m.forget(k)
		case r.State == StateSuspect && now-r.Since >= DeadAfter:
			m.change(r, r.WithState(now, StateDead, r.Incarnation))
			m.urgent = true
		case r.State == StateSuspect:
			m.members.SetDue(k, r.Since+DeadAfter)
		case r.Waiting != 0 && now-r.Sent >= SuspectAfter:
			m.change(r, r.WithState(now, StateSuspect, r.Incarnation))
		case r.Waiting != 0 && !r.Indirect:
			m.askOthers(k, r)
		}
	}
}

func (m *Membership) askOthers(k string, r Member) {
	m.members.Put(k, r.WithIndirect())
	m.members.SetDue(k, r.Sent+SuspectAfter)
	for _, o := range m.pick(fanout, k) {
		g := m.message(KindPingRequest, r.Waiting)
		g.Target = k
		m.send(o, g)
	}
}

func (m *Membership) forget(k string) {
	m.members.Delete(k)
	m.order = slices.DeleteFunc(m.order, func(o string) bool { return o == k })
}

func (m *Membership) publish() {
	if !m.changed {
		return
	}
	m.changed = false
	m.out = append(m.out, MembersChanged{Members: m.Alive(), Known: m.members.Len() + 1, Listed: m.listed})
}
