package traffic

import (
	"context"
	"fmt"
	"net"
	"os"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
)

const (
	// retransmissionTime is when TCP sends a lost handshake packet again.
	retransmissionTime = time.Second
	// connectTarget is half of what a peer that has just started would wait for the retransmission at worst.
	connectTarget = retransmissionTime / 2
)

// startingPeer answers handshakes after downTime, within roundTrip.
type startingPeer struct {
	downTime  time.Duration
	roundTrip time.Duration
	refuses   bool
}

// dial waits like the operating system: a packet that is lost is sent again after retransmissionTime.
func (p startingPeer) dial(ctx context.Context, upAt time.Time) (net.Conn, error) {
	for {
		wait, answered := retransmissionTime, !time.Now().Before(upAt)
		if answered {
			wait = p.roundTrip
		}
		select {
		case <-ctx.Done():
			return nil, os.ErrDeadlineExceeded
		case <-time.After(wait):
		}
		switch {
		case answered && p.refuses:
			return nil, syscall.ECONNREFUSED
		case answered:
			return &net.TCPConn{}, nil
		}
	}
}

// assertDial dials a peer and checks the error, and that the dial takes at most the given time after the peer is up.
func assertDial(t *testing.T, p startingPeer, limit time.Duration, want error) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		upAt := time.Now().Add(p.downTime)
		dial := func(ctx context.Context, _, _ string) (net.Conn, error) { return p.dial(ctx, upAt) }
		_, err := dialAgain(t.Context(), dial, "tcp", "peer")
		qt.Check(t, err, qt.Equals, want)
		qt.Check(t, time.Since(upAt) <= limit, qt.IsTrue, qt.Commentf("%v after the peer was up", time.Since(upAt)))
	})
}

// TestDial guards against nodes that come back one after the other and wait for each other for a second, because the first packet
// to a node that is still down is lost.
func TestDial(t *testing.T) {
	for _, down := range []time.Duration{0, 50, 170, 300, 600, 900, 1200} {
		down *= time.Millisecond
		t.Run(fmt.Sprintf("a peer that starts %v later", down), func(t *testing.T) {
			assertDial(t, startingPeer{downTime: down, roundTrip: 2 * time.Millisecond}, connectTarget, nil)
		})
	}
	t.Run("a distant peer", func(t *testing.T) {
		const roundTrip = 240 * time.Millisecond
		assertDial(t, startingPeer{roundTrip: roundTrip}, roundTrip, nil)
	})
	t.Run("a peer behind a slow link", func(t *testing.T) {
		assertDial(t, startingPeer{roundTrip: 350 * time.Millisecond}, maxDialTime, nil)
	})
	t.Run("a peer that refuses", func(t *testing.T) {
		assertDial(t, startingPeer{roundTrip: time.Millisecond, refuses: true}, time.Millisecond, syscall.ECONNREFUSED)
	})
	t.Run("a peer that stays down", func(t *testing.T) {
		assertDial(t, startingPeer{downTime: time.Hour}, 0, os.ErrDeadlineExceeded)
	})
}
