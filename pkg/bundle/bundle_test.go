package bundle_test

import (
	"crypto/ed25519"
	"encoding/base64"
	"fmt"
	"reflect"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"buckthornport.example/buckthornport/internal/jsonc"
	"buckthornport.example/buckthornport/pkg/bundle"
)

// signer is a named private key for signing bundles.
type signer struct {
	name    string
	private ed25519.PrivateKey
}

func newSigner(name string) signer {
	seed := make([]byte, ed25519.SeedSize)
	copy(seed, name)
	return signer{name: name, private: ed25519.NewKeyFromSeed(seed)}
}

func (s signer) key() bundle.Key {
	public := s.private.Public().(ed25519.PublicKey)
	return bundle.Key{Name: s.name, Public: base64.StdEncoding.EncodeToString(public)}
}

var (
	amina = newSigner("amina")
	brian = newSigner("brian")
	carol = newSigner("carol")
)

// exampleBundle returns the example bundle mvule with the keys of the signers; two signatures are required.
func exampleBundle(c *qt.C, version uint64, signers ...signer) bundle.Bundle {
	c.Helper()
	b, err := bundle.Parse("mvule", bundle.Example("mvule"))
	c.Assert(err, qt.IsNil)
	b.Keys = nil
	for _, s := range signers {
		b.Keys = append(b.Keys, s.key())
	}
	return b.WithVersion(version)
}

// signBundle returns the bundle with a signature by each signer.
func signBundle(c *qt.C, b bundle.Bundle, signers ...signer) bundle.Signed {
	c.Helper()
	s, err := bundle.NewSigned(b)
	c.Assert(err, qt.IsNil)
	for _, k := range signers {
		s = s.WithSignature(k.name, k.private)
	}
	return s
}

func TestExamples(t *testing.T) {
	for _, name := range []string{"mvule", "market"} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			b, err := bundle.Parse(name, bundle.Example(name))
			c.Assert(err, qt.IsNil)
			c.Assert(b.Groups, qt.HasLen, 3)
		})
	}
}

func TestMistakes(t *testing.T) {
	text := string(bundle.Example("mvule"))
	for _, tt := range []struct{ name, old, new, want string }{
		{
			"unknown key", `"connections": 30,`, `"conections": 30,`,
			`mvule:13:7: groups\[0\].conections: unknown key; did you mean "connections"\?`,
		},
		{
			"wrong type", `"slots_per_server": 5`, `"slots_per_server": "five"`,
			`mvule:14:27: groups\[0\].slots_per_server: is a string; want a whole number`,
		},
		{
			"maximum age in a session-bound class", `"max_age_ms": 2000,`, `"max_age_ms": 2000, "session_bound": true,`,
			`.*a class with a maximum age cannot be session-bound.*`,
		},
		{
			"too few connections", `"connections": 30,`, `"connections": 2,`,
			`.*2 is below the minimum of one connection per server.*`,
		},
		{
			"more signatures than keys", `"signatures_needed": 2`, `"signatures_needed": 3`,
			`.*3 signatures of 2 keys would accept every bundle or none.*`,
		},
		{
			"unknown zone", `"zone": "mombasa"`, `"zone": "mombassa"`,
			`.*unknown zone "mombassa"; did you mean "mombasa"\?.*`,
		},
		{
			"lossy acknowledgement", `"not_repeatable": true,`, `"not_repeatable": true, "acknowledge_after": "term",`,
			`.*"term" can lose an acknowledged write.*`,
		},
		{"invalid JSON", `"version": 1,`, `"version" 1,`, `(?s)mvule:4:\d+: .*want JSON.*`},
	} {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			_, err := bundle.Parse("mvule", []byte(strings.Replace(text, tt.old, tt.new, 1)))
			var ms jsonc.ErrorList
			c.Assert(err, qt.ErrorAs, &ms)
			c.Assert(ms, qt.Any(qt.ErrorMatches), tt.want)
		})
	}
	t.Run("one error reports all mistakes", func(t *testing.T) {
		c := qt.New(t)
		broken := strings.Replace(strings.Replace(text, `"connections": 30,`, `"connections": 1,`, 1), `"deployment": "mvule",`, "", 1)
		_, err := bundle.Parse("mvule", []byte(broken))
		var ms jsonc.ErrorList
		c.Assert(err, qt.ErrorAs, &ms)
		c.Assert(ms, qt.HasLen, 2)
	})
}

func TestAccept(t *testing.T) {
	c := qt.New(t)
	current := exampleBundle(c, 3, amina, brian)
	next := exampleBundle(c, 4, amina, brian, carol)
	altered := signBundle(c, next, amina, brian)
	altered.Body = []byte(strings.Replace(string(altered.Body), `"connections":30`, `"connections":90`, 1))
	other := next
	other.Deployment = "market"
	for _, tt := range []struct {
		name string
		next bundle.Signed
		want string
	}{
		{"signed by both", signBundle(c, next, amina, brian), ""},
		{"one signature of two", signBundle(c, next, amina), ".*1 of 2 sign-offs needed are valid"},
		{"two signatures by one key", signBundle(c, next, amina, amina), ".*1 of 2.*"},
		{"signed by a key that only the new bundle lists", signBundle(c, next, amina, carol), ".*1 of 2.*"},
		{"altered after signing", altered, ".*0 of 2.*"},
		{"the same version", signBundle(c, current, amina, brian), ".*version 3 is in force"},
		{"an older version", signBundle(c, exampleBundle(c, 2, amina, brian), amina, brian), ".*version 3 is in force"},
		{"another deployment", signBundle(c, other, amina, brian), `.*it is of deployment "market"`},
		{"an empty bundle", bundle.Signed{Body: []byte(`{}`)}, "(?s).*refused.*"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			_, err := bundle.Accept(current, tt.next)
			if tt.want == "" {
				c.Assert(err, qt.IsNil)
				return
			}
			c.Assert(err, qt.ErrorMatches, tt.want)
		})
	}
}

