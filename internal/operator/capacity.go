package operator

import (
	"encoding/json"
	"fmt"
	"math"
	"strings"
)

// Series is one quantity measured at several sizes. Unit is the unit of Values, Per says what Sizes count, and Command is the
// command that measured it.
type Series struct {
	Name    string    `json:"name"`
	Unit    string    `json:"unit"`
	Per     string    `json:"per"`
	Command string    `json:"command"`
	Sizes   []float64 `json:"sizes"`
	Values  []float64 `json:"values"`
}

// CapacityData is the content of the data file from which the capacity tables are computed. Provenance names the date, machine
// and Go version of the measurement.
type CapacityData struct {
	Provenance string   `json:"measured"`
	Series     []Series `json:"slopes"`
}

// ParseCapacityData decodes the JSON data file.
func ParseCapacityData(b []byte) (CapacityData, error) {
	var s CapacityData
	return s, json.Unmarshal(b, &s)
}

// Fit returns the least-squares line through the measured points, value = base + slope × size.
func (s Series) Fit() (base, slope float64) {
	n := float64(len(s.Sizes))
	var sx, sy, sxx, sxy float64
	for i, x := range s.Sizes {
		y := s.Values[i]
		sx += x
		sy += y
		sxx += x * x
		sxy += x * y
	}
	d := n*sxx - sx*sx
	if n == 0 || d == 0 {
		return sy / max(n, 1), 0
	}
	slope = (n*sxy - sx*sy) / d
	return (sy - slope*sx) / n, slope
}

// At returns the value at a size. Below the smallest measured size it scales that size's value proportionally, and between
// measured sizes it interpolates. Beyond the largest one it extrapolates along the fitted line, but returns at least the
// largest size's value.
func (s Series) At(size float64) float64 {
	last := len(s.Sizes) - 1
	if size <= s.Sizes[0] {
		return s.Values[0] * size / s.Sizes[0]
	}
	for i := range last {
		if size <= s.Sizes[i+1] {
			part := (size - s.Sizes[i]) / (s.Sizes[i+1] - s.Sizes[i])
			return s.Values[i] + part*(s.Values[i+1]-s.Values[i])
		}
	}
	base, slope := s.Fit()
	return max(s.Values[last], base+slope*size)
}

// seriesNamed returns the series of a name. If the data file lacks it, it returns a series that is zero at every size.
func (s CapacityData) seriesNamed(name string) Series {
	for _, o := range s.Series {
		if o.Name == name {
			return o
		}
	}
	return Series{Name: name, Sizes: []float64{1}, Values: []float64{0}}
}

// DeploymentSize is a size of the whole deployment for which the capacity tables are computed.
type DeploymentSize struct {
	Name                string
	Nodes               float64
	Groups              float64
	Connections         float64
	StatementsPerSecond float64
	ChangesPerDay       float64
	FailoversPerDay     float64
	WatchersPerGroup    float64
	ServersPerGroup     float64
}

// DeploymentSizes returns the size of today and the size expected in two years.
func DeploymentSizes() []DeploymentSize {
	return []DeploymentSize{
		{
			Name: "today", Nodes: 7, Groups: 3, Connections: 7_000, StatementsPerSecond: 7_000, ChangesPerDay: 20,
			FailoversPerDay: 0.1, WatchersPerGroup: 7, ServersPerGroup: 3,
		},
		{
			Name: "two years", Nodes: 3_400, Groups: 4_500, Connections: 23_000_000, StatementsPerSecond: 13_000_000,
			ChangesPerDay: 12_000, FailoversPerDay: 4, WatchersPerGroup: 8, ServersPerGroup: 3,
		},
	}
}

const (
	secondsPerDay = 86_400
	mebibyte      = 1 << 20
	microsPerCore = 1e6
)

// tableRow is one row of the capacity table; limit is the allowed value, if there is one.
type tableRow struct {
	role, quantity, unit string
	limit                string
	value                func(z DeploymentSize) float64
}

