package settings

import (
	"fmt"
	"net/netip"

	"buckthornport.example/buckthornport/internal/jsonc"
	"buckthornport.example/buckthornport/internal/metrics"
	"buckthornport.example/buckthornport/pkg/bundle"
)

// FleetNode is what a proxy on the users' platform needs to know before it can ask anyone else.
type FleetNode struct {
	Node   string       `json:"node"`
	Zone   string       `json:"zone"`
	Zones  bundle.Zones `json:"zones"`
	Listen string       `json:"listen"`
	// Ready is where the platform asks whether the node takes new connections, Peer where other nodes reach it.
	Ready  string   `json:"ready"`
	Peer   string   `json:"peer"`
	Seeds  []string `json:"seeds"`
	Status string   `json:"status"`
	// Store is the platform's metadata store, Orders where it takes orders to promote.
	Store   string `json:"store"`
	Orders  string `json:"orders"`
	GraceMS int    `json:"grace_ms"`
	// Cores is the share of a processor that the node has, by which work for others is given out.
	Cores    float64 `json:"cores"`
	LogLevel string  `json:"log_level"`
}

// DefaultGraceMS is how long a node on the platform has from SIGTERM to its end.
const DefaultGraceMS = 6000

// DefaultCores is the share of a processor that a node is taken to have.
const DefaultCores = 1

// ParseFleetNode reads the settings of a proxy on the platform; its error is a jsonc.Mistakes.
func ParseFleetNode(file string, source []byte) (FleetNode, error) {
	f := FleetNode{GraceMS: DefaultGraceMS, LogLevel: DefaultLogLevel, Cores: DefaultCores}
	t := jsonc.Decode(file, source, &f)
	for path, v := range map[string]string{"node": f.Node, "zone": f.Zone} {
		if v == "" {
			t.Mistake(path, "is missing", "want a name")
		}
	}
	for path, v := range map[string]string{
		"listen": f.Listen, "ready": f.Ready, "store": f.Store, "orders": f.Orders, "peer": f.Peer,
	} {
		checkAddress(t, path, v, path != "orders")
	}
	checkAddress(t, "status", f.Status, false)
	for i, v := range f.Seeds {
		checkAddress(t, fmt.Sprintf("seeds[%d]", i), v, true)
	}
	checkChoice(t, "log_level", f.LogLevel, logLevels)
	if f.Cores <= 0 {
		t.Mistake("cores", "is no share of a processor", "want a number above zero")
	}
	if f.GraceMS < 1 {
		t.Mistake("grace_ms", "leaves no time", "want a number of milliseconds above zero")
	}
	return f, t.Err()
}

func checkAddress(t *jsonc.Text, path, value string, needed bool) {
	if value == "" && !needed {
		return
	}
	if _, err := netip.ParseAddrPort(value); err != nil {
		t.Mistake(path, fmt.Sprintf("%q is no address", value), "want IP:PORT, for example 127.0.0.1:6432")
	}
}

// CPUWeight is the node's share of a processor in thousandths.
func (f FleetNode) CPUWeight() uint32 {
	return uint32(max(1, f.Cores*1000))
}

// Distance is how far a zone is from the node's own.
func (f FleetNode) Distance(zone string) metrics.Distance {
	return metrics.Between(f.Zone, f.Zones.Region(f.Zone), zone, f.Zones.Region(zone))
}

// DistanceRank is the distance to a zone as a number: zero for the node's own, one for its region, two for others.
func (f FleetNode) DistanceRank(zone string) int {
	return int(f.Distance(zone))
}
