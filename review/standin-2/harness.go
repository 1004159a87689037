//go:build review

package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"buckthornport.example/buckthornport/internal/standin/loopback"
	"buckthornport.example/buckthornport/internal/standin/metadata"
)

const (
	// program is that of the deploy file, from the root of the repository.
	program = "target/buckthornport-fleet"
	// answerTimeout exceeds the time limit of every route.
	answerTimeout = 8 * time.Second
	readyTimeout  = 15 * time.Second
)

// harness holds what a case has started, and its record.
type harness struct {
	trouble bool
	began   time.Time
	folder  string
	mu      sync.Mutex
	out     *os.File
	ends    []func()
}

func newHarness(record string, trouble bool) (*harness, error) {
	out, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	folder, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		return nil, err
	}
	h := &harness{trouble: trouble, began: time.Now(), folder: folder, out: out}
	h.record("disruption %t", trouble)
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGINT, syscall.SIGTERM, syscall.SIGHUP)
	go func() {
		<-stop
		h.record("NOT RUN: stopped by a signal")
		h.close()
		os.Exit(exitNotRun)
	}()
	return h, nil
}

// close ends what the case has started, the last one first.
func (h *harness) close() {
	h.mu.Lock()
	ends := h.ends
	h.mu.Unlock()
	for i := len(ends) - 1; i >= 0; i-- {
		ends[i]()
	}
	_ = os.RemoveAll(h.folder)
	_ = h.out.Close()
}

// record writes one line to the record and to the standard output.
func (h *harness) record(format string, args ...any) {
	fmt.Print(h.note(format, args...))
}

// note writes one line to the record and returns it.
func (h *harness) note(format string, args ...any) string {
	h.mu.Lock()
	defer h.mu.Unlock()
	line := fmt.Sprintf("%8.3f  %s\n", time.Since(h.began).Seconds(), fmt.Sprintf(format, args...))
	_, _ = h.out.WriteString(line)
	return line
}

// atEnd has f called when the case ends.
func (h *harness) atEnd(f func()) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.ends = append(h.ends, f)
}

// startPlatform starts a stand-in of the platform with one service of three servers and returns its address.
func (h *harness) startPlatform(config string) (*metadata.Platform, string, error) {
	p := metadata.New()
	if err := p.AddGroup("books", []string{"a", "b", "m"}, 300*time.Millisecond); err != nil {
		return nil, "", err
	}
	p.Put("op", "config", []byte(config))
	s := httptest.NewServer(p.Handler())
	h.atEnd(s.CloseClientConnections)
	return p, strings.TrimPrefix(s.URL, "http://"), nil
}

// proxy is one process of the program.
type proxy struct {
	name     string
	settings map[string]any
	file     string
	cmd      *exec.Cmd
	ended    chan struct{}
}

// newProxy makes the settings of a proxy, with the names of deploy/settings.jsonc.
func (h *harness) newProxy(name, zone, store string) (*proxy, error) {
	p := &proxy{name: name, file: filepath.Join(h.folder, name+".jsonc"), settings: map[string]any{
		"node": name, "zone": zone, "store": store, "orders": store, "cores": 0.4, "memory_mb": 284, "max_fds": 4300,
		"grace_ms": 6000, "log_level": "info",
		"zones": []map[string]string{{"name": "a", "region": "r"}, {"name": "b", "region": "r"}, {"name": "m", "region": "q"}},
	}}
	for _, k := range []string{"listen", "ready", "peer", "status"} {
		address, err := loopback.FreeAddress()
		if err != nil {
			return nil, err
		}
		p.settings[k] = address
	}
	p.settings["seeds"] = []string{p.address("peer")}
	return p, nil
}

func (p *proxy) address(key string) string {
	return p.settings[key].(string)
}

// start starts a process of a proxy. Its log goes to the temporary folder.
func (h *harness) start(p *proxy) error {
	raw, err := json.Marshal(p.settings)
	if err != nil {
		return err
	}
	if err := os.WriteFile(p.file, raw, 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(p.file+".log", os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	p.cmd, p.ended = exec.Command(program), make(chan struct{})
	p.cmd.Env = []string{"BUCKTHORNPORT_SETTINGS=" + p.file, "PATH=" + os.Getenv("PATH")}
	p.cmd.Stdout, p.cmd.Stderr = log, log
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.cmd.Start(); err != nil {
		return err
	}
	go func(cmd *exec.Cmd, ended chan struct{}) {
		defer close(ended)
		_ = cmd.Wait()
		_ = log.Close()
	}(p.cmd, p.ended)
	h.record("%s started", p.name)
	h.atEnd(p.kill)
	return nil
}

// kill ends the process and waits for its end.
func (p *proxy) kill() {
	_ = p.cmd.Process.Signal(syscall.SIGCONT)
	_ = p.cmd.Process.Kill()
	<-p.ended
}

// running reports whether the process lives.
func (p *proxy) running() bool {
	select {
	case <-p.ended:
		return false
	default:
		return true
	}
}

// awaitReady waits until the proxy answers its readiness probe with 200.
func (p *proxy) awaitReady() error {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for end := time.Now().Add(readyTimeout); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		resp, err := client.Get("http://" + p.address("ready") + "/readyz")
		if err == nil && resp.Body.Close() == nil && resp.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("%s is not ready", p.name)
}

// session is a caller's connection.
type session struct {
	conn net.Conn
	r    *bufio.Reader
}

// open opens a session.
func open(address, database string) (*session, error) {
	conn, err := net.DialTimeout("tcp", address, answerTimeout)
	if err != nil {
		return nil, err
	}
	s := &session{conn: conn, r: bufio.NewReaderSize(conn, 512)}
	if _, err := s.exchange("STARTUP " + database + " caller"); err != nil {
		_ = conn.Close()
		return nil, err
	}
	return s, nil
}

// exchange sends one message and returns the lines of its answer up to READY.
func (s *session) exchange(message string) ([]string, error) {
	_ = s.conn.SetDeadline(time.Now().Add(answerTimeout))
	if _, err := fmt.Fprint(s.conn, message+"\r\n"); err != nil {
		return nil, err
	}
	return s.answer()
}

// answer reads one answer. An ERROR is an error, after READY has been read.
func (s *session) answer() ([]string, error) {
	var lines []string
	var failure error
	for {
		text, err := s.r.ReadString('\n')
		if err != nil {
			return lines, errors.Join(failure, err)
		}
		text = strings.TrimSuffix(text, "\r\n")
		lines = append(lines, text)
		switch {
		case strings.HasPrefix(text, "READY"):
			return lines, failure
		case strings.HasPrefix(text, "ERROR"):
			failure = errors.New(text)
		}
	}
}
