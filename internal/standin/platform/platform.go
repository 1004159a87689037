package platform

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"time"

	"buckthornport.example/buckthornport/internal/jsonc"
)

// maxBodyBytes limits the body of a request; the rest of a longer one is not read.
const maxBodyBytes = 4 << 20

// Settings configure the stand-in for the platform. LagMS is the delay after which the VM list shows a change.
type Settings struct {
	Listen string `json:"listen"`
	LagMS  int    `json:"vm_list_lag_ms"`
	VMs    []VM   `json:"vms"`
}

// VM is one entry of the platform's VM list.
type VM struct {
	Name    string `json:"name"`
	Zone    string `json:"zone"`
	Address string `json:"address"`
	State   string `json:"state"`
}

// The states of a VM.
const (
	StateLive    = "live"
	StateLeaving = "leaving"
	StateRemoved = "gone"
)

// ParseSettings parses and validates settings, which are JSON with comments. Its error is a jsonc.ErrorList.
func ParseSettings(file string, source []byte) (Settings, error) {
	s := Settings{LagMS: 5000}
	d := jsonc.Decode(file, source, &s)
	if _, err := netip.ParseAddrPort(s.Listen); err != nil {
		d.AddError("listen", fmt.Sprintf("%q is not an address", s.Listen), "want IP:PORT")
	}
	for i, v := range s.VMs {
		if !slices.Contains([]string{StateLive, StateLeaving, StateRemoved}, v.State) {
			d.AddError(fmt.Sprintf("vms[%d].state", i), fmt.Sprintf("%q is unknown", v.State), "want live, leaving or gone")
		}
	}
	return s, d.Err()
}

// Row is a row of the table service. Versions start at 1; version 0 means that the row does not exist.
type Row struct {
	Version uint64          `json:"version"`
	Value   json.RawMessage `json:"value"`
}

// PutRequest replaces a row if its version is still ExpectedVersion.
type PutRequest struct {
	ExpectedVersion uint64          `json:"expect"`
	Value           json.RawMessage `json:"value"`
}

// Faults are injected into the calls of the platform's public API. An outage fails all of them, and DelayMS delays them.
// AnswerLossRate is the fraction of writes that take effect but get no answer.
type Faults struct {
	Outage         bool    `json:"outage"`
	DelayMS        int     `json:"slow_ms"`
	AnswerLossRate float64 `json:"lose_answers"`
}

// Platform is the stand-in. It keeps everything in memory.
type Platform struct {
	mu       sync.Mutex
	settings Settings
	rows     map[string]Row
	objects  map[string][]byte
	vms      map[string]VM
	// listedVMs is the VM list as last refreshed.
	listedVMs []VM
	faults    Faults
	counts    Counts
	random    func() float64
}

// Counts counts the calls since the start.
type Counts struct {
	Reads  uint64 `json:"reads"`
	Writes uint64 `json:"writes"`
}

// New returns a platform without rows or objects. Its VM list has the VMs of the settings.
func New(s Settings) *Platform {
	p := &Platform{
		settings: s, rows: map[string]Row{}, objects: map[string][]byte{}, vms: map[string]VM{}, random: rand.Float64,
	}
	for _, v := range s.VMs {
		p.vms[v.Name] = v
	}
	p.refreshVMList()
	return p
}

// Handler serves the public API of the platform, and commands that no fault affects: PUT /vms/NAME changes a VM, POST /switches
// sets the faults, and GET /counts returns the counts.
func (p *Platform) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /tables/{key...}", p.withFaults(p.getRow))
	mux.HandleFunc("PUT /tables/{key...}", p.withFaults(p.putRow))
	mux.HandleFunc("GET /objects/{name...}", p.withFaults(p.getObject))
	mux.HandleFunc("PUT /objects/{name...}", p.withFaults(p.putObject))
	mux.HandleFunc("GET /objects", p.withFaults(p.listObjects))
	mux.HandleFunc("GET /vms", p.withFaults(p.getVMs))
	mux.HandleFunc("PUT /vms/{name}", p.putVM)
	mux.HandleFunc("POST /switches", p.putFaults)
	mux.HandleFunc("GET /counts", p.getCounts)
	return mux
}

