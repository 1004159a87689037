package upstream

import "time"

// expireProbes gives up probes that stayed unanswered for too long.
func expireProbes(w *Watch, now time.Duration) {
	for _, k := range w.servers.TakeDue(now) {
		s, _ := w.servers.Get(k)
		if g, _ := w.groups.Get(s.Group); !g.Watched {
			continue
		}
		if s.Probing && s.Doubt == 0 && now-s.Sent >= w.kind.Times.DoubtAfter && s.Heard < s.Sent {
			s = s.WithDoubt(now)
			w.servers.Put(k, s)
			w.hurry(now, s.Group)
		}
		if s.Probing && now-s.Sent >= w.kind.Times.ProbeTimeout {
			s = s.WithTimeout()
			w.servers.Put(k, s)
			w.hurry(now, s.Group)
		}
		w.servers.SetDue(k, w.nextProbe(now, s))
	}
}

func (w *Watch) nextProbe(now time.Duration, s Server) time.Duration {
	switch {
	case s.Probing && s.Doubt == 0 && now < s.Sent+w.kind.Times.DoubtAfter:
		return s.Sent + w.kind.Times.DoubtAfter
	case s.Probing:
		return s.Sent + w.kind.Times.ProbeTimeout
	case s.Sent == 0:
		return now
	}
	if s.Doubt != 0 {
		return max(now, s.Sent+w.kind.Times.ProbeSoon)
	}
	return max(now, max(s.Sent, s.Heard)+w.interval(now, s))
}

// sendProbes asks each server that is due for its status.
func sendProbes(w *Watch, now time.Duration) {
	for _, k := range w.servers.TakeDue(now) {
		s, _ := w.servers.Get(k)
		if s.Probing {
			w.servers.SetDue(k, w.nextProbe(now, s))
			continue
		}
		s = s.WithProbe(now)
		w.servers.Put(k, s)
		w.servers.SetDue(k, w.nextProbe(now, s))
		w.out = append(w.out, Probe{
			Group: s.Group, Server: s.Name, Address: s.Address, Sent: now, Timeout: w.kind.Times.ProbeTimeout,
		})
	}
}
