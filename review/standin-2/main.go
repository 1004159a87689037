//go:build review

// Command standin-2 plays the cases of the second review: it starts the project's program against stand-ins of the platform, the
// servers and the callers, and checks one rule.
package main

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
)

// The results of a case, as exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

var errBroken = errors.New("the rule was broken")

var cases = map[string]func(h *harness) error{
	"leak":   playLeak,
	"reborn": playReborn,
	"unread": playUnread,
}

func main() {
	os.Exit(run(os.Args[1:]))
}

func run(args []string) int {
	if len(args) != 2 || cases[args[0]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin-2 CASE FOLDER")
		return exitNotRun
	}
	h, err := newHarness(filepath.Join(args[1], "record.txt"), os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer h.close()
	err = cases[args[0]](h)
	switch {
	case errors.Is(err, errBroken):
		h.record("BROKEN: %v", err)
		return exitBroken
	case err != nil:
		h.record("NOT RUN: %v", err)
		return exitNotRun
	}
	h.record("HELD")
	return exitHeld
}
