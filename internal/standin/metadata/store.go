package metadata

import (
	"encoding/base64"
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// Platform is the store and all groups behind it.
type Platform struct {
	mu sync.Mutex
	// start is where the store's steady clock begins.
	start         time.Time
	changed       chan struct{}
	version       uint64
	oldestVersion uint64
	rows          map[rowKey]row
	history       []row
	faults        StoreFaults
	groups        map[string]*group
	lastTokens    map[string]uint64
	calls         map[string]int
	violations    []string
}

// StoreFaults are the switches of the store; they concern nodes, never the operator and the servers.
type StoreFaults struct {
	// Status is answered to every call instead of doing it, zero for none.
	Status int
	// Delay is how long every call takes.
	Delay time.Duration
	// LoseAnswers does what writes ask for and closes the connection without an answer.
	LoseAnswers bool
}

type rowKey struct {
	table, key string
}

type row struct {
	rowKey
	value   []byte
	version uint64
	deleted bool
}

// New returns a platform without rows and groups.
func New() *Platform {
	return &Platform{
		start: time.Now(), changed: make(chan struct{}), rows: map[rowKey]row{}, groups: map[string]*group{}, lastTokens: map[string]uint64{},
		calls: map[string]int{},
	}
}

// SetStoreFaults replaces the switches of the store.
func (p *Platform) SetStoreFaults(f StoreFaults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = f
}

// DropHistory makes every feed begin anew.
func (p *Platform) DropHistory() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.history = nil
	p.oldestVersion = p.version + 1
	p.put(row{rowKey: rowKey{"standin", "mark"}})
}

// Put writes a row as the operator or a server does.
func (p *Platform) Put(table, key string, value []byte) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.put(row{rowKey: rowKey{table, key}, value: value})
}

// Delete drops a row as the platform does when a server has left.
func (p *Platform) Delete(table, key string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.put(row{rowKey: rowKey{table, key}, deleted: true})
}

// Calls returns how many calls of a path were made.
func (p *Platform) Calls(path string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.calls[path]
}

// Violations returns the rules that were broken so far.
func (p *Platform) Violations() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.violations)
}

func (p *Platform) put(r row) {
	p.version++
	r.version = p.version
	p.history = append(p.history, r)
	if r.deleted {
		delete(p.rows, r.rowKey)
	} else {
		p.rows[r.rowKey] = r
	}
	close(p.changed)
	p.changed = make(chan struct{})
}

// wireRow is a row as the platform writes it.
type wireRow struct {
	Table      string
	Part       string `json:"part"`
	Key        string
	Value      string `json:",omitempty"`
	RowVersion uint64
	Deleted    bool `json:",omitempty"`
}

func (r row) wire() wireRow {
	return wireRow{
		Table: r.table, Key: r.key, Value: base64.StdEncoding.EncodeToString(r.value), RowVersion: r.version, Deleted: r.deleted,
	}
}

// Handler serves the store and the order to promote.
func (p *Platform) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /rows-get", p.serveGet)
	mux.HandleFunc("GET /rows-feed", p.serveFeed)
	mux.HandleFunc("POST /rows-tx", p.serveTransaction)
	mux.HandleFunc("POST /failover", p.serveFailover)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		p.mu.Lock()
		f := p.faults
		p.calls[r.URL.Path]++
		p.mu.Unlock()
		if f.Delay > 0 {
			select {
			case <-r.Context().Done():
				return
			case <-time.After(f.Delay):
			}
		}
		if f.Status != 0 && r.URL.Path != "/failover" {
			w.WriteHeader(f.Status)
			return
		}
		mux.ServeHTTP(w, r)
	})
}

func (p *Platform) serveGet(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	p.mu.Lock()
	defer p.mu.Unlock()
	out := []wireRow{}
	for k, v := range p.rows {
		if k.table == q.Get("Table") && k.key >= q.Get("StartKey") && (q.Get("To") == "" || k.key < q.Get("To")) {
			out = append(out, v.wire())
		}
	}
	slices.SortFunc(out, func(a, b wireRow) int {
		if a.Key < b.Key {
			return -1
		}
		return 1
	})
	p.writeRows(w, http.StatusOK, out)
}

// writeRows writes rows as of now; the lock is held.
func (p *Platform) writeRows(w http.ResponseWriter, status int, rows []wireRow) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(map[string]any{
		"rows": rows, "HasMore": false, "RowVersion": p.version, "NowMs": time.Since(p.start).Milliseconds(),
	})
}

func (p *Platform) serveFeed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, err := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, errWait := strconv.Atoi(q.Get("WaitMs"))
	if err != nil || errWait != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	deadline := time.After(time.Duration(wait) * time.Millisecond)
	for {
		p.mu.Lock()
		if after+1 < p.oldestVersion {
			p.mu.Unlock()
			w.WriteHeader(http.StatusGone)
			return
		}
		var out []wireRow
		for _, v := range p.history {
			if v.table == q.Get("Table") && v.version > after {
				out = append(out, v.wire())
			}
		}
		changed := p.changed
		if len(out) > 0 {
			p.writeRows(w, http.StatusOK, out)
			p.mu.Unlock()
			return
		}
		p.mu.Unlock()
		select {
		case <-r.Context().Done():
			return
		case <-deadline:
			p.mu.Lock()
			p.writeRows(w, http.StatusOK, []wireRow{})
			p.mu.Unlock()
			return
		case <-changed:
		}
	}
}

func (p *Platform) serveTransaction(w http.ResponseWriter, r *http.Request) {
	var body struct {
		ExpectedRev []wireRow
		Writes      []wireRow
	}
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	var other []wireRow
	missed := false
	for _, e := range body.ExpectedRev {
		v, ok := p.rows[rowKey{e.Table, e.Key}]
		if ok {
			other = append(other, v.wire())
		}
		missed = missed || v.version != e.RowVersion
	}
	if missed {
		p.writeRows(w, http.StatusPreconditionFailed, other)
		return
	}
	for _, e := range body.Writes {
		value, err := base64.StdEncoding.DecodeString(e.Value)
		if err != nil || e.Table == "op" || e.Table == "servers" {
			w.WriteHeader(http.StatusForbidden)
			return
		}
		p.put(row{rowKey: rowKey{e.Table, e.Key}, value: value})
	}
	if p.faults.LoseAnswers {
		panic(http.ErrAbortHandler)
	}
	p.writeRows(w, http.StatusOK, nil)
}
