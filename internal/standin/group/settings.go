package group

import (
	"fmt"
	"net/netip"

	"buckthornport.example/buckthornport/internal/jsonc"
)

// Settings describe a group's stand-in.
type Settings struct {
	Name           string           `json:"name"`
	Servers        []ServerSettings `json:"servers"`
	Admin          string           `json:"admin"`
	Connections    int              `json:"connections"`
	SlotsPerServer int              `json:"slots_per_server"`
	ConnectMS      int              `json:"connect_ms"`
	ServiceUS      int              `json:"service_us"`
	ReceiveMS      int              `json:"receive_ms"`
	LagMS          int              `json:"lag_ms"`
	Engine         string           `json:"engine"`
}

// ServerSettings name one server; the first server starts as primary.
type ServerSettings struct {
	Name    string `json:"name"`
	Address string `json:"address"`
}

// Engines that a stand-in can run on.
const (
	EngineSQLite = "sqlite"
	EngineNull   = "null"
)

// ParseSettings reads settings from JSON with comments.
func ParseSettings(file string, source []byte) (Settings, error) {
	s := Settings{Connections: 30, SlotsPerServer: 5, ConnectMS: 10, ReceiveMS: 1, LagMS: 50, Engine: EngineSQLite}
	t := jsonc.Decode(file, source, &s)
	if s.Name == "" {
		t.AddError("name", "is missing", "want the database's name")
	}
	if len(s.Servers) != 3 {
		t.AddError("servers", fmt.Sprintf("%d servers", len(s.Servers)), "want 3")
	}
	for i, v := range s.Servers {
		if _, err := netip.ParseAddrPort(v.Address); err != nil {
			t.AddError(fmt.Sprintf("servers[%d].address", i), fmt.Sprintf("%q is no address", v.Address), "want IP:PORT")
		}
	}
	if _, err := netip.ParseAddrPort(s.Admin); s.Admin != "" && err != nil {
		t.AddError("admin", fmt.Sprintf("%q is no address", s.Admin), "want IP:PORT, or leave it out")
	}
	if s.Engine != EngineSQLite && s.Engine != EngineNull {
		t.AddError("engine", fmt.Sprintf("%q is unknown", s.Engine), `want "sqlite" or "null"`)
	}
	return s, t.Err()
}
