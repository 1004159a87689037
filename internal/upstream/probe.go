package upstream

import "time"

// expireProbes marks probes as overdue after OverdueAfter and as failed after ProbeTimeout.
func expireProbes(w *Watch, now time.Duration) {
	for _, k := range w.servers.TakeDue(now) {
		s, _ := w.servers.Get(k)
		if g, _ := w.groups.Get(s.Group); !g.Watched {
			continue
		}
		if s.ProbePending && s.OverdueSince == 0 && now-s.ProbeSentAt >= w.kind.Timing.OverdueAfter && s.LastResponse < s.ProbeSentAt {
			s = s.WithOverdue(now)
			w.servers.Put(k, s)
			w.probeGroupSoon(now, s.Group)
		}
		if s.ProbePending && now-s.ProbeSentAt >= w.kind.Timing.ProbeTimeout {
			s = s.WithTimeout()
			w.servers.Put(k, s)
			w.probeGroupSoon(now, s.Group)
		}
		w.servers.SetDue(k, w.nextProbeAt(now, s))
	}
}

// nextProbeAt returns when the server's row is due again: for the pending probe's next time limit, or for the next probe.
func (w *Watch) nextProbeAt(now time.Duration, s Server) time.Duration {
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
	return max(now, max(s.ProbeSentAt, s.LastResponse)+w.probeInterval(now, s))
}

// sendProbes sends a probe to each server whose next probe is due.
func sendProbes(w *Watch, now time.Duration) {
	for _, k := range w.servers.TakeDue(now) {
		s, _ := w.servers.Get(k)
		if s.ProbePending {
			w.servers.SetDue(k, w.nextProbeAt(now, s))
			continue
		}
		s = s.WithProbe(now)
		w.servers.Put(k, s)
		w.servers.SetDue(k, w.nextProbeAt(now, s))
		w.actions = append(w.actions, Probe{
			Group: s.Group, Server: s.Name, Address: s.Address, SentAt: now, Timeout: w.kind.Timing.ProbeTimeout,
		})
	}
}
