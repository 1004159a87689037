package group

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"buckthornport.example/buckthornport/internal/upstream"
)

// ServerReport describes one server: its answer to a probe, and counts since the stand-in started.
type ServerReport struct {
	Name    string          `json:"name"`
	Alive   bool            `json:"alive"`
	Status  upstream.Status `json:"status"`
	Queries int64           `json:"queries"`
	// PeakRunning is the largest number of statements that ran at the same time.
	PeakRunning int64 `json:"peak_running"`
	// SlotsExceeded is the number of statements that were refused because no slot was free.
	SlotsExceeded int64 `json:"slots_exceeded"`
	// ApplyErrors is the number of log entries whose replay failed.
	ApplyErrors int `json:"apply_errors"`
}

// Report describes the group. Connections is the number of open connections, and ConnectionsRefused the number of those refused
// beyond the limit.
type Report struct {
	Servers            []ServerReport `json:"servers"`
	Connections        int64          `json:"connections"`
	ConnectionsRefused int64          `json:"connections_refused"`
}

// Report returns the group's state.
func (g *Group) Report() Report {
	r := Report{Connections: g.openConnections.Load(), ConnectionsRefused: g.refusedConnections.Load()}
	for _, s := range g.servers {
		st := s.Status()
		s.mu.Lock()
		r.Servers = append(r.Servers, ServerReport{
			Name: s.name, Alive: s.alive, Status: st, Queries: s.queries.Load(), PeakRunning: s.peakRunning.Load(),
			SlotsExceeded: s.slotsExceeded.Load(), ApplyErrors: s.applyErrors,
		})
		s.mu.Unlock()
	}
	return r
}

// Handler serves the report, and the commands for fault injection: POST /servers/NAME/kill, revive, pause, resume, leave, stay
// or lag?ms=N, and POST /links/A/B/cut or join.
func (g *Group) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /report", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(g.Report())
	})
	mux.HandleFunc("POST /servers/{name}/{order}", g.handleServerCommand)
	mux.HandleFunc("POST /links/{a}/{b}/{order}", func(w http.ResponseWriter, r *http.Request) {
		g.SetPartitioned(r.PathValue("a"), r.PathValue("b"), r.PathValue("order") == "cut")
		w.WriteHeader(http.StatusNoContent)
	})
	return mux
}

func (g *Group) handleServerCommand(w http.ResponseWriter, r *http.Request) {
	s, ok := g.Server(r.PathValue("name"))
	if !ok {
		http.Error(w, ErrNoServer.Error(), http.StatusNotFound)
		return
	}
	switch r.PathValue("order") {
	case "kill":
		s.Kill()
	case "revive":
		if err := s.Restart(g.ctx); err != nil {
			http.Error(w, err.Error(), http.StatusInternalServerError)
			return
		}
	case "pause":
		s.Pause(true)
	case "resume":
		s.Pause(false)
	case "leave":
		s.MarkLeaving(true)
	case "stay":
		s.MarkLeaving(false)
	case "lag":
		ms, _ := strconv.Atoi(r.URL.Query().Get("ms"))
		s.SetLag(time.Duration(ms) * time.Millisecond)
	default:
		http.Error(w, "no such order", http.StatusNotFound)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}
