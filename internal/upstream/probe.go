package upstream

import "time"

// expireProbes gives up probes that stayed unanswered for too long.
func expireProbes(w *Watch, now time.Duration) {
	for _, k := range w.servers.TakeDue(now) {
		s, _ := w.servers.Get(k)
		if g, _ := w.groups.Get(s.Group); !g.Watched {
			continue
		}
		if s.Probing && now-s.Sent >= w.kind.Times.ProbeTimeout {
			s = s.WithTimeout()
			w.servers.Put(k, s)
			w.hurry(now, s.Group)
		}
		w.servers.Wake(k, w.nextProbe(now, s))
	}
}

func (w *Watch) nextProbe(now time.Duration, s Server) time.Duration {
	if s.Probing {
		return s.Sent + w.kind.Times.ProbeTimeout
	}
	if s.Sent == 0 {
		return now
	}
	return max(now, s.Sent+w.interval(s))
}

// sendProbes asks each server that is due for its status.
func sendProbes(w *Watch, now time.Duration) {
	for _, k := range w.servers.TakeDue(now) {
		s, _ := w.servers.Get(k)
		if s.Probing {
			w.servers.Wake(k, s.Sent+w.kind.Times.ProbeTimeout)
			continue
		}
		w.servers.Put(k, s.WithProbe(now))
		w.servers.Wake(k, now+w.kind.Times.ProbeTimeout)
		w.out = append(w.out, Probe{
			Group: s.Group, Server: s.Name, Address: s.Address, Sent: now, Timeout: w.kind.Times.ProbeTimeout,
		})
	}
}
