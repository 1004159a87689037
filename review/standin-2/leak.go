//go:build review

package main

import (
	"bufio"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"buckthornport.example/buckthornport/internal/standin/metadata"
)

const (
	// largeBytes is the size of the item that callers read. A message may have 1 MiB.
	largeBytes = 900_000
	// leakReaders is the number of callers that read it, one request at a time, and leakDown how long both replicas are silent.
	leakReaders = 40
	leakDown    = 5 * time.Second
	// leakCalm is how long a single caller tries to read the item afterwards.
	leakCalm = 20 * time.Second
)

// playLeak checks that a single large message is served in calm, after both replicas of the group were silent for some seconds.
func playLeak(h *harness) error {
	platform, store, err := h.startPlatform(smallConfig)
	if err != nil {
		return err
	}
	proxies, err := h.startProxies(store, 1)
	if err != nil {
		return err
	}
	p := proxies[0]
	s, err := open(p.address("listen"), "ledger")
	if err != nil {
		return err
	}
	if _, err := s.exchange("QUERY w1 WRITE large " + strings.Repeat("x", largeBytes)); err != nil {
		return fmt.Errorf("the write of the large item: %w", err)
	}
	if err := h.readLarge(p, "before"); err != nil {
		return fmt.Errorf("a read of the large item before the disruption: %w", err)
	}
	primary, _ := platform.Primary("books")
	silent := func(on bool) {
		for i := range 3 {
			if i != primary && h.trouble {
				platform.ChangeServer("books", i, metadata.Unresponsive(on))
			}
		}
	}
	silent(true)
	h.record("both replicas are silent: %t", h.trouble)
	served, refused, failed := h.readLargeBy(p, leakReaders, time.Now().Add(leakDown))
	silent(false)
	h.record("the replicas answer again; reads of the large item meanwhile: %d served, %d refused, %d failed", served, refused, failed)
	time.Sleep(5 * time.Second)
	return h.readInCalm(p)
}

// readLargeBy has n callers read the large item, one request at a time each, until the given time.
func (h *harness) readLargeBy(p *proxy, n int, end time.Time) (served, refused, failed int64) {
	var ok, errors, broken atomic.Int64
	var all sync.WaitGroup
	for i := range n {
		all.Go(func() {
			for k := 0; time.Now().Before(end); k++ {
				err := h.readLarge(p, fmt.Sprintf("r%d-%d", i, k))
				switch {
				case err == nil:
					ok.Add(1)
				case strings.HasPrefix(err.Error(), "ERROR"):
					errors.Add(1)
				default:
					broken.Add(1)
				}
			}
		})
	}
	all.Wait()
	return ok.Load(), errors.Load(), broken.Load()
}

// readInCalm has one caller read the large item for leakCalm. The rule is broken if no read is served.
func (h *harness) readInCalm(p *proxy) error {
	tries, served := 0, 0
	var last error
	for calm := time.Now().Add(leakCalm); time.Now().Before(calm); time.Sleep(500 * time.Millisecond) {
		if err := ordinary(p); err != nil {
			return fmt.Errorf("a read of a small item in calm: %w", err)
		}
		tries++
		if last = h.readLarge(p, fmt.Sprintf("calm-%d", tries)); last == nil {
			served++
		}
	}
	h.recordHeld(p)
	h.record("in calm, one caller: %d of %d reads of the large item served, the last: %v", served, tries, last)
	if served == 0 {
		return fmt.Errorf("%w: the large item is not served in calm: %w", errBroken, last)
	}
	return nil
}

// recordHeld records what the process itself reports of its reservations.
func (h *harness) recordHeld(p *proxy) {
	resp, err := http.Get("http://" + p.address("status") + "/metrics")
	if err != nil {
		h.record("no metrics: %v", err)
		return
	}
	defer func() { _ = resp.Body.Close() }()
	for r := bufio.NewScanner(resp.Body); r.Scan(); {
		if strings.Contains(r.Text(), "held_bytes") || strings.Contains(r.Text(), "memory_refusals_total") {
			h.record("metrics: %s", r.Text())
		}
	}
}

// readLarge reads the large item in a session of its own.
func (h *harness) readLarge(p *proxy, id string) error {
	s, err := open(p.address("listen"), "ledger")
	if err != nil {
		return err
	}
	defer func() { _ = s.conn.Close() }()
	lines, err := s.exchange("QUERY " + id + " READ large")
	h.note("%s READ large -> %d lines, %v", id, len(lines), err)
	return err
}
