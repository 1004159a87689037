package caller

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"buckthornport.example/buckthornport/internal/operator"
)

const (
	// maxWorkRows bounds the number of kinds of work, which grows with the routes of the configuration.
	maxWorkRows = 256
	// declinesInRow is how many declines without an answer in between, at all servers that may run a request together, show that there
	// is no room for it anywhere.
	declinesInRow = 3
	// maxDeclineDoublings limits how often declinedBackoff doubles while a server declines everything.
	maxDeclineDoublings = 4
)

// workKey identifies a kind of work at a server: requests that take about the same time there.
type workKey string

func newWorkKey(server, class string, k Kind) workKey {
	return workKey(server + "\x00" + class + "\x00" + string(rune('0'+k)))
}

// isAt reports whether the work is done at a server.
func (k workKey) isAt(server string) bool {
	return strings.HasPrefix(string(k), server+"\x00")
}

// learns reports whether the lane learns the limit of a server.
func (l *Lane) learns(row Server) bool {
	return l.policy.Capacity.Answered != nil && row.Capacity.Max > 0
}

// workKey returns the key of a request's kind of work at a server.
func (l *Lane) workKey(server string, r Request) workKey {
	k := newWorkKey(server, r.Statement.Class.Name, r.Statement.Kind)
	if _, ok := l.workTimes.Get(k); !ok && l.workTimes.Len() >= maxWorkRows {
		return newWorkKey(server, allClasses, r.Statement.Kind)
	}
	return k
}

// workTime returns the function that gives a request's learned times at a server.
func (l *Lane) workTime(r Request) func(server string) WorkTime {
	return func(server string) WorkTime {
		w, _ := l.workTimes.Get(l.workKey(server, r))
		return w
	}
}

// learnAnswer returns a server's row after its answer to a request.
func (l *Lane) learnAnswer(now time.Duration, row Server, r Request, failed bool) Server {
	if !l.learns(row) {
		return row
	}
	c := row.Capacity.WithHeard(now, failed).WithDeclines(false)
	if failed {
		// An error often ends the work early, so its time says nothing.
		return l.withCapacity(now, row, c)
	}
	k, took := l.workKey(row.View.Name, r), now-r.Started
	w, known := l.workTimes.Get(k)
	if !known {
		w = w.WithPrior(l.leastBaseline(r))
	}
	w = w.WithAnswer(now, took, r.InFlight, c.loadAt(r.InFlight))
	l.workTimes.Put(k, w)
	l.workTimes.TakeDirty()
	a := WorkAnswer{Now: now, SentAt: r.Started, InFlight: r.InFlight, Slowdown: w.Slowdown(took)}
	return l.withCapacity(now, row, l.policy.Capacity.Answered(c.WithSlowdown(a.Slowdown, w.Baseline), a))
}

// leastBaseline returns the least baseline of a request's kind of work at the group's servers, 0 if none is established. A server
// that gets a kind of work for the first time, as the primary gets reads at a crest, may be full already.
func (l *Lane) leastBaseline(r Request) time.Duration {
	least := time.Duration(0)
	for _, v := range l.view.Servers {
		w, _ := l.workTimes.Get(l.workKey(v.Name, r))
		if w.isEstablished() && (least == 0 || w.Baseline < least) {
			least = w.Baseline
		}
	}
	return least
}

// learnDecline returns a server's row after it declined a request for lack of capacity.
func (l *Lane) learnDecline(now time.Duration, row Server, sentAt time.Duration) Server {
	c := row.Capacity.WithDeclines(true)
	c.HeardAt = now
	return l.withCapacity(now, row, l.policy.Capacity.Declined(c, now, sentAt))
}

// learnLoss records that a server lost a request, unless the lane closed the connection itself.
func (l *Lane) learnLoss(now time.Duration, server string, e RequestInterrupted) {
	if row, _ := l.servers.Get(server); l.learns(row) && !e.GivenUp && !e.Unsent {
		l.servers.Put(server, l.withCapacity(now, row, row.Capacity.WithHeard(now, true)))
	}
}

// withCapacity returns a server's row with what was learned, and records a limit that fell to half or recovered.
func (l *Lane) withCapacity(now time.Duration, row Server, c Capacity) Server {
	c, cause := c.withReport(now)
	if cause != "" {
		l.writeAuditRecord(operator.Record{Kind: operator.KindServer, Server: row.View.Name, Cause: cause}.
			WithEvidence("limit", fmt.Sprintf("%.1f", c.Limit)).WithEvidence("share", strconv.Itoa(c.Share)).
			WithEvidence("peak", fmt.Sprintf("%.1f", c.peak)).WithEvidence("slowdown", fmt.Sprintf("%.1f", c.Slowdown)).
			WithEvidence("baseline_ms", millis(c.Baseline)).WithEvidence("declines", strconv.Itoa(c.Declines)))
	}
	c.RoutedUntil = l.rotation
	row.Capacity = c
	row.LongSlots = l.policy.LongLimit(c.Allowed())
	return row
}

// forgetWork deletes what was learned about a server that was removed.
func (l *Lane) forgetWork(server string) {
	for _, k := range l.workTimes.Keys() {
		if k.isAt(server) {
			l.workTimes.Delete(k)
		}
	}
}

// declinedEverywhere returns how long all servers that may run a request are left alone since they declined requests in a row, or
// 0.
func (l *Lane) declinedEverywhere(now time.Duration, r Request) time.Duration {
	wait, declines := time.Duration(0), 0
	for _, s := range l.groupServers() {
		switch {
		case !s.View.Alive || s.View.Leaving || !acceptsAge(r) && s.View.Name != l.leader():
		case !l.learns(s) || s.Capacity.Declines == 0 || now >= s.DeclinedUntil:
			return 0
		default:
			declines += s.Capacity.Declines
			if wait == 0 || s.DeclinedUntil-now < wait {
				wait = s.DeclinedUntil - now
			}
		}
	}
	if declines < declinesInRow {
		return 0
	}
	return wait
}

// refuseDeclined refuses a request for which every server has declined several requests in a row, and reports whether it did.
func (l *Lane) refuseDeclined(now time.Duration, r Request) bool {
	wait := l.declinedEverywhere(now, r)
	if wait == 0 {
		return false
	}
	why := Refusal{Reason: ReasonOverload, Retry: wait + l.jitter(wait), Detail: "all servers decline"}
	if r.Sent {
		why.Reason = ReasonInterrupted
	}
	l.refuse(r, why)
	return true
}
