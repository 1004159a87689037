package session_test

import (
	"flag"
	"fmt"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"buckthornport.example/buckthornport/pkg/session"
)

// init fixes the seed of rapid, so that all runs draw the same values. The command line can override it.
func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}

var key = []byte("0123456789abcdef")

func newSigner(c *qt.C, key []byte) *session.Signer {
	c.Helper()
	s, err := session.NewSigner(key)
	c.Assert(err, qt.IsNil)
	return s
}

func ExampleSigner() {
	s, _ := session.NewSigner([]byte("a secret of 16 b"))
	text, _ := s.Sign(session.Token{Database: "ledger", Floor: session.Position{Term: 3, Offset: 120}})
	token, _ := s.Verify(text)
	fmt.Println(token.Database, token.Floor)
	// Output: ledger 3/120
}

func TestToken(t *testing.T) {
	c := qt.New(t)
	s := newSigner(c, key)
	text, err := s.Sign(session.Token{Database: "ledger", Floor: session.Position{Term: 1, Offset: 2}})
	c.Assert(err, qt.IsNil)
	for _, k := range []struct{ name, text, part string }{
		{"altered body", strings.Replace(text, ".", ".x", 1), "mac"},
		{"altered mac", text + "x", "mac"},
		{"no token", "hello", "form"},
		{"empty", "", "form"},
		{"too long", strings.Repeat("x", 5000), "length"},
	} {
		t.Run(k.name, func(t *testing.T) {
			c := qt.New(t)
			_, err := s.Verify(k.text)
			var te *session.TokenError
			c.Assert(err, qt.ErrorAs, &te)
			c.Assert(te.Part, qt.Equals, k.part)
		})
	}
	t.Run("another key", func(t *testing.T) {
		c := qt.New(t)
		_, err := newSigner(c, []byte("fedcba9876543210")).Verify(text)
		c.Assert(err, qt.ErrorMatches, "session token: mac: .*")
	})
	t.Run("short key", func(t *testing.T) {
		c := qt.New(t)
		_, err := session.NewSigner([]byte("short"))
		c.Assert(err, qt.ErrorMatches, "session token: key: .*")
	})
}

func drawPosition(t *rapid.T, name string) session.Position {
	return session.Position{
		Term: rapid.Uint64Range(0, 5).Draw(t, name+"_term"), Offset: rapid.Uint64Range(0, 20).Draw(t, name+"_offset"),
	}
}

func TestPositionProperties(t *testing.T) {
	t.Run("total order", func(t *testing.T) {
		rapid.Check(t, func(t *rapid.T) {
			a, b := drawPosition(t, "a"), drawPosition(t, "b")
			if a.Compare(b) != -b.Compare(a) || !a.Max(b).Covers(a) || !a.Max(b).Covers(b) {
				t.Fatalf("positions %v and %v are not ordered consistently", a, b)
			}
		})
	})
	t.Run("parsing reverses printing", func(t *testing.T) {
		rapid.Check(t, func(t *rapid.T) {
			a := drawPosition(t, "a")
			if b, err := session.ParsePosition(a.String()); err != nil || a != b {
				t.Fatalf("position %v was parsed as %v, error %v", a, b, err)
			}
		})
	})
}

func TestDroppedBy(t *testing.T) {
	forks := []session.Fork{{Term: 1, Start: 0}, {Term: 3, Start: 10}, {Term: 4, Start: 20}}
	for _, k := range []struct {
		name string
		p    session.Position
		lost bool
	}{
		{"in the first term, before the fork", session.Position{Term: 1, Offset: 10}, false},
		{"in the first term, after the fork", session.Position{Term: 1, Offset: 11}, true},
		{"in a term of the history", session.Position{Term: 3, Offset: 15}, false},
		{"in a term that no later term continues", session.Position{Term: 2, Offset: 5}, true},
		{"after the next fork", session.Position{Term: 3, Offset: 21}, true},
		{"in a term later than all forks", session.Position{Term: 9, Offset: 99}, false},
	} {
		t.Run(k.name, func(t *testing.T) {
			c := qt.New(t)
			_, lost := session.DroppedBy(k.p, forks)
			c.Assert(lost, qt.Equals, k.lost)
		})
	}
}

func FuzzVerify(f *testing.F) {
	s, err := session.NewSigner(key)
	if err != nil {
		f.Fatal(err)
	}
	good, err := s.Sign(session.Token{Database: "ledger"})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(good)
	f.Add("bp1..")
	f.Fuzz(func(t *testing.T, text string) {
		token, err := s.Verify(text)
		if err != nil {
			return
		}
		again, err := s.Sign(token)
		if err != nil || again != text {
			t.Fatalf("Verify accepted %q, but Sign returns %q", text, again)
		}
	})
}

func FuzzParsePosition(f *testing.F) {
	f.Add("1/2")
	f.Fuzz(func(t *testing.T, text string) {
		if p, err := session.ParsePosition(text); err == nil {
			if q, err := session.ParsePosition(p.String()); err != nil || p != q {
				t.Fatalf("%q was parsed as %v, whose text was parsed as %v", text, p, q)
			}
		}
	})
}
