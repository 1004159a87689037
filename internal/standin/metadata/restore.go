package metadata

import (
	"net/http"
	"slices"
	"strconv"
)

// headerEra holds the era of the store.
const headerEra = "Store-Era"

// setEra adds the era of the store to an answer.
func (p *Platform) setEra(w http.ResponseWriter) {
	p.mu.Lock()
	defer p.mu.Unlock()
	w.Header().Set(headerEra, strconv.FormatUint(p.era, 10))
}

// Version returns the version of the latest change.
func (p *Platform) Version() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.version
}

// Restore replaces the store's content by a copy as of a version, and begins a new era. Changes after that version are lost, and
// their versions are given out again. The copy holds the history since the store's start. Then more is called, before any node gets
// an answer of the new era, and may write rows through the functions that it is given.
func (p *Platform) Restore(version uint64, more func(put func(table, key string, value []byte))) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.era++
	p.version = version
	p.history = slices.DeleteFunc(p.history, func(r row) bool { return r.version > version })
	clear(p.rows)
	for _, r := range p.history {
		if r.deleted {
			delete(p.rows, r.rowKey)
		} else {
			p.rows[r.rowKey] = r
		}
	}
	if more != nil {
		more(func(table, key string, value []byte) { p.put(row{rowKey: rowKey{table, key}, value: value}) })
	}
	close(p.changed)
	p.changed = make(chan struct{})
}

// Value returns the value of a row, nil if there is none.
func (p *Platform) Value(table, key string) []byte {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.rows[rowKey{table, key}].value
}

// WriteAgain writes what the operator and the servers wrote last, as they do after a restore.
func (p *Platform) WriteAgain() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.put(row{rowKey: rowKey{"op", "config"}, value: p.config})
	for _, g := range p.groups {
		for _, s := range g.servers {
			if !s.down {
				p.listServer(s, s.state)
			}
		}
	}
}
