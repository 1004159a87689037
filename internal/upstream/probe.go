package upstream

import "time"

// expireProbes gives up probes that stayed unanswered for too long.
func expireProbes(w *Watch, now time.Duration) {
	for _, k := range w.servers.TakeDue(now) {
		s, _ := w.servers.Get(k)
		if g, _ := w.groups.Get(s.Group); !g.Watched {
			continue
		}
		if s.ProbePending && s.OverdueSince == 0 && now-s.ProbeSentAt >= w.kind.Timing.OverdueAfter && s.LastResponse < s.ProbeSentAt {
			s = s.WithOverdue(now)
			w.servers.Put(k, s)
			w.hurry(now, s.Group)
		}
		if s.ProbePending && now-s.ProbeSentAt >= w.kind.Timing.ProbeTimeout {
			s = s.WithTimeout()
			w.servers.Put(k, s)
			w.hurry(now, s.Group)
		}
		w.servers.Wake(k, w.nextProbe(now, s))
	}
}

func (w *Watch) nextProbe(now time.Duration, s Server) time.Duration {
	switch {
	case s.ProbePending && s.OverdueSince == 0 && now < s.ProbeSentAt+w.kind.Timing.OverdueAfter:
		return s.ProbeSentAt + w.kind.Timing.OverdueAfter
	case s.ProbePending:
		return s.ProbeSentAt + w.kind.Timing.ProbeTimeout
	case s.ProbeSentAt == 0:
		return now
	}
	if s.OverdueSince != 0 {
		return max(now, s.ProbeSentAt+w.kind.Timing.ShortProbeInterval)
	}
	return max(now, max(s.ProbeSentAt, s.LastResponse)+w.interval(now, s))
}

// sendProbes asks each server that is due for its status.
func sendProbes(w *Watch, now time.Duration) {
	for _, k := range w.servers.TakeDue(now) {
		s, _ := w.servers.Get(k)
		if s.ProbePending {
			w.servers.Wake(k, w.nextProbe(now, s))
			continue
		}
		s = s.WithProbe(now)
		w.servers.Put(k, s)
		w.servers.Wake(k, w.nextProbe(now, s))
		w.out = append(w.out, Probe{
			Group: s.Group, Server: s.Name, Address: s.Address, SentAt: now, Timeout: w.kind.Timing.ProbeTimeout,
		})
	}
}
