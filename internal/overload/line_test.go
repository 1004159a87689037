package overload

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// large is a value that makes a message large.
var large = strings.Repeat("x", largeBytes)

func httpOK(address, path string) bool {
	h := &http.Client{Timeout: answerTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := h.Get("http://" + address + path)
	if err != nil {
		return false
	}
	return resp.Body.Close() == nil && resp.StatusCode == http.StatusOK
}

// TestLargeMessages guards against memory that grows with the number of large messages which arrive at once.
func TestLargeMessages(t *testing.T) {
	f := startFleet(qt.New(t), 1)
	f.crowdSessions(150, func(k *line) { _ = k.run("READ " + large) })
	f.assertServes()
}

// TestLargeMessagesInPieces guards against memory that grows with the number of messages which arrive in pieces and stop half-way.
func TestLargeMessagesInPieces(t *testing.T) {
	f := startFleet(qt.New(t), 1)
	f.crowdSessions(150, func(k *line) { _ = send(k.conn, "QUERY q1 READ "+large, 10_000) })
	f.assertServes()
}

// TestMessagesByteByByte guards against a caller that sends a legal message byte by byte and gets no answer.
func TestMessagesByteByByte(t *testing.T) {
	c := qt.New(t)
	f := startFleet(c, 1)
	f.crowdSessions(50, func(k *line) {
		var err error
		for range attempts {
			c.Check(send(k.conn, "QUERY q1 READ item"+strings.Repeat("x", 2000)+"\r\n", 1), qt.IsNil)
			// A group that is full refuses whole messages as well.
			if err = k.awaitReady(); err == nil || !strings.HasPrefix(err.Error(), "ERROR BUSY") {
				break
			}
			time.Sleep(100 * time.Millisecond)
		}
		c.Check(err, qt.IsNil)
	})
	f.assertServes()
}

// TestLargestMessage guards against a limit that a single message within the protocol's limits meets.
func TestLargestMessage(t *testing.T) {
	c := qt.New(t)
	f := startFleet(c, 1)
	k, err := f.dial()
	c.Assert(err, qt.IsNil)
	defer k.close()
	text := "READ " + strings.Repeat("x", 1<<20-len("QUERY q1 READ \r\n"))
	c.Assert(k.run(text), qt.IsNil)
	c.Assert(k.run("READ item"), qt.IsNil)
	f.assertServes()
}

// TestMessagesOverLimit guards against memory that grows with a message far over the limit, with and without an end of line.
func TestMessagesOverLimit(t *testing.T) {
	f := startFleet(qt.New(t), 1)
	for _, end := range []string{"", "\r\n"} {
		f.crowdSessions(20, func(k *line) { _ = send(k.conn, "QUERY q1 READ "+strings.Repeat(large, 8)+end, 1<<20) })
	}
	f.assertServes()
}

// pipeline sends many reads of a large item ahead and reads no answer. It returns the sessions.
func (f *fleet) pipeline(callers int) []*line {
	f.c.Helper()
	k, err := f.dial()
	f.c.Assert(err, qt.IsNil)
	f.c.Assert(k.run("WRITE large "+large), qt.IsNil)
	k.close()
	var mu sync.Mutex
	var ks []*line
	f.crowdSessions(callers, func(k *line) {
		_ = send(k.conn, strings.Repeat("QUERY q1 READ large\r\n", 3000), 1<<20)
		mu.Lock()
		defer mu.Unlock()
		ks = append(ks, k)
	})
	time.Sleep(time.Second)
	return ks
}

// TestPipelinedMessages guards against server connections that wait for callers which send messages ahead and read no answer.
func TestPipelinedMessages(t *testing.T) {
	f := startFleet(qt.New(t), 1)
	f.pipeline(20)
	f.assertServes()
}

// TestSlowReaders guards against memory and server connections that are held by callers which read one byte per second.
func TestSlowReaders(t *testing.T) {
	f := startFleet(qt.New(t), 1)
	ks := f.pipeline(100)
	for range 3 {
		crowd(len(ks), func(i int) {
			_ = ks[i].conn.SetReadDeadline(time.Now().Add(time.Second))
			_, _ = ks[i].conn.Read(make([]byte, 1))
		})
		time.Sleep(time.Second)
		f.assertServes()
	}
}

// TestUnfinishedStartups guards against descriptors that are used up by callers which never finish STARTUP.
func TestUnfinishedStartups(t *testing.T) {
	f := startFleet(qt.New(t), 1)
	crowdOf(f.c, crowdConns, f.nodes[0].address("listen"), "STARTUP led")
	f.assertServes()
}

// TestHalfMessagesAndLeave guards against memory and descriptors that callers leave behind which stop half-way and disconnect.
func TestHalfMessagesAndLeave(t *testing.T) {
	f := startFleet(qt.New(t), 1)
	for range 5 {
		crowd(100, func(int) {
			if k, err := f.dial(); err == nil {
				_ = send(k.conn, "QUERY q1 READ "+large[:1000], 1<<20)
				k.close()
			}
		})
	}
	f.assertServes()
}

// setLarge sets or prepares large values in a crowd of sessions and then reads with them.
func (f *fleet) setLarge(statement string) {
	f.c.Helper()
	f.crowdSessions(10, func(k *line) {
		for i := range 40 {
			if k.run(fmt.Sprintf(statement, i)+large[:400_000]) != nil {
				break
			}
		}
		_ = k.run("READ item")
		_ = k.run("EXECUTE p0 item")
	})
}

// TestSessionValues guards against sessions that keep as many large values as they like.
func TestSessionValues(t *testing.T) {
	f := startFleet(qt.New(t), 1)
	f.setLarge("SET v%d ")
	f.assertServes()
}

// TestPreparedStatements guards against sessions that keep as many large prepared statements as they like.
func TestPreparedStatements(t *testing.T) {
	f := startFleet(qt.New(t), 1)
	f.setLarge("PREPARE p%d READ ")
	f.assertServes()
}

// TestSessionValuesThroughDispatcher guards against a session whose values close the link to the dispatcher for all callers.
func TestSessionValuesThroughDispatcher(t *testing.T) {
	f := startFleet(qt.New(t), 2)
	f.setLarge("SET v%d ")
	f.assertServes()
}

// TestLargeMessagesThroughDispatcher guards against large messages that use up the memory of a dispatcher.
func TestLargeMessagesThroughDispatcher(t *testing.T) {
	f := startFleet(qt.New(t), 2)
	f.crowdSessions(150, func(k *line) { _ = k.run("READ " + large) })
	f.assertServes()
}

// TestSlowReadersThroughDispatcher guards against answers that are not read and use up the memory of either node.
func TestSlowReadersThroughDispatcher(t *testing.T) {
	f := startFleet(qt.New(t), 2)
	f.pipeline(100)
	f.assertServes()
}

// TestHTTPConnections guards against descriptors that are used up by connections to the status and readiness addresses.
func TestHTTPConnections(t *testing.T) {
	f := startFleet(qt.New(t), 1)
	for _, k := range []string{"status", "ready"} {
		crowdOf(f.c, crowdConns/2, f.nodes[0].address(k), "GET /status HTTP/1.1\r\nHost: x\r\nX-A: ")
	}
	f.assertServes()
	waitUntil(f.c, "the readiness address", func() bool { return httpOK(f.nodes[0].address("ready"), "/readyz") })
	waitUntil(f.c, "the status address", func() bool { return httpOK(f.nodes[0].address("status"), "/status") })
}

// TestPeerConnections guards against descriptors that are used up by connections to the address for other nodes.
func TestPeerConnections(t *testing.T) {
	f := startFleet(qt.New(t), 1)
	crowdOf(f.c, crowdConns, f.nodes[0].address("peer"), "\x00\x01")
	f.assertServes()
}
