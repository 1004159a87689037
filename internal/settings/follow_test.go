package settings_test

import (
	"context"
	"errors"
	"os"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"buckthornport.example/buckthornport/internal/settings"
)

// An event makes the follower read the file: a signal, or a poll.
type event struct {
	signal bool
	finds  string // the content, or unreadable
}

const unreadable = "an error"

// reloads follows a file with the content "a" through the events.
func reloads(events []event) []string {
	var got []string
	ctx, stop := context.WithCancel(context.Background())
	signals, polls, finds, ended := make(chan os.Signal), make(chan time.Time), make(chan string), make(chan struct{})
	read := func() ([]byte, error) {
		if content := <-finds; content != unreadable {
			return []byte(content), nil
		}
		return nil, errors.New(unreadable)
	}
	go func() {
		defer close(ended)
		settings.Follow(ctx, []byte("a"), read, signals, polls, func(source []byte, err error) {
			if err != nil {
				source = []byte(unreadable)
			}
			got = append(got, string(source))
		})
	}()
	for _, e := range events {
		if e.signal {
			signals <- syscall.SIGHUP
		} else {
			polls <- time.Time{}
		}
		finds <- e.finds
	}
	stop()
	<-ended
	return got
}

func TestFollow(t *testing.T) {
	for _, tc := range []struct {
		name   string
		events []event
		want   []string
	}{
		{"polls of an unchanged file", []event{{false, "a"}, {false, "a"}}, nil},
		{"a signal reloads an unchanged file", []event{{true, "a"}, {false, "a"}, {false, "a"}}, []string{"a"}},
		{"a signal reloads a changed file at once", []event{{true, "bc"}, {false, "bc"}, {false, "bc"}}, []string{"bc"}},
		{"polls find a change, once", []event{{false, "bc"}, {false, "bc"}, {false, "bc"}, {false, "bc"}}, []string{"bc"}},
		{"a file that is being written", []event{{false, ""}, {false, "b"}, {false, "bc"}, {false, "bc"}}, []string{"bc"}},
		{"a signal while it is written", []event{{true, "b"}, {false, "bc"}, {false, "bc"}}, []string{"b", "bc"}},
		{"a change taken back", []event{{false, "bc"}, {false, "a"}, {false, "bc"}, {false, "a"}, {false, "a"}}, nil},
		{"an unreadable file", []event{{false, unreadable}, {false, unreadable}, {false, unreadable}}, []string{unreadable}},
		{"an unreadable file returns", []event{{true, unreadable}, {false, "a"}, {false, "a"}}, []string{unreadable, "a"}},
		{"a file that is replaced", []event{{false, unreadable}, {false, "a"}, {false, "a"}}, nil},
	} {
		t.Run(tc.name, func(t *testing.T) { qt.Assert(t, reloads(tc.events), qt.DeepEquals, tc.want) })
	}
}
