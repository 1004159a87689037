package group

import (
	"fmt"
	"net/netip"

	"buckthornport.example/buckthornport/internal/jsonc"
)

// Settings configure the stand-in for a group.
type Settings struct {
	Name           string           `json:"name"`
	Servers        []ServerSettings `json:"servers"`
	Admin          string           `json:"admin"`
	Connections    int              `json:"connections"`
	SlotsPerServer int              `json:"slots_per_server"`
	// ConnectMS is how long the server takes to accept a connection, except one of the control user.
	ConnectMS int `json:"connect_ms"`
	// ServiceUS is the time that each statement takes, in microseconds.
	ServiceUS int `json:"service_us"`
	// ReceiveMS is the network delay of replication.
	ReceiveMS int `json:"receive_ms"`
	// LagMS is the delay before a replica applies received entries.
	LagMS  int    `json:"lag_ms"`
	Engine string `json:"engine"`
}

// ServerSettings configure one server. The first server of a group starts as the primary.
type ServerSettings struct {
	Name    string `json:"name"`
	Address string `json:"address"`
}

// The engines of a stand-in. EngineNull runs no statements and answers each with one fixed row.
const (
	EngineSQLite = "sqlite"
	EngineNull   = "null"
)

// ParseSettings parses and validates settings, which are JSON with comments. Its error is a jsonc.ErrorList.
func ParseSettings(file string, source []byte) (Settings, error) {
	s := Settings{Connections: 30, SlotsPerServer: 5, ConnectMS: 10, ReceiveMS: 1, LagMS: 50, Engine: EngineSQLite}
	d := jsonc.Decode(file, source, &s)
	if s.Name == "" {
		d.AddError("name", "is missing", "want the name of the database")
	}
	if len(s.Servers) != 3 {
		d.AddError("servers", fmt.Sprintf("lists %d servers", len(s.Servers)), "want 3")
	}
	for i, v := range s.Servers {
		if _, err := netip.ParseAddrPort(v.Address); err != nil {
			d.AddError(fmt.Sprintf("servers[%d].address", i), fmt.Sprintf("%q is not an address", v.Address), "want IP:PORT")
		}
	}
	if _, err := netip.ParseAddrPort(s.Admin); s.Admin != "" && err != nil {
		d.AddError("admin", fmt.Sprintf("%q is not an address", s.Admin), "want IP:PORT, or leave it out")
	}
	if s.Engine != EngineSQLite && s.Engine != EngineNull {
		d.AddError("engine", fmt.Sprintf("%q is unknown", s.Engine), `want "sqlite" or "null"`)
	}
	return s, d.Err()
}