// withFaults injects the faults into a call. When an answer is lost, the call takes effect and then the connection is closed.
func (p *Platform) withFaults(h http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		p.mu.Lock()
		f := p.faults
		loseAnswer := r.Method == http.MethodPut && p.random() < f.AnswerLossRate
		p.mu.Unlock()
		time.Sleep(time.Duration(f.DelayMS) * time.Millisecond)
		if f.Outage {
			http.Error(w, "outage", http.StatusServiceUnavailable)
			return
		}
		if !loseAnswer {
			h(w, r)
			return
		}
		h(&discardWriter{header: http.Header{}}, r)
		panic(http.ErrAbortHandler)
	}
}

// discardWriter is a ResponseWriter that discards the answer.
type discardWriter struct {
	header http.Header
}

// Header returns headers that are not sent.
func (d *discardWriter) Header() http.Header { return d.header }

// Write discards the bytes.
func (d *discardWriter) Write(b []byte) (int, error) { return len(b), nil }

// WriteHeader does nothing.
func (d *discardWriter) WriteHeader(int) {}

func (p *Platform) getRow(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	p.counts.Reads++
	row := p.rows[r.PathValue("key")]
	p.mu.Unlock()
	writeJSON(w, http.StatusOK, row)
}

func (p *Platform) putRow(w http.ResponseWriter, r *http.Request) {
	var put PutRequest
	if err := json.NewDecoder(io.LimitReader(r.Body, maxBodyBytes)).Decode(&put); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.counts.Writes++
	row := p.rows[r.PathValue("key")]
	if row.Version != put.ExpectedVersion {
		writeJSON(w, http.StatusConflict, row)
		return
	}
	row = Row{Version: row.Version + 1, Value: put.Value}
	p.rows[r.PathValue("key")] = row
	writeJSON(w, http.StatusOK, row)
}

func (p *Platform) getObject(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	p.counts.Reads++
	b, ok := p.objects[r.PathValue("name")]
	p.mu.Unlock()
	if !ok {
		http.NotFound(w, r)
		return
	}
	_, _ = w.Write(b)
}

func (p *Platform) putObject(w http.ResponseWriter, r *http.Request) {
	b, err := io.ReadAll(io.LimitReader(r.Body, maxBodyBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.counts.Writes++
	p.objects[r.PathValue("name")] = b
	writeJSON(w, http.StatusOK, len(b))
}

func (p *Platform) listObjects(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.counts.Reads++
	names := []string{}
	for n := range p.objects {
		if strings.HasPrefix(n, r.URL.Query().Get("prefix")) {
			names = append(names, n)
		}
	}
	slices.Sort(names)
	writeJSON(w, http.StatusOK, names)
}

// getVMs answers with the VM list, which shows changes only after the configured lag.
func (p *Platform) getVMs(w http.ResponseWriter, _ *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.counts.Reads++
	writeJSON(w, http.StatusOK, p.listedVMs)
}

func (p *Platform) putVM(w http.ResponseWriter, r *http.Request) {
	var v VM
	if err := json.NewDecoder(io.LimitReader(r.Body, maxBodyBytes)).Decode(&v); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	v.Name = r.PathValue("name")
	p.mu.Lock()
	defer p.mu.Unlock()
	p.vms[v.Name] = v
	time.AfterFunc(time.Duration(p.settings.LagMS)*time.Millisecond, func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.refreshVMList()
	})
	writeJSON(w, http.StatusOK, v)
}

func (p *Platform) refreshVMList() {
	p.listedVMs = nil
	for _, k := range slices.Sorted(maps.Keys(p.vms)) {
		p.listedVMs = append(p.listedVMs, p.vms[k])
	}
}

func (p *Platform) putFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if err := json.NewDecoder(io.LimitReader(r.Body, maxBodyBytes)).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = f
	writeJSON(w, http.StatusOK, f)
}

func (p *Platform) getCounts(w http.ResponseWriter, _ *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	writeJSON(w, http.StatusOK, p.counts)
}

func writeJSON(w http.ResponseWriter, code int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(code)
	_ = json.NewEncoder(w).Encode(v)
}
