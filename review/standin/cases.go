//go:build review

package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"
)

// write is a write for which a caller got an answer.
type write struct {
	data  string
	at    time.Time
	acked bool
}

// writers keeps sessions that write one item after the other until stop is closed, and returns the writes that were
// acknowledged.
func (w *world) writers(count int, pause time.Duration, stop chan struct{}) func() []write {
	var mu sync.Mutex
	var out []write
	var wg sync.WaitGroup
	for i := range count {
		wg.Add(1)
		go func() {
			defer wg.Done()
			var s *session
			for k := 0; ; k++ {
				select {
				case <-stop:
					return
				case <-time.After(pause/2 + rand.N(pause)):
				}
				if s == nil {
					var err error
					if s, err = openSession(w.nodes[(i+k)%len(w.nodes)], "affirm", w.rec); err != nil {
						s = nil
						continue
					}
				}
				data := fmt.Sprintf("w%d-%d", i, k)
				a, err := s.query(fmt.Sprintf("WRITE k%d %s", i, data))
				if err == nil && a.success() {
					mu.Lock()
					out = append(out, write{data: data, at: time.Now(), acked: true})
					mu.Unlock()
				}
				if err != nil || a.state != "I" {
					s.close()
					s = nil
				}
			}
		}()
	}
	return func() []write {
		wg.Wait()
		return out
	}
}

// readers keeps sessions that read from a database until stop is closed.
func (w *world) readers(count int, database string, pause time.Duration, stop chan struct{}) {
	for i := range count {
		go func() {
			var s *session
			for k := 0; ; k++ {
				select {
				case <-stop:
					return
				case <-time.After(pause/2 + rand.N(pause)):
				}
				if s == nil {
					var err error
					if s, err = openSession(w.nodes[(i+k)%len(w.nodes)], database, w.rec); err != nil {
						s = nil
						continue
					}
				}
				if a, err := s.query(fmt.Sprintf("READ k%d", i%4)); err != nil || a.state != "I" {
					s.close()
					s = nil
				}
			}
		}()
	}
}

// replicaCrash has one replica receive nothing for 7 s, and the other one crash for 7 s. The primary runs all the time.
func replicaCrash(w *world) (bool, error) {
	stop := make(chan struct{})
	written := w.writers(9, 60*time.Millisecond, stop)
	w.readers(12, "blotter", 60*time.Millisecond, stop)
	w.readers(12, "recon", 60*time.Millisecond, stop)
	time.Sleep(4*time.Second + rand.N(time.Second))
	lagging, crashing := w.group.servers[1], w.group.servers[2]
	if w.trouble {
		lagging.setDeaf(true)
		w.rec.say("%s receives nothing from now on", lagging.id)
		time.AfterFunc(7*time.Second, func() {
			lagging.setDeaf(false)
			w.rec.say("%s receives again", lagging.id)
		})
		time.Sleep(400 * time.Millisecond)
		crashing.crash()
		w.rec.say("%s has crashed", crashing.id)
		time.Sleep(7 * time.Second)
		if err := crashing.start(); err != nil {
			return false, err
		}
		w.rec.say("%s is back with its log", crashing.id)
	}
	time.Sleep(10 * time.Second)
	close(stop)
	return w.lostWrites(written()), nil
}

// restartedReplica has one replica receive nothing for 6 s. Meanwhile the primary crashes for 7 s, and the other replica starts
// again under its id, with nothing of before.
func restartedReplica(w *world) (bool, error) {
	stop := make(chan struct{})
	written := w.writers(9, 60*time.Millisecond, stop)
	w.readers(12, "blotter", 60*time.Millisecond, stop)
	w.readers(12, "recon", 60*time.Millisecond, stop)
	time.Sleep(4*time.Second + rand.N(time.Second))
	primary, lagging, restarting := w.group.servers[0], w.group.servers[1], w.group.servers[2]
	if w.trouble {
		lagging.setDeaf(true)
		w.rec.say("%s receives nothing from now on", lagging.id)
		time.AfterFunc(6*time.Second, func() {
			lagging.setDeaf(false)
			w.rec.say("%s receives again", lagging.id)
		})
		time.Sleep(2 * time.Second)
		primary.crash()
		restarting.crash()
		w.rec.say("%s and %s have crashed", primary.id, restarting.id)
		time.Sleep(time.Second)
		restarting.forget()
		if err := restarting.start(); err != nil {
			return false, err
		}
		w.rec.say("%s has started again with nothing", restarting.id)
		time.Sleep(6 * time.Second)
		if err := primary.start(); err != nil {
			return false, err
		}
		w.rec.say("%s is back with its log", primary.id)
	}
	time.Sleep(10 * time.Second)
	close(stop)
	return w.lostWrites(written()), nil
}

// lostWrites reports whether the log of a server that was promoted lacks an acknowledged write of an earlier term.
func (w *world) lostWrites(acked []write) bool {
	g := w.group
	g.mu.Lock()
	defer g.mu.Unlock()
	lost := 0
	for _, p := range g.promotions {
		for _, v := range acked {
			if term, ok := g.committed[v.data]; ok && term < p.term && v.at.Before(p.at) && !p.held[v.data] {
				lost++
				w.rec.add("LOST: %s was acknowledged %v before %s was promoted to term %d without it", v.data, p.at.Sub(v.at), p.server,
					p.term)
			}
		}
	}
	w.rec.say("%d writes acknowledged, %d promotions, %d acknowledged writes missing from a promoted log", len(acked), len(g.promotions),
		lost)
	return lost > 0
}

