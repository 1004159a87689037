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
	// maxLatencyMicros is the largest latency that a histogram can record, in microseconds.
	maxLatencyMicros = int64(10 * time.Minute / time.Microsecond)
	// significantDigits is the precision of a histogram in decimal digits.
	significantDigits = 3
)

// Report is the result of a run. Servers is the report of the group stand-in.
type Report struct {
	Scenario       string          `json:"scenario"`
	Label          string          `json:"label"`
	Seed           int64           `json:"seed"`
	ElapsedSeconds float64         `json:"seconds"`
	Streams        []StreamReport  `json:"streams"`
	WrongAnswers   WrongAnswers    `json:"wrong"`
	Servers        json.RawMessage `json:"servers,omitempty"`
}

// StreamReport is the result of one stream. Latencies count from the time at which a request was due. Refused counts failed
// requests by SQLSTATE; the key "connection" stands for requests that failed without one.
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

// SecondStats counts the requests that were due in one second of the run, and those of them that were answered.
type SecondStats struct {
	Arrivals uint64  `json:"arrivals"`
	Answered uint64  `json:"answered"`
	P99MS    float64 `json:"p99_ms"`
}

// WrongAnswers counts violations of the guarantees that callers rely on. All counts must be zero.
type WrongAnswers struct {
	// LostWrites counts writes that were acknowledged but are not stored.
	LostWrites int `json:"lost"`
	// DuplicateWrites counts writes that are stored more than once.
	DuplicateWrites int `json:"doubled"`
	// FalseRefusals counts writes that were answered as not run but are stored.
	FalseRefusals int `json:"not_run_but_there"`
	// MissedOwnWrites counts reads that did not find a write that their session made before.
	MissedOwnWrites int `json:"own_work_not_seen"`
}

// streamStats collects the results of one stream while it runs. secondLatency has one histogram per second of the run.
type streamStats struct {
	latency        *hdrhistogram.Histogram
	refusalLatency *hdrhistogram.Histogram
	report         StreamReport
	secondLatency  []*hdrhistogram.Histogram
}

func newStreamStats(s Stream, seconds int) *streamStats {
	st := &streamStats{
		latency: newHistogram(), refusalLatency: newHistogram(),
		report: StreamReport{Name: s.Name, Long: s.Long, Refused: map[string]uint64{}, PerSecond: make([]SecondStats, seconds+1)},
	}
	for range seconds + 1 {
		st.secondLatency = append(st.secondLatency, newHistogram())
	}
	return st
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxLatencyMicros, significantDigits)
}

func (st *streamStats) recordArrival(at time.Duration) {
	st.report.Arrivals++
	st.report.PerSecond[int(at.Seconds())].Arrivals++
}

func (st *streamStats) recordAnswer(at, elapsed time.Duration) {
	st.report.Answered++
	second := int(at.Seconds())
	st.report.PerSecond[second].Answered++
	_ = st.latency.RecordValue(elapsed.Microseconds())
	_ = st.secondLatency[second].RecordValue(elapsed.Microseconds())
}

func (st *streamStats) recordRefusal(code string, elapsed time.Duration) {
	st.report.Refused[code]++
	_ = st.refusalLatency.RecordValue(elapsed.Microseconds())
}

func (st *streamStats) summarize() StreamReport {
	r := st.report
	r.P50MS = percentileMS(st.latency, 50)
	r.P99MS = percentileMS(st.latency, 99)
	r.P999MS = percentileMS(st.latency, 99.9)
	r.MaxMS = float64(st.latency.Max()) / 1000
	r.RefusalP99MS = percentileMS(st.refusalLatency, 99)
	for i, h := range st.secondLatency {
		r.PerSecond[i].P99MS = percentileMS(h, 99)
	}
	return r
}

// percentileMS returns a percentile of a histogram of microseconds, in milliseconds.
func percentileMS(h *hdrhistogram.Histogram, percentile float64) float64 {
	return float64(h.ValueAtQuantile(percentile)) / 1000
}

// Write writes report.json and report.html into a directory, which it creates if necessary.
func (r Report) Write(dir string) error {
	const dirMode, fileMode = 0o755, 0o644
	if err := os.MkdirAll(dir, dirMode); err != nil {
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

// page returns the charts of requests due and answered per second and of the latency in each second.
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

// chart returns a line chart over the seconds of the run. lines returns the named lines of a stream.
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
		byName := lines(s)
		var names []string
		for n := range byName {
			names = append(names, n)
		}
		slices.Sort(names)
		for _, n := range names {
			var data []opts.LineData
			for _, v := range byName[n] {
				data = append(data, opts.LineData{Value: v})
			}
			c.AddSeries(n, data)
		}
	}
	return c
}

// ReadReport reads the report.json of a directory that Write has written.
func ReadReport(dir string) (Report, error) {
	var r Report
	body, err := os.ReadFile(filepath.Join(dir, "report.json"))
	if err != nil {
		return r, err
	}
	return r, json.Unmarshal(body, &r)
}

// PrintReports writes a table of reports with one line per stream and report. The lines of the same stream are adjacent.
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
		_, _ = fmt.Fprintf(w, "wrong answers\t%s\tlost writes %d\tduplicate writes %d\tfalse refusals %d\town writes not seen %d\n",
			r.Label, r.WrongAnswers.LostWrites, r.WrongAnswers.DuplicateWrites, r.WrongAnswers.FalseRefusals,
			r.WrongAnswers.MissedOwnWrites)
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
