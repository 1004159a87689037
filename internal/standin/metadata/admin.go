package metadata

import (
	"net/http"
	"strconv"
)

// SwitchHandler lets people make the servers of a group fail: POST /servers/N/down, up, dark, light, deaf, hearing or drain.
func (p *Platform) SwitchHandler(group string) http.Handler {
	switches := map[string]Switch{
		"down": Down(true), "up": Down(false), "dark": Dark(true), "light": Dark(false), "deaf": Deaf(true), "hearing": Deaf(false),
		"drain": Drain(),
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /servers/{number}/{switch}", func(w http.ResponseWriter, r *http.Request) {
		n, err := strconv.Atoi(r.PathValue("number"))
		change, ok := switches[r.PathValue("switch")]
		if err != nil || !ok || n < 0 || n >= p.servers(group) {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		p.Set(group, n, change)
	})
	return mux
}

func (p *Platform) servers(group string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.groups[group].servers)
}
