package metadata

import (
	"net/http"
	"strconv"
)

// AdminHandler serves the commands for fault injection in a group: POST /servers/N/down, up, dark, light, deaf, hearing or
// drain. N counts from zero.
func (p *Platform) AdminHandler(group string) http.Handler {
	changes := map[string]ServerChange{
		"down": Down(true), "up": Down(false), "dark": Unresponsive(true), "light": Unresponsive(false),
		"deaf": StopReceiving(true), "hearing": StopReceiving(false), "drain": Drain(),
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /servers/{number}/{switch}", func(w http.ResponseWriter, r *http.Request) {
		n, err := strconv.Atoi(r.PathValue("number"))
		change, ok := changes[r.PathValue("switch")]
		if err != nil || !ok || n < 0 || n >= p.serverCount(group) {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		p.ChangeServer(group, n, change)
	})
	return mux
}

func (p *Platform) serverCount(group string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.groups[group].servers)
}
