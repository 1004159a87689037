//go:build review

package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// crowd is the number of misbehaving callers. It is below the number of sessions that the program admits.
	crowd = 2950
	// aheadBytes is what each of them sends without reading the answers, in messages of legal size.
	aheadBytes   = 1 << 20
	messageBytes = 1000
	// minDescriptors is what the callers of the crowd and the program need.
	minDescriptors = 8000
	// valuesAhead is the number of session values and of prepared statements that come first. A session may have more.
	valuesAhead = 120
	// smallConfig is the configuration of a small deployment.
	smallConfig = `{"Version":4,"Routes":[
{"Name":"r1","Host":"ledger","Kind":"primary","TimeoutMs":1000,"TargetLatencyMs":400,"Priority":1,"Service":"books"},
{"Name":"r2","Host":"board","Kind":"bounded_staleness","TimeoutMs":3000,"TargetLatencyMs":1000,"Priority":2,"Service":"books",
"MaxStalenessMs":1500}],
"Services":[{"Name":"books","MaxConns":33,"SyncReplicas":1}],"Limits":{"TxIdleMs":3000}}`
)

// playUnread checks that a process stays within the memory of its machine while callers send messages ahead. As on the platform,
// bytes that have been received and not yet read count.
func playUnread(h *harness) error {
	var files syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &files); err != nil {
		return err
	}
	if files.Max < minDescriptors {
		return fmt.Errorf("the limit of %d descriptors is below %d", files.Max, minDescriptors)
	}
	_, store, err := h.startPlatform(smallConfig)
	if err != nil {
		return err
	}
	p, err := h.newProxy("proxy-1", "a", store)
	if err != nil {
		return err
	}
	if err := errors.Join(h.start(p), p.awaitReady()); err != nil {
		return err
	}
	if err := ordinary(p); err != nil {
		return fmt.Errorf("an ordinary caller before the crowd: %w", err)
	}
	var open, refused, sent atomic.Int64
	var all sync.WaitGroup
	gate := make(chan struct{}, 64)
	for i := range crowd {
		all.Go(func() {
			gate <- struct{}{}
			defer func() { <-gate }()
			conn, n, err := h.crowdCaller(p, i)
			if err != nil {
				refused.Add(1)
				return
			}
			open.Add(1)
			sent.Add(n)
			h.atEnd(func() { _ = conn.Close() })
		})
	}
	stop := make(chan struct{})
	go func() {
		all.Wait()
		h.record("crowd: %d sessions open, %d refused or closed, %d bytes sent", open.Load(), refused.Load(), sent.Load())
		time.Sleep(5 * time.Second)
		close(stop)
	}()
	err = h.watchMemory(p, stop)
	if err != nil {
		return err
	}
	if !p.running() {
		return fmt.Errorf("%w: the process has ended", errBroken)
	}
	for range 20 {
		if err = ordinary(p); err == nil {
			return nil
		}
		time.Sleep(250 * time.Millisecond)
	}
	return fmt.Errorf("an ordinary caller after the crowd: %w", err)
}

func ordinary(p *proxy) error {
	s, err := open(p.address("listen"), "ledger")
	if err != nil {
		return err
	}
	defer func() { _ = s.conn.Close() }()
	_, err = s.exchange("QUERY q1 READ item")
	return err
}

// crowdCaller opens a session. With the disruption it sends messages ahead until the connection takes no more; without, it runs one
// read and waits.
func (h *harness) crowdCaller(p *proxy, i int) (net.Conn, int64, error) {
	s, err := open(p.address("listen"), "board")
	if err != nil {
		return nil, 0, err
	}
	text := fmt.Sprintf("QUERY c%d READ item", i)
	if !h.trouble {
		// A refusal is an answer as well.
		_, _ = s.exchange(text)
		return s.conn, int64(len(text)), nil
	}
	var values strings.Builder
	for n := range valuesAhead {
		fmt.Fprintf(&values, "QUERY s%d SET v%d x\r\nQUERY p%d PREPARE p%d READ s%d\r\n", n, n, n, n, n)
	}
	block := values.String() + strings.Repeat(text+strings.Repeat("x", messageBytes-len(text))+"\r\n", aheadBytes/messageBytes)
	_ = s.conn.SetWriteDeadline(time.Now().Add(300 * time.Millisecond))
	n, err := io.WriteString(s.conn, block)
	if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		return nil, 0, err
	}
	return s.conn, int64(n), nil
}

// watchMemory compares the memory of a process with that of its machine until stop is closed. Like the platform, it kills a process
// that exceeds it.
func (h *harness) watchMemory(p *proxy, stop <-chan struct{}) error {
	limit := int64(p.settings["memory_mb"].(int)) << 20
	_, port, err := net.SplitHostPort(p.address("listen"))
	if err != nil {
		return err
	}
	peak, peakOwn, peakUnread, reported := int64(0), int64(0), int64(0), time.Time{}
	for {
		own, err := anonymousBytes(p.cmd.Process.Pid)
		if err != nil {
			return fmt.Errorf("%w: the process has ended", errBroken)
		}
		unread, err := unreadBytes(p.cmd.Process.Pid, port)
		if err != nil {
			return err
		}
		if own+unread > peak {
			peak, peakOwn, peakUnread = own+unread, own, unread
		}
		if time.Since(reported) > time.Second {
			reported = time.Now()
			h.record("memory: own %d MB, received and not read %d MB, of %d MB", own>>20, unread>>20, limit>>20)
		}
		if peak > limit {
			h.record("over the limit: own %d MB, received and not read %d MB: the platform kills the process", peakOwn>>20, peakUnread>>20)
			p.kill()
			return fmt.Errorf("%w: the process used %d MB of %d MB", errBroken, peak>>20, limit>>20)
		}
		select {
		case <-stop:
			h.record("peak: own %d MB, received and not read %d MB", peakOwn>>20, peakUnread>>20)
			return nil
		case <-time.After(100 * time.Millisecond):
		}
	}
}

// anonymousBytes returns the resident memory of a process without its mapped files.
func anonymousBytes(pid int) (int64, error) {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, err
	}
	for l := range strings.Lines(string(raw)) {
		if fs := strings.Fields(l); len(fs) > 1 && fs[0] == "RssAnon:" {
			kb, err := strconv.ParseInt(fs[1], 10, 64)
			return kb << 10, err
		}
	}
	return 0, errors.New("no RssAnon")
}

// unreadBytes returns the bytes that have arrived on the connections of callers and that the process has not read.
func unreadBytes(pid int, port string) (int64, error) {
	n, err := strconv.Atoi(port)
	if err != nil {
		return 0, err
	}
	suffix := fmt.Sprintf(":%04X", n)
	f, err := os.Open(fmt.Sprintf("/proc/%d/net/tcp", pid))
	if err != nil {
		return 0, err
	}
	defer func() { _ = f.Close() }()
	sum := int64(0)
	for s := bufio.NewScanner(f); s.Scan(); {
		// sl local_address rem_address st tx_queue:rx_queue ...
		fs := strings.Fields(s.Text())
		if len(fs) < 5 || !strings.HasSuffix(fs[1], suffix) || fs[3] != "01" {
			continue
		}
		_, rx, _ := strings.Cut(fs[4], ":")
		v, err := strconv.ParseInt(rx, 16, 64)
		if err != nil {
			return 0, err
		}
		sum += v
	}
	return sum, nil
}
