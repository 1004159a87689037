//go:build review

package main

import (
	"errors"
	"fmt"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"buckthornport.example/buckthornport/internal/standin/metadata"
)

const (
	// rebornDown is how long the primary is down before it starts again.
	rebornDown = 100 * time.Millisecond
	// rebornBefore and rebornAfter are how long callers are served before the restart and after it.
	rebornBefore = 3 * time.Second
	rebornAfter  = 8 * time.Second
	// rebornPause is the pause of a session between two requests.
	rebornPause = 25 * time.Millisecond
	// rebornReaders is the number of reading sessions at each proxy.
	rebornReaders = 2
)

// counter is an item to which one session writes rising numbers. acknowledged is the last one that was acknowledged.
type counter struct {
	acknowledged atomic.Int64
}

// playReborn restarts the primary under its id, without its log, and checks that no read on a primary route lacks a write that was
// acknowledged before the read was sent.
func playReborn(h *harness) error {
	platform, store, err := h.startPlatform(smallConfig)
	if err != nil {
		return err
	}
	proxies, err := h.startProxies(store, 3)
	if err != nil {
		return err
	}
	var stale, served, refused, failed atomic.Int64
	stop := make(chan struct{})
	var all sync.WaitGroup
	c := &counter{}
	all.Go(func() { h.writeNumbers(proxies[0], c, stop) })
	for i := range len(proxies) * rebornReaders {
		all.Go(func() { h.readNumbers(proxies[i%len(proxies)], i, c, stop, &stale, &served, &refused, &failed) })
	}
	time.Sleep(rebornBefore)
	if n, _ := platform.Primary("books"); h.trouble && n >= 0 {
		h.record("the primary, server %d, goes down; %d reads served, last write %d", n, served.Load(), c.acknowledged.Load())
		platform.ChangeServer("books", n, metadata.Down(true))
		time.Sleep(rebornDown)
		platform.ChangeServer("books", n, metadata.Restart())
		h.record("it starts again under its id, with an empty log, and writes its entry")
	}
	time.Sleep(rebornAfter)
	close(stop)
	all.Wait()
	h.record("reads: %d served, %d refused, %d failed, %d stale; last write %d", served.Load(), refused.Load(), failed.Load(),
		stale.Load(), c.acknowledged.Load())
	switch {
	case served.Load() == 0:
		return errors.New("no read was served")
	case stale.Load() > 0:
		return fmt.Errorf("%w: STALE, %d reads", errBroken, stale.Load())
	}
	return nil
}

// startProxies starts n proxies and waits until they are ready.
func (h *harness) startProxies(store string, n int) ([]*proxy, error) {
	var ps []*proxy
	var seeds []string
	for i := range n {
		p, err := h.newProxy(fmt.Sprintf("proxy-%d", i+1), []string{"a", "b", "m"}[i%3], store)
		if err != nil {
			return nil, err
		}
		ps, seeds = append(ps, p), append(seeds, p.address("peer"))
	}
	for _, p := range ps {
		p.settings["seeds"] = seeds[:min(3, len(seeds))]
		if err := h.start(p); err != nil {
			return nil, err
		}
	}
	for _, p := range ps {
		if err := p.awaitReady(); err != nil {
			return nil, err
		}
	}
	return ps, nil
}

// writeNumbers writes rising numbers until stop is closed. After an answer that promises nothing it goes on with the next number.
func (h *harness) writeNumbers(p *proxy, c *counter, stop <-chan struct{}) {
	var s *session
	for n := int64(1); ; n++ {
		select {
		case <-stop:
			return
		case <-time.After(rebornPause):
		}
		var err error
		if s == nil {
			if s, err = open(p.address("listen"), "ledger"); err != nil {
				continue
			}
		}
		lines, err := s.exchange(fmt.Sprintf("QUERY w%d WRITE item %d", n, n))
		h.note("%s w%d WRITE item %d -> %s %v", p.name, n, n, strings.Join(lines, " | "), err)
		switch {
		case err == nil:
			c.acknowledged.Store(n)
		case !strings.HasPrefix(err.Error(), "ERROR"):
			_ = s.conn.Close()
			s = nil
		}
	}
}

// readNumbers reads until stop is closed and counts reads that lack a write which was acknowledged before they were sent.
func (h *harness) readNumbers(
	p *proxy, reader int, c *counter, stop <-chan struct{}, stale, served, refused, failed *atomic.Int64,
) {
	var s *session
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-time.After(rebornPause):
		}
		var err error
		if s == nil {
			if s, err = open(p.address("listen"), "ledger"); err != nil {
				failed.Add(1)
				continue
			}
		}
		before := c.acknowledged.Load()
		id := fmt.Sprintf("r%d-%d", reader, n)
		lines, err := s.exchange("QUERY " + id + " READ item")
		h.note("%s %s READ item after write %d -> %s %v", p.name, id, before, strings.Join(lines, " | "), err)
		switch {
		case err != nil && strings.HasPrefix(err.Error(), "ERROR"):
			refused.Add(1)
		case err != nil:
			failed.Add(1)
			_ = s.conn.Close()
			s = nil
		default:
			served.Add(1)
			got, _ := strconv.ParseInt(strings.TrimPrefix(lines[0], "DATAROW "), 10, 64)
			if got < before {
				stale.Add(1)
				h.note("STALE: %s lacks write %d", id, before)
			}
		}
	}
}
