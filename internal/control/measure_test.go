package control_test

import (
	"runtime"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"buckthornport.example/buckthornport/internal/upstream"
	"buckthornport.example/buckthornport/pkg/bundle"
)

const (
	failovers   = 200
	failedAt    = 2 * time.Second
	watchedFor  = 7 * time.Second
	fixedTimer  = 3 * time.Second
	maxGap      = int64(time.Minute / time.Microsecond)
	significant = 3
)

// killPrimary ends the primary's process; its VM still refuses connections.
func killPrimary(w *world) { w.leader().kill() }

// cutPrimary parts the primary from the other servers and from everyone outside its zone.
func cutPrimary(w *world) {
	z := w.leader().zone
	for _, s := range w.servers {
		if s.zone != z {
			w.cut(z, s.zone, true)
			w.cut(s.zone, z, true)
		}
	}
}

// loseZone takes the primary's zone away, proxies and all; the callers of its proxies go elsewhere.
func loseZone(w *world) {
	cutPrimary(w)
	z := w.leader().zone
	for _, n := range w.nodes {
		if n.zone == z {
			n.kill()
		}
	}
}

// freezePrimary stops the primary without closing anything.
func freezePrimary(w *world) { w.leader().wakes = w.Now() + time.Hour }

// fixedTimerJudge is the baseline: a primary that did not answer this node for three seconds has failed.
func fixedTimerJudge(e upstream.FailureEvidence) string {
	for _, s := range e.Servers {
		if s.Name == e.Group.Primary && s.StatusKnown && e.Now-s.LastResponse >= fixedTimer {
			return "fixed_timer"
		}
	}
	return ""
}

// gapsOf returns, per caller outside a cut zone, the longest time between two acknowledged writes around a failure.
func (w *world) gapsOf(zone string) []time.Duration {
	var out []time.Duration
	for _, c := range w.clients {
		if zone != "" && c.node.zone == zone {
			continue
		}
		longest := time.Duration(0)
		for _, g := range w.ledger.gaps[c.id] {
			if g.to > failedAt {
				longest = max(longest, g.to-g.from)
			}
		}
		out = append(out, longest)
	}
	return out
}

type gapReport struct {
	gaps   *hdrhistogram.Histogram
	stages map[string][]time.Duration
	lost   int
	acked  int
}

func measureFailover(o worldOptions, fail func(w *world), skipZone bool) gapReport {
	r := gapReport{gaps: hdrhistogram.New(1, maxGap, significant), stages: map[string][]time.Duration{}}
	var mu sync.Mutex
	var wg sync.WaitGroup
	seeds := make(chan int64)
	for range max(1, runtime.NumCPU()-1) {
		wg.Go(func() {
			for seed := range seeds {
				w, gaps := failOnce(seed, o, fail, skipZone)
				mu.Lock()
				r.add(w, gaps)
				mu.Unlock()
			}
		})
	}
	for seed := range int64(failovers) {
		seeds <- seed + 1
	}
	close(seeds)
	wg.Wait()
	return r
}

func failOnce(seed int64, o worldOptions, fail func(w *world), skipZone bool) (*world, []time.Duration) {
	w := newWorld(seed, o)
	w.Run(failedAt + time.Duration(w.rnd.Intn(100))*ms)
	zone := ""
	if skipZone {
		zone = w.leader().zone
	}
	fail(w)
	w.Run(failedAt + watchedFor)
	gaps := w.gapsOf(zone)
	w.heal()
	w.Run(w.Now() + 3*time.Second)
	return w, gaps
}

func (r *gapReport) add(w *world, gaps []time.Duration) {
	for _, g := range gaps {
		_ = r.gaps.RecordValue(g.Microseconds())
	}
	r.takeStages(w)
	r.acked += len(w.ledger.acked)
	r.lost += len(w.faults())
}

func (r *gapReport) takeStages(w *world) {
	if len(w.ledger.promotions) == 0 {
		return
	}
	for _, e := range w.ledger.promotions[0].Evidence {
		if d, err := time.ParseDuration(e.Value); err == nil {
			r.stages[e.Name] = append(r.stages[e.Name], d)
		}
	}
}

