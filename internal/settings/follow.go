package settings

import (
	"context"
	"os"
	"time"

	"github.com/gravitational/trace"
)

// PollInterval is the time between reads of a settings file, which may change without a signal.
const PollInterval = 5 * time.Second

// A reading is what was found in place of a settings file.
type reading struct {
	content    string
	unreadable bool
}

// Follow calls reload with the content of a settings file on each signal, and when polls find another content than last time, until
// the context ends. The process has started with the content current. An error of read is passed on to reload. What a poll finds
// counts only when the next poll finds the same, because a file may be read while it is being written; a signal says that it is
// complete.
func Follow(ctx context.Context, current []byte, read func() ([]byte, error), signals <-chan os.Signal, polls <-chan time.Time,
	reload func(source []byte, err error),
) {
	known := reading{content: string(current)}
	found := known
	for {
		signaled := false
		select {
		case <-ctx.Done():
			return
		case <-signals:
			signaled = true
		case <-polls:
		}
		source, err := read()
		last := found
		found = reading{content: string(source), unreadable: err != nil}
		if signaled || found == last && found != known {
			known = found
			reload(source, trace.ConvertSystemError(err))
		}
	}
}
