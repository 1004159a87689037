//go:build review

package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// The exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// timeLimit bounds a case. It leaves time for the end of all processes.
const timeLimit = 100 * time.Second

// config is that of a small deployment: one service with a route of each kind.
const config = `{"Version": 7, "Routes": [
  {"Name": "affirm", "Host": "affirm", "Kind": "primary", "TimeoutMs": 1000, "TargetLatencyMs": 400, "Priority": 1, "Service": "books"},
  {"Name": "blotter", "Host": "blotter", "Kind": "bounded_staleness", "TimeoutMs": 3000, "TargetLatencyMs": 1000, "Priority": 2,
   "Service": "books", "MaxStalenessMs": 1500},
  {"Name": "recon", "Host": "recon", "Kind": "read_your_writes", "TimeoutMs": 1000, "TargetLatencyMs": 800, "Priority": 2,
   "Service": "books", "MaxStalenessMs": 2500}],
 "Services": [{"Name": "books", "MaxConns": 33, "SyncReplicas": 1}], "Limits": {"TxIdleMs": 3000}}`

// world is a platform, a group of three servers and a proxy in each zone.
type world struct {
	rec     *recorder
	store   *store
	group   *group
	nodes   []*node
	trouble bool
	// startOnly is set if the case is that the proxies start.
	startOnly bool
	// dir holds the settings and logs of the proxies, zones the zone of each.
	dir   string
	zones []string
}

var cases = map[string]func(w *world) (broken bool, err error){
	"replica-crash":     replicaCrash,
	"blank":             blank,
	"restarted-replica": restartedReplica,
	"sigterm":           sigterm,
	"start":             func(*world) (bool, error) { return false, nil },
}

func main() {
	os.Exit(run())
}

func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-standin CASE FOLDER")
		return exitNotRun
	}
	rec, err := newRecorder(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	w := &world{rec: rec, trouble: os.Getenv("TROUBLE") != "0", startOnly: os.Args[1] == "start"}
	if w.startOnly && w.trouble {
		graceS = "6.5"
	}
	broken, err := w.play(cases[os.Args[1]])
	switch {
	case broken && w.startOnly:
		rec.say("%v", err)
		rec.say("the rule was broken")
		return exitBroken
	case err != nil:
		rec.say("not run: %v", err)
		return exitNotRun
	case broken:
		rec.say("the rule was broken")
		return exitBroken
	}
	rec.say("the rule held")
	return exitHeld
}

// endEarly ends the proxies and the program when a signal arrives or the time of a case is over.
func (w *world) endEarly(dir string) {
	c := make(chan os.Signal, 1)
	signal.Notify(c, syscall.SIGINT, syscall.SIGTERM)
	select {
	case <-c:
	case <-time.After(timeLimit):
	}
	for _, n := range w.nodes {
		n.signal(syscall.SIGKILL)
	}
	_ = os.RemoveAll(dir)
	os.Exit(exitNotRun)
}

func (w *world) play(play func(w *world) (bool, error)) (bool, error) {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return false, err
	}
	defer os.RemoveAll(dir)
	if w.store, err = newStore(); err != nil {
		return false, err
	}
	zones := []string{"nbo-a", "nbo-b", "msa-a"}
	w.dir, w.zones = dir, zones
	if w.group, err = newGroup("books", zones, w.store, w.rec); err != nil {
		return false, err
	}
	w.store.failover = func(_, id, holder, token string) int { return w.group.failover(id, holder, token) }
	w.store.put("op", "config", []byte(config))
	w.nodes, err = startNodes(dir, w.store.address, zones, w.rec)
	defer func() {
		for _, n := range w.nodes {
			n.kill()
		}
	}()
	if err != nil {
		keepLogs(dir, w.nodes, w.rec, "")
		return errors.Is(err, errEnded) && w.startOnly, err
	}
	go w.endEarly(dir)
	time.Sleep(2 * time.Second)
	broken, err := play(w)
	keepLogs(dir, w.nodes, w.rec, `"kind":"promotion"`, `"kind":"suspicion"`, `"kind":"leaving"`, `"kind":"drain"`, `"level":"error"`)
	return broken, err
}

// restart starts a proxy that has ended, and waits until it is ready.
func (w *world) restart(i int) error {
	if err := w.nodes[i].run(w.dir, w.store.address, w.zones[i], w.nodes); err != nil {
		return err
	}
	return w.nodes[i].awaitReady()
}
