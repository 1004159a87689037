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
	failoverCount     = 200
	failureTime       = 2 * time.Second
	observationTime   = 7 * time.Second
	fixedTimeout      = 3 * time.Second
	maxGapMicros      = int64(time.Minute / time.Microsecond)
	significantDigits = 3
)

// killPrimary ends the primary's process; its VM still refuses connections.
func killPrimary(w *world) { w.leader().kill() }

// isolatePrimary partitions the primary's zone from all other zones.
func isolatePrimary(w *world) {
	z := w.leader().zone
	for _, s := range w.servers {
		if s.zone != z {
			w.setBlocked(z, s.zone, true)
			w.setBlocked(s.zone, z, true)
		}
	}
}

// loseZone partitions the primary's zone and kills its proxies. The callers of these proxies go to others.
func loseZone(w *world) {
	isolatePrimary(w)
	z := w.leader().zone
	for _, n := range w.nodes {
		if n.zone == z {
			n.kill()
		}
	}
}

// freezePrimary pauses the primary; its connections stay open.
func freezePrimary(w *world) { w.leader().pausedUntil = w.Now() + time.Hour }

// fixedTimeoutDetector is the baseline: a primary that has not answered this node for three seconds has failed.
func fixedTimeoutDetector(e upstream.FailureEvidence) string {
	for _, s := range e.Servers {
		if s.Name == e.Group.Primary && s.StatusKnown && e.Now-s.LastResponse >= fixedTimeout {
			return "fixed_timer"
		}
	}
	return ""
}

// longestGaps returns, for each caller outside a partitioned zone, the longest time between two acknowledged writes that ends
// after the failure.
func (w *world) longestGaps(zone string) []time.Duration {
	var out []time.Duration
	for _, c := range w.callers {
		if zone != "" && c.node.zone == zone {
			continue
		}
		longest := time.Duration(0)
		for _, g := range w.history.gaps[c.id] {
			if g.to > failureTime {
				longest = max(longest, g.to-g.from)
			}
		}
		out = append(out, longest)
	}
	return out
}

type gapReport struct {
	gaps            *hdrhistogram.Histogram
	stages          map[string][]time.Duration
	inconsistencies int
	acked           int
}

func measureFailover(o worldOptions, fail func(w *world), skipZone bool) gapReport {
	r := gapReport{gaps: hdrhistogram.New(1, maxGapMicros, significantDigits), stages: map[string][]time.Duration{}}
	var mu sync.Mutex
	var wg sync.WaitGroup
	seeds := make(chan int64)
	for range max(1, runtime.NumCPU()-1) {
		wg.Go(func() {
			for seed := range seeds {
				w, gaps := runFailover(seed, o, fail, skipZone)
				mu.Lock()
				r.add(w, gaps)
				mu.Unlock()
			}
		})
	}
	for seed := range int64(failoverCount) {
		seeds <- seed + 1
	}
	close(seeds)
	wg.Wait()
	return r
}

func runFailover(seed int64, o worldOptions, fail func(w *world), skipZone bool) (*world, []time.Duration) {
	w := newWorld(seed, o)
	w.Run(failureTime + time.Duration(w.rng.Intn(100))*ms)
	zone := ""
	if skipZone {
		zone = w.leader().zone
	}
	fail(w)
	w.Run(failureTime + observationTime)
	gaps := w.longestGaps(zone)
	w.heal()
	w.Run(w.Now() + 3*time.Second)
	return w, gaps
}

func (r *gapReport) add(w *world, gaps []time.Duration) {
	for _, g := range gaps {
		_ = r.gaps.RecordValue(g.Microseconds())
	}
	r.addStages(w)
	r.acked += len(w.history.acked)
	r.inconsistencies += len(w.inconsistencies())
}

func (r *gapReport) addStages(w *world) {
	if len(w.history.promotions) == 0 {
		return
	}
	for _, e := range w.history.promotions[0].Evidence {
		if d, err := time.ParseDuration(e.Value); err == nil {
			r.stages[e.Name] = append(r.stages[e.Name], d)
		}
	}
}

func (r *gapReport) report(b *testing.B) {
	b.ReportMetric(float64(r.gaps.ValueAtQuantile(50))/1000, "gap_p50_ms")
	b.ReportMetric(float64(r.gaps.ValueAtQuantile(99))/1000, "gap_p99_ms")
	b.ReportMetric(float64(r.gaps.Max())/1000, "gap_worst_ms")
	b.ReportMetric(float64(r.inconsistencies), "broken_promises")
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
	product := worldOptions{nodes: 7, callers: 9, thinkTime: 10 * ms, keyedWritesOnly: true, laneOptions: nil}
	baseline := product
	baseline.primaryOnly = true
	baseline.watchOptions = []upstream.Option{upstream.WithFailureDetector(fixedTimeoutDetector), upstream.WithEvidenceTTL(0)}
	for _, k := range []struct {
		name string
		fail func(w *world)
		skip bool
	}{
		{"primary_killed", killPrimary, false},
		{"primary_frozen", freezePrimary, false},
		{"zone_cut_off", isolatePrimary, true},
		{"zone_lost", loseZone, false},
	} {
		for name, o := range map[string]worldOptions{"ours": product, "fixed_timer_primary_only": baseline} {
			b.Run(k.name+"/"+name, func(b *testing.B) {
				for range b.N {
					r := measureFailover(o, k.fail, k.skip)
					r.report(b)
				}
			})
		}
	}
}

// BenchmarkAcknowledgement measures the write latency of each kind of acknowledgement without faults.
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
				k.o.nodes, k.o.callers, k.o.thinkTime, k.o.keyedWritesOnly = 7, 12, 20*ms, true
				w := newWorld(1, k.o)
				w.Run(20 * time.Second)
				ds := w.history.latencies
				slices.Sort(ds)
				b.ReportMetric(float64(ds[len(ds)/2])/1e6, "p50_ms")
				b.ReportMetric(float64(ds[len(ds)*99/100])/1e6, "p99_ms")
				b.ReportMetric(float64(len(ds)), "writes")
				b.ReportMetric(0, "ns/op")
			}
		})
	}
}

// BenchmarkFalsePromotions counts promotions in an hour of message loss and short pauses, in which no primary fails.
func BenchmarkFalsePromotions(b *testing.B) {
	for range b.N {
		w := newWorld(1, worldOptions{nodes: 7, callers: 3, thinkTime: 300 * ms})
		w.Run(2 * time.Second)
		w.lossRate = 0.005
		pauses := 0
		for end := w.Now() + time.Hour; w.Now() < end; pauses++ {
			w.Run(w.Now() + w.randomDuration(500*ms, 5*time.Second))
			if d := w.randomDuration(10*ms, time.Second); pauses%2 == 0 {
				w.leader().pausedUntil = w.Now() + d
			} else {
				w.nodes[w.rng.Intn(len(w.nodes))].pausedUntil = w.Now() + d
			}
		}
		b.ReportMetric(float64(len(w.history.promotions)), "false_promotions/h")
		b.ReportMetric(float64(pauses), "pauses")
		b.ReportMetric(float64(w.steps), "steps")
		b.ReportMetric(0, "ns/op")
	}
}

// BenchmarkReplicaShare measures the share of the reads that accept stale data which replicas serve.
func BenchmarkReplicaShare(b *testing.B) {
	for _, lag := range []time.Duration{20 * ms, 50 * ms, 200 * ms, time.Second} {
		b.Run(lag.String(), func(b *testing.B) {
			for range b.N {
				w := newWorld(1, worldOptions{nodes: 7, callers: 24, readPercent: 90})
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