func (s CapacityData) tableRows() []tableRow {
	groupsWatched := func(z DeploymentSize) float64 { return z.Groups * z.WatchersPerGroup / z.Nodes }
	return []tableRow{
		{"member", "control messages sent", "per s", "", func(z DeploymentSize) float64 {
			return s.seriesNamed("peer_messages").At(z.Nodes)
		}},
		{"member", "control bytes sent", "B/s", "8192", func(z DeploymentSize) float64 {
			return s.seriesNamed("peer_bytes").At(z.Nodes)
		}},
		{"member", "processor", "% of a core", "4", func(z DeploymentSize) float64 {
			return 100 * s.seriesNamed("peer_cpu").At(z.Nodes) / microsPerCore
		}},
		{"member", "memory", "MiB", "32", func(z DeploymentSize) float64 { return s.seriesNamed("peer_heap").At(z.Nodes) / mebibyte }},
		{"watcher", "groups watched by duty", "groups", "", groupsWatched},
		{"watcher", "probes sent", "per s", "", func(z DeploymentSize) float64 {
			return s.seriesNamed("watch_probes").At(groupsWatched(z))
		}},
		{"watcher", "processor", "% of a core", "4", func(z DeploymentSize) float64 {
			return 100 * s.seriesNamed("watch_cpu").At(groupsWatched(z)) / microsPerCore
		}},
		{"watcher", "memory for all groups of the bundle", "MiB", "32", func(z DeploymentSize) float64 {
			return s.seriesNamed("watch_heap").At(z.Groups) / mebibyte
		}},
		{"promoter", "promotions of the fleet", "per day", "", func(z DeploymentSize) float64 { return z.FailoversPerDay }},
		{"caller front", "connections per node", "connections", "", func(z DeploymentSize) float64 { return z.Connections / z.Nodes }},
		{"caller front", "memory", "MiB", "", func(z DeploymentSize) float64 {
			return s.seriesNamed("idle_connection").At(z.Connections/z.Nodes) / mebibyte
		}},
		{"caller front", "statements per node", "per s", "", func(z DeploymentSize) float64 { return z.StatementsPerSecond / z.Nodes }},
		{"slot holder", "lane decisions", "% of a core", "", func(z DeploymentSize) float64 {
			return 100 * s.seriesNamed("lane_cpu").At(z.StatementsPerSecond/z.Nodes) / microsPerCore
		}},
		{"bundle spreader", "bundle size", "kB", "", func(z DeploymentSize) float64 {
			return s.seriesNamed("bundle_bytes").At(z.Groups) / 1000
		}},
		{"bundle spreader", "whole bundles received", "B/s", "8192", func(z DeploymentSize) float64 {
			return s.seriesNamed("bundle_bytes").At(z.Groups) * z.ChangesPerDay / secondsPerDay
		}},
		{"bundle spreader", "check of one bundle", "ms", "", func(z DeploymentSize) float64 {
			return s.seriesNamed("bundle_cpu").At(z.Groups) / 1000
		}},
		{"bundle spreader", "time to be in force everywhere", "ms", "3000", func(z DeploymentSize) float64 {
			return s.seriesNamed("bundle_spread").At(math.Log2(z.Nodes))
		}},
		{"audit writer", "objects written by the fleet", "per s", "300", func(z DeploymentSize) float64 {
			interval := max(2, z.Nodes*0.02)
			return z.Nodes * min(1/interval, z.ChangesPerDay/secondsPerDay)
		}},
		{"audit writer", "objects with a fixed interval of 2 s", "per s", "300", func(z DeploymentSize) float64 {
			return z.Nodes * min(0.5, z.ChangesPerDay/secondsPerDay)
		}},
		{"poller", "reads of the platform by the fleet", "per s", "2000", func(z DeploymentSize) float64 { return min(6, z.Nodes) * 2 }},
		{"poller", "reads if every node polled", "per s", "2000", func(z DeploymentSize) float64 { return z.Nodes * 2 }},
	}
}

// CapacityTable returns the capacity page's tables as Markdown: the series with their fits, and the load of each role at each
// deployment size.
func (s CapacityData) CapacityTable() string {
	var b strings.Builder
	b.WriteString("| slope | unit | per | measured at | values | fit |\n|---|---|---|---|---|---|\n")
	for _, o := range s.Series {
		base, slope := o.Fit()
		fmt.Fprintf(&b, "| %s | %s | %s | %s | %s | %.4g + %.4g × size |\n", o.Name, o.Unit, o.Per, formatNumbers(o.Sizes),
			formatNumbers(o.Values), base, slope)
	}
	b.WriteString("\n| role | quantity | unit |")
	for _, z := range DeploymentSizes() {
		fmt.Fprintf(&b, " %s |", z.Name)
	}
	b.WriteString(" allowed |\n|---|---|---|---|---|---|\n")
	for _, l := range s.tableRows() {
		fmt.Fprintf(&b, "| %s | %s | %s |", l.role, l.quantity, l.unit)
		for _, z := range DeploymentSizes() {
			fmt.Fprintf(&b, " %.4g |", l.value(z))
		}
		fmt.Fprintf(&b, " %s |\n", l.limit)
	}
	return b.String()
}

func formatNumbers(xs []float64) string {
	ss := make([]string, 0, len(xs))
	for _, x := range xs {
		ss = append(ss, fmt.Sprintf("%.4g", x))
	}
	return strings.Join(ss, ", ")
}
