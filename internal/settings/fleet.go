package settings

import (
	"fmt"
	"net/netip"
	"time"

	"buckthornport.example/buckthornport/internal/jsonc"
	"buckthornport.example/buckthornport/internal/metrics"
	"buckthornport.example/buckthornport/pkg/bundle"
)

// FleetNode holds the settings that a node on the users' platform needs before it can contact any other process. All addresses are
// IP:PORT.
type FleetNode struct {
	Node   string       `json:"node"`
	Zone   string       `json:"zone"`
	Zones  bundle.Zones `json:"zones"`
	Listen string       `json:"listen"`
	// Ready is the address of the readiness endpoint, which the platform asks whether the node takes new connections. Peer is
	// the address for other nodes, and Seeds are the peer addresses of nodes that a new node contacts first.
	Ready  string   `json:"ready"`
	Peer   string   `json:"peer"`
	Seeds  []string `json:"seeds"`
	Status string   `json:"status"`
	// Store is the address of the platform's metadata store, and Orders the address of its promotion orders, which may be empty.
	Store  string `json:"store"`
	Orders string `json:"orders"`
	// GraceMS is the time in milliseconds that a draining node has before it must stop, possibly with a fraction.
	GraceMS float64 `json:"grace_ms"`
	// Cores is the number of processor cores that the node may use, possibly a fraction of one. Nodes with more cores take more
	// of the work for other nodes.
	Cores    float64 `json:"cores"`
	LogLevel string  `json:"log_level"`
	// RateWindowMS, RateTolerance and RateSlack bound what a tenant may run beyond its limit when nodes or links fail: in any window
	// of RateWindowMS milliseconds, RateTolerance times what the limit allows and RateSlack operations more.
	RateWindowMS  float64 `json:"rate_window_ms"`
	RateTolerance float64 `json:"rate_tolerance"`
	RateSlack     float64 `json:"rate_slack"`
	// MemoryMB and MaxFDs bound what callers can make the process use.
	MemoryMB int `json:"memory_mb"`
	MaxFDs   int `json:"max_fds"`
}

// DefaultGraceMS is the time in milliseconds from SIGTERM to the end of a node on the platform.
const DefaultGraceMS = 6000

// DefaultCores is the number of processor cores that a node is assumed to have.
const DefaultCores = 1

// The defaults of the tolerance around the limits of tenants.
const (
	DefaultRateWindowMS  = 5000
	DefaultRateTolerance = 0.1
	DefaultRateSlack     = 20
)

// The bounds of the tolerance around the limits of tenants. Credit lasts for 0.6 of the tolerated time, which must be long enough
// for an answer from another region.
const (
	maxRateWindowMS    = 600_000
	minToleratedTimeMS = 100
)

// ParseFleetNode parses and validates the settings of a node on the platform. Its error is a jsonc.ErrorList.
func ParseFleetNode(file string, source []byte) (FleetNode, error) {
	f := FleetNode{
		GraceMS: DefaultGraceMS, LogLevel: DefaultLogLevel, Cores: DefaultCores, RateWindowMS: DefaultRateWindowMS,
		RateTolerance: DefaultRateTolerance, RateSlack: DefaultRateSlack,
	}
	d := jsonc.Decode(file, source, &f)
	for path, v := range map[string]string{"node": f.Node, "zone": f.Zone} {
		if v == "" {
			d.AddError(path, "is missing", "want a name")
		}
	}
	for path, v := range map[string]string{
		"listen": f.Listen, "ready": f.Ready, "store": f.Store, "orders": f.Orders, "peer": f.Peer,
	} {
		checkAddress(d, path, v, path != "orders")
	}
	checkAddress(d, "status", f.Status, false)
	for i, v := range f.Seeds {
		checkAddress(d, fmt.Sprintf("seeds[%d]", i), v, true)
	}
	checkChoice(d, "log_level", f.LogLevel, logLevels)
	checkResources(d, f.MemoryMB, f.MaxFDs)
	if f.Cores <= 0 {
		d.AddError("cores", "is not a positive number", "want a number of processor cores above zero")
	}
	if f.GraceMS <= 0 {
		d.AddError("grace_ms", "is not a positive number", "want a number of milliseconds above zero")
	}
	f.checkRates(d)
	return f, d.Err()
}

// checkRates checks the tolerance around the limits of tenants.
func (f FleetNode) checkRates(d *jsonc.Document) {
	if f.RateWindowMS <= 0 || f.RateWindowMS > maxRateWindowMS {
		d.AddError("rate_window_ms", "is out of range",
			fmt.Sprintf("want a number of milliseconds above zero, at most %d", maxRateWindowMS))
	}
	switch {
	case f.RateTolerance <= 0 || f.RateTolerance > 1:
		d.AddError("rate_tolerance", "is out of range", "want a number above zero, at most 1")
	case f.RateTolerance*f.RateWindowMS < minToleratedTimeMS:
		d.AddError("rate_tolerance", "is too small for the window",
			fmt.Sprintf("want a number that is at least %d when multiplied by rate_window_ms", minToleratedTimeMS))
	}
	if f.RateSlack < 0 {
		d.AddError("rate_slack", "is negative", "want a number of operations")
	}
}

func checkAddress(d *jsonc.Document, path, value string, required bool) {
	if value == "" && !required {
		return
	}
	if _, err := netip.ParseAddrPort(value); err != nil {
		d.AddError(path, fmt.Sprintf("%q is not an address", value), "want IP:PORT, for example 127.0.0.1:6432")
	}
}

// Grace returns the time that a draining node has before it must stop.
func (f FleetNode) Grace() time.Duration {
	return time.Duration(f.GraceMS * float64(time.Millisecond))
}

// CPUWeight returns the node's cores in thousandths, and at least 1.
func (f FleetNode) CPUWeight() uint32 {
	return uint32(max(1, f.Cores*1000))
}

// Distance returns how far a zone is from the node's zone.
func (f FleetNode) Distance(zone string) metrics.Distance {
	return metrics.DistanceBetween(f.Zone, f.Zones.Region(f.Zone), zone, f.Zones.Region(zone))
}

// DistanceRank returns the distance of a zone as a number: 0 for the node's zone, 1 for its region and 2 for another region.
func (f FleetNode) DistanceRank(zone string) int {
	return int(f.Distance(zone))
}