func TestDiff(t *testing.T) {
	c := qt.New(t)
	before := exampleBundle(c, 1, amina, brian)
	g := before.Groups[0]
	g.Connections = 40
	g.Servers = append([]bundle.Server(nil), g.Servers...)
	g.Servers[1].Leaving = true
	g.Classes = append([]bundle.Class(nil), g.Classes...)
	g.Classes[1].MaxAgeMS = 500
	c.Assert(bundle.Diff(before, before.WithGroup(g)), qt.DeepEquals, []string{
		"confirm_a: all proxies together may open 40 connections instead of 30.",
		"confirm_a: server confirm_a-2 is marked as leaving and gets no new requests.",
		"confirm_a: class blotter now has a deadline of 2s, reads of data up to 500ms old, acknowledgement after \"replica\"; " +
			"it had a deadline of 2s, reads of data up to 2s old, acknowledgement after \"replica\".",
	})
	c.Assert(bundle.Diff(before, before), qt.HasLen, 0)
}

// eachField calls f for each field of a value, with a name for it. f may change the field; the change is taken back.
func eachField(name string, v reflect.Value, f func(name string, v reflect.Value)) {
	switch v.Kind() {
	case reflect.Struct:
		for i := range v.NumField() {
			eachField(name+"."+v.Type().Field(i).Name, v.Field(i), f)
		}
	case reflect.Slice, reflect.Array:
		for i := range v.Len() {
			eachField(fmt.Sprintf("%s[%d]", name, i), v.Index(i), f)
		}
	default:
		old := reflect.New(v.Type()).Elem()
		old.Set(v)
		f(name, v)
		v.Set(old)
	}
}

// changeField changes the value of a field.
func changeField(v reflect.Value) {
	switch v.Kind() {
	case reflect.String:
		v.SetString(v.String() + "x")
	case reflect.Bool:
		v.SetBool(!v.Bool())
	case reflect.Int:
		v.SetInt(v.Int() + 1)
	case reflect.Uint64, reflect.Uint8:
		v.SetUint(v.Uint() + 1)
	case reflect.Float64:
		v.SetFloat(v.Float() + 1)
	default:
		panic("no change of a " + v.Kind().String())
	}
}

// TestDiffNamesEachChange guards against a change that an operator signs and rolls out without having been told of it.
func TestDiffNamesEachChange(t *testing.T) {
	class := func() bundle.Class {
		return bundle.Class{Name: "c", Match: bundle.Match{Verbs: []string{"SELECT"}, Tables: []string{"t"}}}
	}
	full := func() bundle.Bundle {
		return bundle.Bundle{
			Deployment: "d", Version: 1, Zones: bundle.Zones{{Name: "z", Region: "r"}},
			Groups: []bundle.Group{{
				Name: "g", Servers: []bundle.Server{{Name: "s", Zone: "z", Address: "10.0.0.1:5432"}}, Classes: []bundle.Class{class()},
			}},
			Callers: []bundle.Caller{{User: "u", Databases: []string{"d"}}}, Keys: []bundle.Key{{Name: "k"}},
			Routes:  []bundle.Route{{Name: "r", Database: "d", Group: "g", Class: class()}},
			Tenants: []bundle.Tenant{{Name: "t", Keys: []bundle.KeyDigest{{}}, Rate: 1, Burst: 1}},
		}
	}
	after := full()
	eachField("Bundle", reflect.ValueOf(&after).Elem(), func(name string, v reflect.Value) {
		if name == "Bundle.Version" {
			return // each bundle has another one
		}
		t.Run(name, func(t *testing.T) {
			changeField(v)
			qt.Assert(t, bundle.Diff(full(), after), qt.Not(qt.HasLen), 0)
		})
	})
	t.Run("two changes of a server", func(t *testing.T) {
		after := full()
		after.Groups[0].Servers[0] = bundle.Server{Name: "s", Zone: "z", Address: "10.0.0.2:5432", Leaving: true}
		qt.Assert(t, bundle.Diff(full(), after), qt.HasLen, 2)
	})
	t.Run("two changes of a user", func(t *testing.T) {
		after := full()
		after.Callers[0] = bundle.Caller{User: "u", Secret: "x", Databases: []string{"e"}}
		qt.Assert(t, bundle.Diff(full(), after), qt.HasLen, 2)
	})
	t.Run("another order of classes", func(t *testing.T) {
		before, after := full(), full()
		other := bundle.Class{Name: "other"}
		before.Groups[0].Classes = []bundle.Class{class(), other}
		after.Groups[0].Classes = []bundle.Class{other, class()}
		qt.Assert(t, bundle.Diff(before, after), qt.HasLen, 1)
	})
}

func FuzzParse(f *testing.F) {
	f.Add(bundle.Example("mvule"))
	f.Add([]byte("{"))
	f.Fuzz(func(t *testing.T, text []byte) {
		b, err := bundle.Parse("fuzz", text)
		if err != nil {
			return
		}
		canonical, err := b.Canonical()
		if err != nil {
			t.Fatal(err)
		}
		if _, err := bundle.Parse("fuzz", canonical); err != nil {
			t.Fatalf("Parse rejects the canonical bytes of a parsed bundle: %v", err)
		}
	})
}

func FuzzDecodeSigned(f *testing.F) {
	f.Add([]byte(`{"body":{},"signatures":[]}`))
	f.Fuzz(func(_ *testing.T, text []byte) {
		if s, err := bundle.DecodeSigned(text); err == nil {
			_, _ = bundle.Accept(bundle.Bundle{Version: 1}, s)
		}
	})
}