func (r *gapReport) report(b *testing.B) {
	b.ReportMetric(float64(r.gaps.ValueAtQuantile(50))/1000, "gap_p50_ms")
	b.ReportMetric(float64(r.gaps.ValueAtQuantile(99))/1000, "gap_p99_ms")
	b.ReportMetric(float64(r.gaps.Max())/1000, "gap_worst_ms")
	b.ReportMetric(float64(r.lost), "broken_promises")
	b.ReportMetric(float64(r.acked), "acked")
	b.ReportMetric(0, "ns/op")
	for _, k := range []string{"detection", "fence", "wait", "open"} {
		if ds := r.stages[k]; len(ds) > 0 {
			slices.Sort(ds)
			b.ReportMetric(float64(ds[len(ds)/2])/1e6, k+"_p50_ms")
		}
	}
}

func BenchmarkFailoverGap(b *testing.B) {
	calm := worldOptions{nodes: 7, clients: 9, think: 10 * ms, calm: true, lane: nil}
	baseline := calm
	baseline.primaryOnly = true
	baseline.watch = []upstream.Option{upstream.WithFailureDetector(fixedTimerJudge), upstream.WithEvidenceTTL(0)}
	for _, k := range []struct {
		name string
		fail func(w *world)
		skip bool
	}{
		{"primary_killed", killPrimary, false},
		{"primary_frozen", freezePrimary, false},
		{"zone_cut_off", cutPrimary, true},
		{"zone_lost", loseZone, false},
	} {
		for name, o := range map[string]worldOptions{"ours": calm, "fixed_timer_primary_only": baseline} {
			b.Run(k.name+"/"+name, func(b *testing.B) {
				for range b.N {
					r := measureFailover(o, k.fail, k.skip)
					r.report(b)
				}
			})
		}
	}
}

// BenchmarkAcknowledgement measures what each kind of acknowledgement costs a caller when nothing fails.
func BenchmarkAcknowledgement(b *testing.B) {
	for _, k := range []struct {
		name string
		o    worldOptions
	}{
		{"primary_only", worldOptions{primaryOnly: true}},
		{"term", worldOptions{ack: bundle.AckTerm}},
		{"replica", worldOptions{ack: bundle.AckReplica}},
	} {
		b.Run(k.name, func(b *testing.B) {
			for range b.N {
				k.o.nodes, k.o.clients, k.o.think, k.o.calm = 7, 12, 20*ms, true
				w := newWorld(1, k.o)
				w.Run(20 * time.Second)
				ds := w.ledger.latencies
				slices.Sort(ds)
				b.ReportMetric(float64(ds[len(ds)/2])/1e6, "p50_ms")
				b.ReportMetric(float64(ds[len(ds)*99/100])/1e6, "p99_ms")
				b.ReportMetric(float64(len(ds)), "writes")
				b.ReportMetric(0, "ns/op")
			}
		})
	}
}

// BenchmarkFalsePromotions counts promotions in an hour of noise and short pauses, in which no primary ever fails.
func BenchmarkFalsePromotions(b *testing.B) {
	for range b.N {
		w := newWorld(1, worldOptions{nodes: 7, clients: 3, think: 300 * ms})
		w.Run(2 * time.Second)
		w.loss = 0.005
		pauses := 0
		for end := w.Now() + time.Hour; w.Now() < end; pauses++ {
			w.Run(w.Now() + w.between(500*ms, 5*time.Second))
			if d := w.between(10*ms, time.Second); pauses%2 == 0 {
				w.leader().wakes = w.Now() + d
			} else {
				w.nodes[w.rnd.Intn(len(w.nodes))].wakes = w.Now() + d
			}
		}
		b.ReportMetric(float64(len(w.ledger.promotions)), "false_promotions/h")
		b.ReportMetric(float64(pauses), "pauses")
		b.ReportMetric(float64(w.steps), "steps")
		b.ReportMetric(0, "ns/op")
	}
}

// BenchmarkReplicaShare measures which share of the reads that accept stale data the replicas serve.
func BenchmarkReplicaShare(b *testing.B) {
	for _, lag := range []time.Duration{20 * ms, 50 * ms, 200 * ms, time.Second} {
		b.Run(lag.String(), func(b *testing.B) {
			for range b.N {
				w := newWorld(1, worldOptions{nodes: 7, clients: 24, reads: 90})
				w.lag = lag
				w.Run(30 * time.Second)
				var eligible, replica uint64
				for _, n := range w.nodes {
					eligible += n.lane.Stats().EligibleReads
					replica += n.lane.Stats().ReplicaReads
				}
				b.ReportMetric(100*float64(replica)/float64(eligible), "%replica")
				b.ReportMetric(float64(eligible), "reads")
				b.ReportMetric(0, "ns/op")
			}
		})
	}
}