// The transactions of sigterm. On each proxy their commits are spread evenly over the last 1.1 s before the end of GraceS.
const (
	transactions    = 9
	statements      = 8
	firstCommitAt   = 4800 * time.Millisecond
	commitSpread    = 120 * time.Millisecond
	commitWork      = 60 * time.Millisecond
	grace           = 6 * time.Second
	transactionEnds = 3 * time.Second
	pauseStatements = 650 * time.Millisecond
)

// sigterm stops and starts the proxies in turn while transactions are open in them. Each caller goes on with its transaction, with
// pauses of less than TxIdleMs, and commits it inside GraceS.
func sigterm(w *world) (bool, error) {
	w.group.servers[0].setSlow(commitWork)
	lost := 0
	for k, n := range w.nodes {
		signalAt := time.Now().Add(2 * time.Second)
		firstCommit := firstCommitAt + time.Duration(k)*commitSpread/time.Duration(len(w.nodes))
		cut := make(chan string, transactions)
		var wg sync.WaitGroup
		for i := range transactions {
			wg.Add(1)
			go func() {
				defer wg.Done()
				if reason := w.playTransaction(n, i, signalAt, firstCommit+time.Duration(i)*commitSpread); reason != "" {
					cut <- reason
				}
			}()
		}
		time.Sleep(time.Until(signalAt))
		if w.trouble {
			n.signal(syscall.SIGTERM)
			w.rec.say("SIGTERM to %s", n.name)
			time.Sleep(grace)
			n.kill()
			if err := w.restart(k); err != nil {
				return false, err
			}
		}
		wg.Wait()
		close(cut)
		for reason := range cut {
			lost++
			w.rec.add("LOST: %s", reason)
		}
	}
	w.rec.say("%d of %d transactions had a statement that a server ran and nobody answered", lost, transactions*len(w.nodes))
	return lost > 0, nil
}

// playTransaction runs one transaction. It returns a description of a request that reached a server, but whose connection ended
// without a complete answer.
func (w *world) playTransaction(n *node, i int, signalAt time.Time, commitAfter time.Duration) string {
	s, err := openSession(n, "affirm", w.rec)
	if err != nil {
		return ""
	}
	defer s.close()
	time.Sleep(time.Until(signalAt.Add(-time.Duration(500+rand.IntN(400)) * time.Millisecond)))
	texts := []string{"BEGIN"}
	for k := range statements {
		texts = append(texts, fmt.Sprintf("WRITE %s-%d-%d v%d", n.name, i, k, k))
	}
	commitAt := signalAt.Add(commitAfter)
	for _, text := range texts {
		if a, err := s.query(text); err != nil || !a.success() {
			return w.unanswered(text, a, err, signalAt)
		}
		time.Sleep(min(pauseStatements, time.Until(commitAt)))
	}
	time.Sleep(time.Until(commitAt))
	a, err := s.query("COMMIT")
	return w.unanswered("COMMIT", a, err, signalAt)
}

// unanswered describes a request that was passed on to a server and whose connection ended without a complete answer, around a
// SIGTERM and without an excuse: it was sent later than half of GraceS after the signal.
func (w *world) unanswered(text string, a answer, err error, signalAt time.Time) string {
	if err == nil || !w.group.hasRun(a.id) || a.sentAt.Before(signalAt.Add(transactionEnds)) ||
		a.endedAt.After(signalAt.Add(grace+time.Second)) || a.endedAt.Sub(a.sentAt) >= time.Second {
		return ""
	}
	return fmt.Sprintf("%s (%s), sent %v after the SIGTERM, reached a server; %v later its connection ended: %v", text, a.id,
		a.sentAt.Sub(signalAt), a.endedAt.Sub(a.sentAt), err)
}

// blank writes data that end in a blank through a prepared statement, and reads them back.
func blank(w *world) (bool, error) {
	end := ""
	if w.trouble {
		end = " "
	}
	changed := 0
	for i, n := range w.nodes {
		s, err := openSession(n, "affirm", w.rec)
		if err != nil {
			return false, err
		}
		defer s.close()
		data := fmt.Sprintf("note %d%s", i, end)
		for _, text := range []string{"PREPARE s1 WRITE q2c", fmt.Sprintf("EXECUTE s1 k%d %s", i, data)} {
			if a, err := s.query(text); err != nil || a.code != "" {
				return false, fmt.Errorf("%q: %v %s", text, err, a.code)
			}
		}
		a, err := s.query(fmt.Sprintf("READ k%d", i))
		if err != nil || len(a.rows) != 1 {
			return false, fmt.Errorf("read: %v %s", err, a.code)
		}
		if a.rows[0] != data {
			changed++
			w.rec.add("UNASKED: sent %q, the server kept %q", data, a.rows[0])
		}
	}
	w.rec.say("%d of %d written values were changed", changed, len(w.nodes))
	return changed > 0, nil
}
