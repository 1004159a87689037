package peerlink

import (
	"buckthornport.example/buckthornport/internal/caller"
	"buckthornport.example/buckthornport/internal/dispatcher"
	"buckthornport.example/buckthornport/internal/peer"
	"buckthornport.example/buckthornport/pkg/bundle"
	"buckthornport.example/buckthornport/pkg/session"
)

// encode converts a message to its wire form.
func encode(m peer.Message) *Message {
	p := &Message{
		Kind: uint32(m.Kind), From: m.From, Seq: m.Seq, Target: m.Target, Digest: m.Digest, Members: m.Members,
		Version: m.Version, Bundle: m.Bundle, All: m.All,
	}
	for _, u := range m.Updates {
		p.Updates = append(p.Updates, &Update{
			Name: u.Name, Zone: u.Zone, Address: u.Address, Incarnation: u.Incarnation, State: uint32(u.State), Weight: u.Weight,
		})
	}
	for _, r := range m.Routes {
		p.Routes = append(p.Routes, &Route{Group: r.Group, Term: r.Term, Primary: r.Primary, Floor: encodePosition(r.Floor)})
	}
	return p
}

// decode converts a message from its wire form. An unknown kind, as a newer version may send, becomes KindGossip, and an unknown
// state becomes StateAlive, since these have the least effect.
func decode(p *Message) peer.Message {
	m := peer.Message{
		Kind: peer.KindGossip, From: p.From, Seq: p.Seq, Target: p.Target, Digest: p.Digest, Members: p.Members,
		Version: p.Version, Bundle: p.Bundle, All: p.All,
	}
	if p.Kind <= uint32(peer.KindGossip) {
		m.Kind = peer.Kind(p.Kind)
	}
	for _, u := range p.Updates {
		v := peer.Update{Name: u.Name, Zone: u.Zone, Address: u.Address, Incarnation: u.Incarnation, Weight: u.Weight}
		if u.State <= uint32(peer.StateDead) {
			v.State = peer.State(u.State)
		}
		m.Updates = append(m.Updates, v)
	}
	for _, r := range p.Routes {
		m.Routes = append(m.Routes, peer.Route{Group: r.Group, Term: r.Term, Primary: r.Primary, Floor: decodePosition(r.Floor)})
	}
	return m
}

func encodePosition(p session.Position) *Position {
	if p.IsZero() {
		return nil
	}
	return &Position{Term: p.Term, Offset: p.Offset}
}

func decodePosition(p *Position) session.Position {
	return session.Position{Term: p.GetTerm(), Offset: p.GetOffset()}
}

func encodeJob(j dispatcher.Job) *Job {
	s := j.Statement
	return &Job{
		Session: uint64(j.Session), Seq: j.Seq, Group: j.Group, Floor: encodePosition(j.Floor),
		Joined: j.Joined, Version: s.Version, Id: s.ID, Text: j.Text, Shape: j.Shape, Writes: j.Writes, Names: j.Names,
		Values: j.Values, Tenant: s.Tenant,
		Class: &Class{
			Name: s.Class.Name, DeadlineMs: s.Class.DeadlineMS, Priority: int64(s.Class.Priority),
			IdleTransactionMs: s.Class.IdleTransactionMS, ObjectiveMs: s.Class.ObjectiveMS, MaxAgeMs: s.Class.MaxAgeMS,
			SessionBound: s.Class.SessionBound,
		},
	}
}

func decodeJob(p *Job) dispatcher.Job {
	v := p.GetClass()
	return dispatcher.Job{
		Forward: dispatcher.Forward{
			Session: caller.SessionID(p.Session), Seq: p.Seq, Group: p.Group, Floor: decodePosition(p.Floor), Joined: p.Joined,
			Statement: caller.Statement{
				Version: p.Version, ID: p.Id, Tenant: p.Tenant,
				Class: bundle.Class{
					Name: v.GetName(), DeadlineMS: v.GetDeadlineMs(), Priority: int(v.GetPriority()),
					IdleTransactionMS: v.GetIdleTransactionMs(), ObjectiveMS: v.GetObjectiveMs(), MaxAgeMS: v.GetMaxAgeMs(),
					SessionBound: v.GetSessionBound(),
				},
			},
		},
		Payload: dispatcher.Payload{Text: p.Text, Shape: p.Shape, Writes: p.Writes, Names: p.Names, Values: p.Values},
	}
}

func encodeOutcome(o dispatcher.Outcome) *Outcome {
	return &Outcome{
		Session: uint64(o.Session), Seq: o.Seq, Declined: o.Declined, Answer: o.Answer, State: o.State, Open: o.TransactionOpen,
		Position: encodePosition(o.Position), Floor: encodePosition(o.Floor),
	}
}

func decodeOutcome(p *Outcome) dispatcher.Outcome {
	return dispatcher.Outcome{
		Session: caller.SessionID(p.Session), Seq: p.Seq, Declined: p.Declined, Answer: p.Answer, State: p.State,
		TransactionOpen: p.Open, Position: decodePosition(p.Position), Floor: decodePosition(p.Floor),
	}
}
