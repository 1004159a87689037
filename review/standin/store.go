//go:build review

package main

import (
	"encoding/base64"
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

type rowKey struct{ table, key string }

type row struct {
	rowKey
	value   []byte
	version uint64
	deleted bool
}

// store is the platform's metadata store, with the promotion orders beside it.
type store struct {
	mu      sync.Mutex
	start   time.Time
	version uint64
	rows    map[rowKey]row
	history []row
	changed chan struct{}
	expiry  map[rowKey]*time.Timer
	// failover handles a promotion order.
	failover func(service, id, holder, token string) int
	address  string
}

// wireRow is a row as the store encodes it.
type wireRow struct {
	Table      string
	Part       string `json:"part"`
	Key        string
	Value      string
	RowVersion uint64
	Deleted    bool `json:",omitempty"`
}

func (r row) wire() wireRow {
	return wireRow{
		Table: r.table, Key: r.key, Value: base64.StdEncoding.EncodeToString(r.value), RowVersion: r.version, Deleted: r.deleted,
	}
}

func newStore() (*store, error) {
	s := &store{
		start: time.Now(), rows: map[rowKey]row{}, changed: make(chan struct{}), expiry: map[rowKey]*time.Timer{},
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s.address = l.Addr().String()
	mux := http.NewServeMux()
	mux.HandleFunc("GET /rows-get", s.serveGet)
	mux.HandleFunc("GET /rows-feed", s.serveFeed)
	mux.HandleFunc("POST /rows-tx", s.serveTransaction)
	mux.HandleFunc("POST /failover", s.serveFailover)
	go func() { _ = http.Serve(l, mux) }() //nolint:gosec // loopback only
	return s, nil
}

// put writes a row as the operator or a server does.
func (s *store) put(table, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(row{rowKey: rowKey{table, key}, value: value})
}

// remove deletes a row.
func (s *store) remove(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(row{rowKey: rowKey{table, key}, deleted: true})
}

// expire deletes a row after a time, unless expire is called again before.
func (s *store) expire(table, key string, after time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	k := rowKey{table, key}
	if t, ok := s.expiry[k]; ok {
		t.Stop()
	}
	s.expiry[k] = time.AfterFunc(after, func() { s.remove(table, key) })
}

// write stores a row under the next version. mu must be held.
func (s *store) write(r row) {
	s.version++
	r.version = s.version
	s.history = append(s.history, r)
	if r.deleted {
		delete(s.rows, r.rowKey)
	} else {
		s.rows[r.rowKey] = r
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// answer sends rows as of a version of the store.
func (s *store) answer(w http.ResponseWriter, status int, rows []wireRow, version uint64) {
	body, err := json.Marshal(map[string]any{
		"rows": rows, "HasMore": false, "RowVersion": version, "NowMs": time.Since(s.start).Milliseconds(),
	})
	if err != nil {
		panic(err)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(body)
}

func (s *store) serveGet(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	out := []wireRow{}
	s.mu.Lock()
	for k, v := range s.rows {
		if k.table == q.Get("Table") && k.key >= q.Get("StartKey") && (q.Get("To") == "" || k.key < q.Get("To")) {
			out = append(out, v.wire())
		}
	}
	version := s.version
	s.mu.Unlock()
	slices.SortFunc(out, func(a, b wireRow) int { return strings.Compare(a.Key, b.Key) })
	s.answer(w, http.StatusOK, out, version)
}

// serveFeed answers with the changes of a table after a version, as soon as there is one.
func (s *store) serveFeed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("WaitMs"))
	deadline := time.After(time.Duration(wait) * time.Millisecond)
	for {
		out := []wireRow{}
		s.mu.Lock()
		for _, v := range s.history {
			if v.table == q.Get("Table") && v.version > after {
				out = append(out, v.wire())
			}
		}
		changed, version := s.changed, s.version
		s.mu.Unlock()
		if len(out) > 0 {
			s.answer(w, http.StatusOK, out, version)
			return
		}
		select {
		case <-r.Context().Done():
			return
		case <-deadline:
			s.answer(w, http.StatusOK, out, version)
			return
		case <-changed:
		}
	}
}

// serveTransaction applies all writes if all expected versions match.
func (s *store) serveTransaction(w http.ResponseWriter, r *http.Request) {
	var t struct{ ExpectedRev, Writes, Remove []wireRow }
	if err := json.NewDecoder(r.Body).Decode(&t); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	current := []wireRow{}
	conflict := false
	s.mu.Lock()
	for _, e := range t.ExpectedRev {
		v, ok := s.rows[rowKey{e.Table, e.Key}]
		if ok {
			current = append(current, v.wire())
		}
		conflict = conflict || v.version != e.RowVersion
	}
	if !conflict {
		for _, e := range t.Writes {
			value, err := base64.StdEncoding.DecodeString(e.Value)
			if err != nil || e.Table == "op" || e.Table == "servers" {
				s.mu.Unlock()
				w.WriteHeader(http.StatusForbidden)
				return
			}
			s.write(row{rowKey: rowKey{e.Table, e.Key}, value: value})
		}
		for _, e := range t.Remove {
			s.write(row{rowKey: rowKey{e.Table, e.Key}, deleted: true})
		}
	}
	version := s.version
	s.mu.Unlock()
	if conflict {
		s.answer(w, http.StatusPreconditionFailed, current, version)
		return
	}
	s.answer(w, http.StatusOK, []wireRow{}, version)
}

func (s *store) serveFailover(w http.ResponseWriter, r *http.Request) {
	var body struct{ Service, Id string } //nolint:revive // the platform's spelling
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	w.WriteHeader(s.failover(body.Service, body.Id, r.Header.Get("X-Lease-Holder"), r.Header.Get("X-Fencing-Token")))
}
