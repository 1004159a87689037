package load

import (
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

func TestBuiltinScenarios(t *testing.T) {
	for _, n := range BuiltinNames() {
		t.Run(n, func(t *testing.T) {
			c := qt.New(t)
			text, ok := Builtin(n)
			c.Assert(ok, qt.IsTrue)
			s, err := ParseScenario(n, text)
			c.Assert(err, qt.IsNil)
			c.Assert(s.Name, qt.Equals, n)
			c.Assert(slices.Equal(s.arrivals(1), s.arrivals(1)), qt.IsTrue, qt.Commentf("arrivals differ for the same seed"))
		})
	}
}

func TestRate(t *testing.T) {
	c := qt.New(t)
	s := Stream{Profile: []RatePoint{{0, 10}, {1000, 10}, {3000, 110}}}
	c.Assert(s.rate(500*time.Millisecond), qt.Equals, 10.0)
	c.Assert(s.rate(2*time.Second), qt.Equals, 60.0)
	c.Assert(s.rate(9*time.Second), qt.Equals, 110.0)
}

func TestTableOf(t *testing.T) {
	c := qt.New(t)
	c.Assert(tableOf("insert into affirmations (tag) values ($1)"), qt.Equals, "affirmations")
}
