package platform

import (
	"slices"
	"time"
)

// receive handles a message of another node about its copy of a table.
func (m *Mirror) receive(now time.Duration, from string, t TableMessage) {
	c, ok := m.copies.Get(t.Table)
	if !ok {
		return
	}
	switch t.Kind {
	case TableAnnounced:
		m.receiveAnnouncement(now, c, from, t)
	case TableRequested:
		m.receiveRequest(now, c, from, t)
	case TableSent:
		m.receiveRows(now, c, from, t)
	case TableArriving:
		m.passArriving(now, c, now-t.Age)
	}
}

// receiveAnnouncement confirms the copy if it holds the sender's latest change, and requests the changes otherwise. A sender whose
// copy is older than this node's is told so.
func (m *Mirror) receiveAnnouncement(now time.Duration, c Copy, from string, t TableMessage) {
	switch {
	case c.Known && t.Era < c.Era:
		m.send(from, m.announcement(now, c))
	case !c.Known || t.Era > c.Era || c.Version < t.LastChange:
		if c.RequestedAt != 0 && now-c.RequestedAt < requestTimeout {
			return
		}
		m.copies.Put(t.Table, c.WithRequest(max(now, 1)))
		m.request(c, from)
	case t.Version < c.LastChange:
		m.send(from, m.announcement(now, c))
	default:
		m.confirm(c.WithVersion(max(c.Version, t.Version), c.LastChange), now-t.Age)
	}
}

func (m *Mirror) request(c Copy, from string) {
	r := TableMessage{Kind: TableRequested, Table: c.Rules.Name}
	if c.Known {
		r.Era, r.After = c.Era, c.Version
	}
	m.send(from, r)
}

// confirm records that the copy was complete at the given time.
func (m *Mirror) confirm(c Copy, at time.Duration) {
	c = c.WithConfirmed(at)
	if !m.sources.Reader && !c.Reading {
		c = m.withReadPostponed(c)
	}
	m.schedule(c)
}

// passArriving records that a change was on its way at the given time, and passes that on when it has advanced by announceInterval.
func (m *Mirror) passArriving(now time.Duration, c Copy, at time.Duration) {
	if at < c.ArrivingAt+announceInterval {
		return
	}
	c = c.WithArriving(at)
	if !m.sources.Reader && !c.Reading {
		c = m.withReadPostponed(c)
	}
	m.schedule(c)
	for _, p := range m.sources.Successors {
		m.send(p, TableMessage{Kind: TableArriving, Table: c.Rules.Name, Age: now - at})
	}
}

// receiveRequest sends a node the changes that it lacks. A node that has no copy yet, or only one of an earlier era, answers once
// it has one.
func (m *Mirror) receiveRequest(now time.Duration, c Copy, from string, t TableMessage) {
	switch {
	case !c.Known || t.Era > c.Era:
		m.copies.Put(t.Table, c.WithWaiting(from))
	case t.Era < c.Era:
		m.send(from, m.changesAfter(now, c, 0))
	case t.After != 0 && t.After >= c.LastChange:
		m.send(from, m.announcement(now, c))
	default:
		m.send(from, m.changesAfter(now, c, t.After))
	}
}

// changesAfter returns a message with the changes after a version, or the whole table if the copy does not know all of them.
func (m *Mirror) changesAfter(now time.Duration, c Copy, after uint64) TableMessage {
	t := m.announcement(now, c)
	t.Kind, t.After, t.All = TableSent, after, after == 0 || after < c.HistoryFrom
	rows := m.rows[c.Rules.Name]
	for _, k := range rows.Keys() {
		r, _ := rows.Get(k)
		switch {
		case t.All && !r.Deleted:
			t.Rows = append(t.Rows, r)
		case !t.All && r.Version > after:
			t.Rows = append(t.Rows, m.shortest(c.Rules.Name, r, after))
		}
	}
	return t
}

// shortest returns the row as a delta if a copy that is complete up to the given version has the row's previous value.
func (m *Mirror) shortest(name string, r Row, after uint64) Row {
	v, ok := m.changes[name][r.Key]
	if !ok || v.from.Version > after {
		return r
	}
	v = v.WithDelta()
	m.changes[name][r.Key] = v
	return v.delta
}

// receiveRows applies rows that another node sent. If one is a delta to a value that this node does not have, it requests the whole
// table.
func (m *Mirror) receiveRows(now time.Duration, c Copy, from string, t TableMessage) {
	if t.Era < c.Era || !t.All && (!c.Known || t.Era > c.Era || c.Version < t.After) {
		return
	}
	rs := make([]Row, 0, len(t.Rows))
	for _, r := range t.Rows {
		old, _ := m.rows[t.Table].Get(r.Key)
		if old.Version >= r.Version && !t.All {
			continue
		}
		r, err := r.WithoutDelta(old)
		if err != nil {
			m.send(from, TableMessage{Kind: TableRequested, Table: t.Table})
			return
		}
		rs = append(rs, r)
	}
	v := change{rows: rs, all: t.All, era: t.Era, version: t.Version, lastChange: t.LastChange, source: from}
	if c.RequestedAt != 0 {
		v.transfer = now - c.RequestedAt
	}
	c, _ = m.update(c.WithRequest(0), v)
	m.confirm(c, now-t.Age)
}

// announce passes changes on to the successors at once, and confirmations when they have advanced by announceInterval.
func (m *Mirror) announce(now time.Duration) {
	for _, k := range m.copies.TakeDirty() {
		c, _ := m.copies.Get(k)
		if !c.Known || !m.changedNow[k] && c.ConfirmedAt < c.AnnouncedAt+announceInterval {
			continue
		}
		for _, p := range c.Waiting {
			m.send(p, m.changesAfter(now, c, 0))
		}
		for _, p := range m.sources.Successors {
			if !slices.Contains(c.Waiting, p) {
				m.send(p, m.announcement(now, c))
			}
		}
		m.copies.Put(k, c.WithAnnounced(c.ConfirmedAt))
		m.copies.TakeDirty()
	}
}

func (m *Mirror) announcement(now time.Duration, c Copy) TableMessage {
	return TableMessage{
		Kind: TableAnnounced, Table: c.Rules.Name, Era: c.Era, Version: c.Version, LastChange: c.LastChange, Age: now - c.ConfirmedAt,
	}
}

func (m *Mirror) send(to string, t TableMessage) {
	m.actions = append(m.actions, SendTable{To: to, Message: t})
}
