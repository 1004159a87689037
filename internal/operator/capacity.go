package operator

import (
	"encoding/json"
	"fmt"
	"math"
	"strings"
)

// Series is one measured quantity at several sizes; Unit is that of the values, Per names the size.
type Series struct {
	Name    string    `json:"name"`
	Unit    string    `json:"unit"`
	Per     string    `json:"per"`
	Command string    `json:"command"`
	Sizes   []float64 `json:"sizes"`
	Values  []float64 `json:"values"`
}

// CapacityData is the data file behind the capacity page.
type CapacityData struct {
	Provenance string   `json:"measured"`
	Series     []Series `json:"slopes"`
}

// ParseCapacityData reads the data file.
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

// At returns the value at a size: between measured sizes by interpolation, beyond them by the line, but never less than the
// largest measured value where the line falls.
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

// named returns the slope of that name; a missing one is a mistake in the data file and gives an empty slope.
func (s CapacityData) named(name string) Series {
	for _, o := range s.Series {
		if o.Name == name {
			return o
		}
	}
	return Series{Name: name, Sizes: []float64{1}, Values: []float64{0}}
}

// DeploymentSize is a size of deployment that the page speaks of.
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

// DeploymentSizes are today's and that of two years from now; changes and failovers count per day.
func DeploymentSizes() []DeploymentSize {
	return []DeploymentSize{
		{
			Name: "today", Nodes: 7, Groups: 3, Connections: 7_000, StatementsPerSecond: 7_000, ChangesPerDay: 20,
			FailoversPerDay: 0.1, WatchersPerGroup: 7, ServersPerGroup: 3,
		},
		{
			Name: "two years", Nodes: 3_400, Groups: 4_500, Connections: 23_000_000, StatementsPerSecond: 13_000_000, ChangesPerDay: 12_000,
			FailoversPerDay: 4, WatchersPerGroup: 8, ServersPerGroup: 3,
		},
	}
}

const (
	secondsPerDay = 86_400
	mebibyte      = 1 << 20
	microsPerCore = 1e6
)

// line is one row of the capacity table.
type line struct {
	role, quantity, unit string
	limit                string
	at                   func(z DeploymentSize) float64
}

func (s CapacityData) lines() []line {
	watched := func(z DeploymentSize) float64 { return z.Groups * z.WatchersPerGroup / z.Nodes }
	return []line{
		{"member", "control messages sent", "per s", "", func(z DeploymentSize) float64 { return s.named("peer_messages").At(z.Nodes) }},
		{"member", "control bytes sent", "B/s", "8192", func(z DeploymentSize) float64 { return s.named("peer_bytes").At(z.Nodes) }},
		{"member", "processor", "% of a core", "4", func(z DeploymentSize) float64 {
			return 100 * s.named("peer_cpu").At(z.Nodes) / microsPerCore
		}},
		{"member", "memory", "MiB", "32", func(z DeploymentSize) float64 { return s.named("peer_heap").At(z.Nodes) / mebibyte }},
		{"watcher", "groups watched by duty", "groups", "", watched},
		{"watcher", "probes sent", "per s", "", func(z DeploymentSize) float64 { return s.named("watch_probes").At(watched(z)) }},
		{"watcher", "processor", "% of a core", "4", func(z DeploymentSize) float64 {
			return 100 * s.named("watch_cpu").At(watched(z)) / microsPerCore
		}},
		{"watcher", "memory for all groups of the bundle", "MiB", "32", func(z DeploymentSize) float64 {
			return s.named("watch_heap").At(z.Groups) / mebibyte
		}},
		{"promoter", "promotions of the fleet", "per day", "", func(z DeploymentSize) float64 { return z.FailoversPerDay }},
		{"caller front", "connections per node", "connections", "", func(z DeploymentSize) float64 { return z.Connections / z.Nodes }},
		{"caller front", "memory", "MiB", "", func(z DeploymentSize) float64 {
			return s.named("idle_connection").At(z.Connections/z.Nodes) / mebibyte
		}},
		{"caller front", "statements per node", "per s", "", func(z DeploymentSize) float64 { return z.StatementsPerSecond / z.Nodes }},
		{"slot holder", "lane decisions", "% of a core", "", func(z DeploymentSize) float64 {
			return 100 * s.named("lane_cpu").At(z.StatementsPerSecond/z.Nodes) / microsPerCore
		}},
		{"bundle spreader", "bundle size", "kB", "", func(z DeploymentSize) float64 {
			return s.named("bundle_bytes").At(z.Groups) / 1000
		}},
		{"bundle spreader", "whole bundles received", "B/s", "8192", func(z DeploymentSize) float64 {
			return s.named("bundle_bytes").At(z.Groups) * z.ChangesPerDay / secondsPerDay
		}},
		{"bundle spreader", "check of one bundle", "ms", "", func(z DeploymentSize) float64 {
			return s.named("bundle_cpu").At(z.Groups) / 1000
		}},
		{"bundle spreader", "time to be in force everywhere", "ms", "3000", func(z DeploymentSize) float64 {
			return s.named("bundle_spread").At(math.Log2(z.Nodes))
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

// CapacityTable returns the page's tables as Markdown: the slopes with their fits, and each role at each size.
func (s CapacityData) CapacityTable() string {
	var b strings.Builder
	b.WriteString("| slope | unit | per | measured at | values | fit |\n|---|---|---|---|---|---|\n")
	for _, o := range s.Series {
		base, slope := o.Fit()
		fmt.Fprintf(&b, "| %s | %s | %s | %s | %s | %.4g + %.4g × size |\n", o.Name, o.Unit, o.Per, numbers(o.Sizes),
			numbers(o.Values), base, slope)
	}
	b.WriteString("\n| role | quantity | unit |")
	for _, z := range DeploymentSizes() {
		fmt.Fprintf(&b, " %s |", z.Name)
	}
	b.WriteString(" allowed |\n|---|---|---|---|---|---|\n")
	for _, l := range s.lines() {
		fmt.Fprintf(&b, "| %s | %s | %s |", l.role, l.quantity, l.unit)
		for _, z := range DeploymentSizes() {
			fmt.Fprintf(&b, " %.4g |", l.at(z))
		}
		fmt.Fprintf(&b, " %s |\n", l.limit)
	}
	return b.String()
}

func numbers(xs []float64) string {
	ss := make([]string, 0, len(xs))
	for _, x := range xs {
		ss = append(ss, fmt.Sprintf("%.4g", x))
	}
	return strings.Join(ss, ", ")
}
