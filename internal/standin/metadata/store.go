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

// Platform is the metadata store and its database groups.
type Platform struct {
	mu sync.Mutex
	// start is the origin of the store's monotonic clock.
	start time.Time
	// changed is closed and replaced at each change.
	changed chan struct{}
	version uint64
	// oldestVersion is the version from which the history is complete.
	oldestVersion uint64
	// era counts the restores of the store, from one on. entries counts what the servers wrote, and config is what the operator wrote
	// last, for writing it again.
	era     uint64
	entries uint64
	config  []byte
	rows    map[rowKey]row
	history []row
	faults  StoreFaults
	groups  map[string]*group
	// lastOrders holds the latest promotion order for each service.
	lastOrders map[string]order
	calls      map[string]int
	violations []string
	// hasRun holds the ids of the callers' statements that a server has run.
	hasRun map[string]bool
}

// StoreFaults are the injected faults of the store. They affect the calls of nodes, and never the writes of the operator and
// the servers.
type StoreFaults struct {
	// Status is the answer to every call to the store, which then has no effect. Zero means no fault.
	Status int
	// Delay is the time before each call is handled.
	Delay time.Duration
	// LoseAnswers makes writes take effect and closes their connections without an answer.
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

// New returns a platform without rows or groups.
func New() *Platform {
	return &Platform{
		start: time.Now(), era: 1, changed: make(chan struct{}), rows: map[rowKey]row{}, groups: map[string]*group{},
		lastOrders: map[string]order{}, calls: map[string]int{}, hasRun: map[string]bool{},
	}
}

// SetStoreFaults replaces the injected faults of the store.
func (p *Platform) SetStoreFaults(f StoreFaults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = f
}

// DropHistory discards the change history. A feed that needs older changes gets status 410 and must read the table again.
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
	if table == "op" {
		p.config = value
	}
	p.put(row{rowKey: rowKey{table, key}, value: value})
}

// Delete deletes a row as the platform does when a server has left.
func (p *Platform) Delete(table, key string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.put(row{rowKey: rowKey{table, key}, deleted: true})
}

// Calls returns the number of calls to a path.
func (p *Platform) Calls(path string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.calls[path]
}

// Violations describes the safety rules that were violated so far: those of fencing tokens and of acknowledged entries.
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

// wireRow is a row as the platform encodes it.
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

// Handler serves the store and the promotion orders.
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
		p.setEra(w)
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
	a := p.encodeRows(out)
	p.mu.Unlock()
	a.write(w, http.StatusOK)
}

// encodeRows encodes an answer with rows, the current version and the store time. p.mu must be held.
func (p *Platform) encodeRows(rows []wireRow) answer {
	body, err := json.Marshal(map[string]any{
		"rows": rows, "HasMore": false, "RowVersion": p.version, "NowMs": time.Since(p.start).Milliseconds(),
	})
	if err != nil {
		panic(err)
	}
	return answer{body: body, era: p.era}
}

// answer is the body of an answer and the era of the store in which it was made.
type answer struct {
	body []byte
	era  uint64
}

// write writes an answer. It must be called without the platform's lock, as a slow requester or link delays it.
func (a answer) write(w http.ResponseWriter, status int) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set(headerEra, strconv.FormatUint(a.era, 10))
	w.WriteHeader(status)
	// A failed write means that the requester has disconnected, which needs no handling.
	_, _ = w.Write(a.body)
}

// serveFeed answers with the changes of a table after a version. If there are none, it waits for one up to WaitMs.
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
		if after+1 < p.oldestVersion || after > p.version {
			p.mu.Unlock()
			p.setEra(w)
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
			a := p.encodeRows(out)
			p.mu.Unlock()
			a.write(w, http.StatusOK)
			return
		}
		p.mu.Unlock()
		select {
		case <-r.Context().Done():
			return
		case <-deadline:
			p.mu.Lock()
			a := p.encodeRows([]wireRow{})
			p.mu.Unlock()
			a.write(w, http.StatusOK)
			return
		case <-changed:
		}
	}
}

// serveTransaction writes rows if all expected rows have the expected versions, or else answers with the current rows.
func (p *Platform) serveTransaction(w http.ResponseWriter, r *http.Request) {
	var t transaction
	if err := json.NewDecoder(r.Body).Decode(&t); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	p.mu.Lock()
	status, rows := p.apply(t)
	lost := p.faults.LoseAnswers && status == http.StatusOK
	a := p.encodeRows(rows)
	p.mu.Unlock()
	if lost {
		panic(http.ErrAbortHandler)
	}
	a.write(w, status)
}

// transaction is the body of a call to /rows-tx.
type transaction struct {
	ExpectedRev []wireRow
	Writes      []wireRow
}

// apply performs a transaction. It returns the HTTP status and, if an expected version does not match, the current rows. p.mu must
// be held.
func (p *Platform) apply(t transaction) (int, []wireRow) {
	var current []wireRow
	conflict := false
	for _, e := range t.ExpectedRev {
		v, ok := p.rows[rowKey{e.Table, e.Key}]
		if ok {
			current = append(current, v.wire())
		}
		conflict = conflict || v.version != e.RowVersion
	}
	if conflict {
		return http.StatusPreconditionFailed, current
	}
	for _, e := range t.Writes {
		value, err := base64.StdEncoding.DecodeString(e.Value)
		if err != nil || e.Table == "op" || e.Table == "servers" {
			return http.StatusForbidden, nil
		}
		p.put(row{rowKey: rowKey{e.Table, e.Key}, value: value})
	}
	return http.StatusOK, nil
}
