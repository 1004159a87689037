package traffic_test

import (
	"context"
	"errors"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"buckthornport.example/buckthornport/internal/caller"
	"buckthornport.example/buckthornport/internal/dispatcher"
	"buckthornport.example/buckthornport/internal/operator"
	"buckthornport.example/buckthornport/internal/tick"
	"buckthornport.example/buckthornport/internal/traffic"
	"buckthornport.example/buckthornport/pkg/bundle"
)

// relayTest runs a relay with the dispatchers "near", whose link takes no request, and "far", whose link passes them to forwarded.
type relayTest struct {
	relay     *traffic.Relay
	forwarded chan dispatcher.Job
	refused   chan caller.Refuse
}

func newRelayTest(c *qt.C) *relayTest {
	d, err := dispatcher.NewRelay()
	c.Assert(err, qt.IsNil)
	ctx, stop := context.WithCancel(context.Background())
	h := &relayTest{forwarded: make(chan dispatcher.Job, 1), refused: make(chan caller.Refuse, 1)}
	r := traffic.NewRelay(ctx, tick.NewClock(), d)
	r.WriteAuditRecord = func(operator.Record) {}
	r.DialFailed = func(string, error) {}
	r.RequestPayload = func(caller.SessionID, uint64) (dispatcher.Payload, bool) { return dispatcher.Payload{}, true }
	r.Callers = traffic.Callers{Refuse: func(a caller.Refuse) { h.refused <- a }}
	r.Dial = func(_ context.Context, peer string, _ traffic.LinkHandler) (traffic.Link, error) {
		return traffic.Link{
			Serve: func() { <-ctx.Done() }, Close: func() {},
			Forward: func(j dispatcher.Job) bool {
				if peer == "near" {
					return false
				}
				h.forwarded <- j
				return true
			},
		}, nil
	}
	h.relay = r
	done := make(chan error, 1)
	go func() { done <- r.Run() }()
	c.Cleanup(func() {
		stop()
		c.Assert(errors.Is(<-done, context.Canceled), qt.IsTrue)
	})
	return h
}

// TestUnsentRequest guards against a write that is answered as in doubt although its link never took it.
func TestUnsentRequest(t *testing.T) {
	c := qt.New(t)
	h := newRelayTest(c)
	h.relay.Post(dispatcher.DispatchersAssigned{Group: "g", Peers: []string{"near", "far"}})
	h.relay.Post(dispatcher.SessionOpened{Session: 1, Group: "g"})
	for !h.relay.IsConnected("near") {
		time.Sleep(time.Millisecond)
	}
	h.relay.Post(caller.RequestReceived{Session: 1, Seq: 1, Statement: caller.Statement{
		Kind: caller.KindWrite, Class: bundle.Class{Name: "c", DeadlineMS: 2000},
	}})
	select {
	case j := <-h.forwarded:
		c.Assert(j.Seq, qt.Equals, uint64(1))
	case a := <-h.refused:
		c.Fatalf("refused: %v", a.Refusal)
	}
}
