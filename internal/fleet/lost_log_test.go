package fleet

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"buckthornport.example/buckthornport/internal/standin/metadata"
)

// lostLogTime is longer than a node takes to promote a replica of a group whose primary has failed.
const lostLogTime = 6 * time.Second

// writeBeyond has replica 1 of the group receive nothing, and writes entries that only replica 2 receives.
func writeBeyond(c *qt.C, d *deployment) {
	c.Helper()
	time.Sleep(3 * time.Second) // The nodes promote nobody until the list of servers has settled.
	d.platform.ChangeServer("books", 1, metadata.StopReceiving(true))
	s := connect(c, d.nodes[0], "ledger")
	for i := range 20 {
		assertAnswers(s, fmt.Sprintf("WRITE a %d", i), nil, "I")
	}
}

// pressWrites sends writes from every node while no replica can receive them, and ignores their outcomes.
func pressWrites(c *qt.C, d *deployment) {
	for i := range d.nodes {
		s := connect(c, d.nodes[i], "ledger")
		go func() { _, _ = fmt.Fprintf(s.conn, "QUERY press%d WRITE press %d\r\n", i, i) }()
	}
}

// assertStaysPrimary checks for lostLogTime that no promotion drops acknowledged commits, and that the primary is not replaced.
func assertStaysPrimary(c *qt.C, d *deployment) {
	c.Helper()
	replaced := false
	for end := time.Now().Add(lostLogTime); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		n, _ := d.platform.Primary("books")
		replaced = replaced || n != 0
	}
	assertNoViolations(c, d)
	c.Assert(replaced, qt.IsFalse)
}

// TestLostLog guards against a promotion that drops acknowledged commits after the only replica that held them has lost its log
// (LOST, review/1 and review/2).
func TestLostLog(t *testing.T) {
	t.Run("removed while the primary runs", func(t *testing.T) {
		c := qt.New(t)
		d := startDeployment(c, 3)
		writeBeyond(c, d)
		d.platform.ChangeServer("books", 2, metadata.Down(true))
		d.platform.Delete("servers", "i-books-3")
		pressWrites(c, d)
		assertStaysPrimary(c, d)
		d.platform.ChangeServer("books", 1, metadata.StopReceiving(false))
		o := connect(c, d.nodes[1], "ledger")
		waitUntil(c, "writes are accepted again", func() bool {
			_, outcome := o.run("WRITE b 1")
			return outcome == "I"
		})
		assertAnswers(o, "READ a", []string{"19"}, "I")
		assertNoViolations(c, d)
	})
	t.Run("restarted while the primary is down", func(t *testing.T) {
		c := qt.New(t)
		d := startDeployment(c, 3)
		writeBeyond(c, d)
		d.platform.ChangeServer("books", 0, metadata.Down(true))
		d.platform.ChangeServer("books", 2, metadata.Down(true))
		time.Sleep(300 * time.Millisecond)
		d.platform.ChangeServer("books", 2, metadata.Restart())
		assertStaysPrimary(c, d)
		d.platform.ChangeServer("books", 0, metadata.Down(false))
		d.platform.ChangeServer("books", 1, metadata.StopReceiving(false))
		assertAnswers(connect(c, d.nodes[1], "ledger"), "READ a", []string{"19"}, "I")
		assertNoViolations(c, d)
	})
}
