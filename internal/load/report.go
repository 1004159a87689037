package load

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/go-echarts/go-echarts/v2/charts"
	"github.com/go-echarts/go-echarts/v2/components"
	"github.com/go-echarts/go-echarts/v2/opts"
)

const (
	maxLatencyMicros  = int64(10 * time.Minute / time.Microsecond)
	significantDigits = 3
)

// Report is what a run found.
type Report struct {
	Scenario       string          `json:"scenario"`
	Label          string          `json:"label"`
	Seed           int64           `json:"seed"`
	ElapsedSeconds float64         `json:"seconds"`
	Streams        []StreamReport  `json:"streams"`
	WrongAnswers   WrongAnswers    `json:"wrong"`
	Servers        json.RawMessage `json:"servers,omitempty"`
}

// StreamReport is what became of a stream's requests; latencies count from when a request was due.
type StreamReport struct {
	Name         string            `json:"name"`
	Long         bool              `json:"long"`
	Arrivals     uint64            `json:"arrivals"`
	Answered     uint64            `json:"answered"`
	Refused      map[string]uint64 `json:"refused"`
	P50MS        float64           `json:"p50_ms"`
	P99MS        float64           `json:"p99_ms"`
	P999MS       float64           `json:"p999_ms"`
	MaxMS        float64           `json:"max_ms"`
	RefusalP99MS float64           `json:"refusal_p99_ms"`
	PerSecond    []SecondStats     `json:"per_second"`
}

// SecondStats is what became of the requests that were due in one second of the run.
type SecondStats struct {
	Arrivals uint64  `json:"arrivals"`
	Answered uint64  `json:"answered"`
	P99MS    float64 `json:"p99_ms"`
}

// WrongAnswers counts answers that were not true; all of them must be zero.
type WrongAnswers struct {
	LostWrites      int `json:"lost"`
	DuplicateWrites int `json:"doubled"`
	FalseRefusals   int `json:"not_run_but_there"`
	StaleReads      int `json:"own_work_not_seen"`
}

// streamStats gathers one stream's answers.
type streamStats struct {
	latency        *hdrhistogram.Histogram
	refusalLatency *hdrhistogram.Histogram
	report         StreamReport
	secondLatency  []*hdrhistogram.Histogram
}

func newStreamStats(s Stream, seconds int) *streamStats {
	t := &streamStats{
		latency: newHistogram(), refusalLatency: newHistogram(),
		report: StreamReport{Name: s.Name, Long: s.Long, Refused: map[string]uint64{}, PerSecond: make([]SecondStats, seconds+1)},
	}
	for range seconds + 1 {
		t.secondLatency = append(t.secondLatency, newHistogram())
	}
	return t
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxLatencyMicros, significantDigits)
}

func (t *streamStats) recordArrival(at time.Duration) {
	t.report.Arrivals++
	t.report.PerSecond[int(at.Seconds())].Arrivals++
}

func (t *streamStats) recordAnswer(at, took time.Duration) {
	t.report.Answered++
	s := int(at.Seconds())
	t.report.PerSecond[s].Answered++
	_ = t.latency.RecordValue(took.Microseconds())
	_ = t.secondLatency[s].RecordValue(took.Microseconds())
}

func (t *streamStats) recordRefusal(code string, took time.Duration) {
	t.report.Refused[code]++
	_ = t.refusalLatency.RecordValue(took.Microseconds())
}

func (t *streamStats) summarize() StreamReport {
	r := t.report
	r.P50MS = quantileMS(t.latency, 50)
	r.P99MS = quantileMS(t.latency, 99)
	r.P999MS = quantileMS(t.latency, 99.9)
	r.MaxMS = float64(t.latency.Max()) / 1000
	r.RefusalP99MS = quantileMS(t.refusalLatency, 99)
	for i, h := range t.secondLatency {
		r.PerSecond[i].P99MS = quantileMS(h, 99)
	}
	return r
}

func quantileMS(h *hdrhistogram.Histogram, q float64) float64 {
	return float64(h.ValueAtQuantile(q)) / 1000
}

