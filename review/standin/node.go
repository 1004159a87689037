//go:build review

package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	program   = "target/buckthornport-fleet"
	readyWait = 20 * time.Second

	lowestPort = 18000
	ports      = 12000
)

// recorder writes what was sent, answered and run to record.txt.
type recorder struct {
	mu    sync.Mutex
	start time.Time
	file  *os.File
}

func newRecorder(dir string) (*recorder, error) {
	f, err := os.Create(filepath.Join(dir, "record.txt"))
	return &recorder{start: time.Now(), file: f}, err
}

func (r *recorder) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%9.4f %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// run records a statement that a server begins to run.
func (r *recorder) run(server, id, text string) {
	r.add("run at %s: %s %q", server, id, text)
}

// say records a line and prints it.
func (r *recorder) say(format string, args ...any) {
	r.add(format, args...)
	fmt.Printf(format+"\n", args...)
}

// node is one proxy process.
type node struct {
	name    string
	listen  string
	ready   string
	peer    string
	status  string
	process *exec.Cmd
	// ended is closed when the process has ended.
	ended chan struct{}
}

// freeAddress returns a loopback address on which nothing listens. Its port is below those that the system gives to outgoing
// connections.
func freeAddress() (string, error) {
	for {
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", lowestPort+rand.IntN(ports)))
		if err == nil {
			return l.Addr().String(), l.Close()
		}
		if !errors.Is(err, syscall.EADDRINUSE) {
			return "", err
		}
	}
}

// startNodes starts one proxy in each zone and waits until all are ready.
func startNodes(dir, storeAddress string, zones []string, rec *recorder) ([]*node, error) {
	var nodes []*node
	for i := range zones {
		n := &node{name: fmt.Sprintf("proxy-%d", i+1)}
		for _, a := range []*string{&n.listen, &n.ready, &n.peer, &n.status} {
			address, err := freeAddress()
			if err != nil {
				return nodes, err
			}
			*a = address
		}
		nodes = append(nodes, n)
	}
	for i, n := range nodes {
		if err := n.run(dir, storeAddress, zones[i], nodes); err != nil {
			return nodes, err
		}
	}
	for _, n := range nodes {
		if err := n.awaitReady(); err != nil {
			return nodes, err
		}
		rec.add("%s is ready at %s", n.name, n.listen)
	}
	return nodes, nil
}

func (n *node) run(dir, storeAddress, zone string, all []*node) error {
	var seeds []string
	for _, o := range all {
		seeds = append(seeds, o.peer)
	}
	raw, err := json.Marshal(map[string]any{
		"node": n.name, "zone": zone, "zones": zonesOf(), "listen": n.listen, "ready": n.ready, "peer": n.peer, "seeds": seeds,
		"status": n.status, "store": storeAddress, "orders": storeAddress, "cores": 0.4, "grace_ms": graceMark, "log_level": "info",
	})
	if err != nil {
		return err
	}
	setting, err := graceSetting()
	if err != nil {
		return err
	}
	raw = []byte(strings.Replace(string(raw), fmt.Sprintf(`"grace_ms":%d`, graceMark), setting, 1))
	settings := filepath.Join(dir, n.name+".jsonc")
	if err := os.WriteFile(settings, raw, 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(dir, n.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	n.process = exec.Command(program)
	n.process.Env = []string{"PATH=" + os.Getenv("PATH"), "BUCKTHORNPORT_SETTINGS=" + settings}
	n.process.Stdout, n.process.Stderr = log, log
	if err := n.process.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	n.ended = ended
	go func() {
		_ = n.process.Wait()
		close(ended)
	}()
	return nil
}

// errEnded reports that a proxy ended by itself before it was ready.
var errEnded = errors.New("the process ended by itself before it was ready")

// graceMark stands for the grace period until the template's setting of it is filled in.
const graceMark = 123456789

// graceS is the platform's GraceS, as it fills it in.
var graceS = "6"

// graceSetting returns the line of the template that sets the grace period, filled in as the platform does it.
func graceSetting() (string, error) {
	raw, err := os.ReadFile("deploy/settings.jsonc")
	if err != nil {
		return "", err
	}
	for line := range strings.Lines(string(raw)) {
		if strings.Contains(line, `"grace_ms"`) {
			line = strings.TrimSuffix(strings.TrimSpace(line), ",")
			return strings.ReplaceAll(line, "{{Bounds.GraceS}}", graceS), nil
		}
	}
	return "", errors.New("the template doesn't set grace_ms")
}

func zonesOf() []map[string]string {
	return []map[string]string{
		{"name": "nbo-a", "region": "nbo"}, {"name": "nbo-b", "region": "nbo"}, {"name": "msa-a", "region": "msa"},
	}
}

func (n *node) awaitReady() error {
	client := http.Client{Timeout: time.Second}
	for end := time.Now().Add(readyWait); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		resp, err := client.Get("http://" + n.ready + "/readyz")
		select {
		case <-n.ended:
			return errEnded
		default:
		}
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("%s is not ready after %v", n.name, readyWait)
}

func (n *node) signal(s syscall.Signal) {
	if n.process != nil && n.process.Process != nil {
		_ = n.process.Process.Signal(s)
	}
}

// kill ends a process and waits for its end.
func (n *node) kill() {
	n.signal(syscall.SIGKILL)
	if n.ended != nil {
		<-n.ended
	}
}

// keepLogs copies the lines of the proxies' logs that contain one of the words to the record.
func keepLogs(dir string, nodes []*node, rec *recorder, words ...string) {
	for _, n := range nodes {
		raw, err := os.ReadFile(filepath.Join(dir, n.name+".log"))
		if err != nil {
			continue
		}
		for line := range strings.Lines(string(raw)) {
			for _, w := range words {
				if strings.Contains(line, w) {
					rec.add("log of %s: %s", n.name, strings.TrimSpace(line))
					break
				}
			}
		}
	}
}