// Write puts report.json and report.html into a folder.
func (r Report) Write(dir string) error {
	const folderMode, fileMode = 0o755, 0o644
	if err := os.MkdirAll(dir, folderMode); err != nil {
		return err
	}
	body, err := json.MarshalIndent(r, "", "  ")
	if err != nil {
		return err
	}
	if err := os.WriteFile(filepath.Join(dir, "report.json"), append(body, '\n'), fileMode); err != nil {
		return err
	}
	f, err := os.Create(filepath.Join(dir, "report.html"))
	if err != nil {
		return err
	}
	defer func() { _ = f.Close() }()
	return r.page().Render(f)
}

// page draws requests due and answered, and the latency of each second.
func (r Report) page() *components.Page {
	p := components.NewPage()
	p.PageTitle = r.Scenario + " " + r.Label
	p.AddCharts(
		r.chart("due and answered per second", "requests", func(s StreamReport) map[string][]float64 {
			m := map[string][]float64{}
			for _, v := range s.PerSecond {
				m[s.Name+" due"] = append(m[s.Name+" due"], float64(v.Arrivals))
				m[s.Name+" answered"] = append(m[s.Name+" answered"], float64(v.Answered))
			}
			return m
		}),
		r.chart("p99 by the second in which requests were due", "ms", func(s StreamReport) map[string][]float64 {
			m := map[string][]float64{}
			for _, v := range s.PerSecond {
				m[s.Name] = append(m[s.Name], v.P99MS)
			}
			return m
		}),
	)
	return p
}

func (r Report) chart(title, unit string, lines func(s StreamReport) map[string][]float64) *charts.Line {
	c := charts.NewLine()
	c.SetGlobalOptions(charts.WithTitleOpts(opts.Title{Title: title, Subtitle: r.Scenario + " " + r.Label}),
		charts.WithYAxisOpts(opts.YAxis{Name: unit}), charts.WithLegendOpts(opts.Legend{Top: "bottom"}))
	var axis []int
	for i := range int(r.ElapsedSeconds) + 1 {
		axis = append(axis, i)
	}
	c.SetXAxis(axis)
	for _, s := range r.Streams {
		ls := lines(s)
		var names []string
		for n := range ls {
			names = append(names, n)
		}
		slices.Sort(names)
		for _, n := range names {
			var data []opts.LineData
			for _, v := range ls[n] {
				data = append(data, opts.LineData{Value: v})
			}
			c.AddSeries(n, data)
		}
	}
	return c
}

// ReadReport reads a report that Write has written.
func ReadReport(dir string) (Report, error) {
	var r Report
	body, err := os.ReadFile(filepath.Join(dir, "report.json"))
	if err != nil {
		return r, err
	}
	return r, json.Unmarshal(body, &r)
}

// PrintReports writes reports side by side, a line per stream and report.
func PrintReports(out io.Writer, rs ...Report) error {
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, "stream\trun\tdue\tanswered\trefused\tp50 ms\tp99 ms\tp99.9 ms\tmax ms\trefusal p99 ms\tcodes")
	for i := range rs[0].Streams {
		for _, r := range rs {
			if i < len(r.Streams) {
				printStream(w, r.Label, r.Streams[i])
			}
		}
	}
	for _, r := range rs {
		_, _ = fmt.Fprintf(w, "wrong answers\t%s\tlost %d\tdoubled %d\tnot run but there %d\town work not seen %d\n", r.Label,
			r.WrongAnswers.LostWrites, r.WrongAnswers.DuplicateWrites, r.WrongAnswers.FalseRefusals, r.WrongAnswers.StaleReads)
	}
	return w.Flush()
}

func printStream(w io.Writer, label string, s StreamReport) {
	var codes []string
	refused := uint64(0)
	for k, n := range s.Refused {
		codes = append(codes, fmt.Sprintf("%s:%d", k, n))
		refused += n
	}
	slices.Sort(codes)
	_, _ = fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%d\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f\t%s\n", s.Name, label, s.Arrivals, s.Answered, refused,
		s.P50MS, s.P99MS, s.P999MS, s.MaxMS, s.RefusalP99MS, strings.Join(codes, " "))
}
