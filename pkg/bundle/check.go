package bundle

import (
	"crypto/ed25519"
	"encoding/base64"
	"fmt"
	"net/netip"
	"slices"

	"buckthornport.example/buckthornport/internal/jsonc"
)

// WarmMinimum is the number of connections that a group must allow so that each of its servers can have one warm.
const WarmMinimum = 3

// Parse reads a bundle from JSON with comments; its error is a jsonc.Mistakes that names every mistake found.
func Parse(file string, source []byte) (Bundle, error) {
	var b Bundle
	t := jsonc.Decode(file, source, &b)
	c := checker{text: t, bundle: b}
	c.run()
	if err := t.Err(); err != nil {
		return Bundle{}, err
	}
	return b, nil
}

type checker struct {
	text   *jsonc.Document
	bundle Bundle
}

func (c *checker) run() {
	b := c.bundle
	if b.Deployment == "" {
		c.text.AddError("deployment", "is missing", "want the deployment's name")
	}
	zones := make([]string, 0, len(b.Zones))
	for i, z := range b.Zones {
		c.fresh(fmt.Sprintf("zones[%d].name", i), z.Name, zones)
		zones = append(zones, z.Name)
	}
	groups := make([]string, 0, len(b.Groups))
	for i, g := range b.Groups {
		at := fmt.Sprintf("groups[%d]", i)
		c.fresh(at+".name", g.Name, groups)
		groups = append(groups, g.Name)
		c.group(at, g, zones)
	}
	if len(groups) == 0 {
		c.text.AddError("groups", "names no database group", "want at least one")
	}
	c.servers()
	c.callers(groups)
	c.keys()
}

// fresh notes a name that is empty or already taken.
func (c *checker) fresh(path, name string, taken []string) {
	if name == "" {
		c.text.AddError(path, "is missing", "want a name")
	}
	if slices.Contains(taken, name) {
		c.text.AddError(path, fmt.Sprintf("%q is named twice", name), "want each name once")
	}
}

func (c *checker) group(at string, g Group, zones []string) {
	if g.Connections < WarmMinimum {
		c.text.AddError(at+".connections", fmt.Sprintf("%d is below the warm minimum", g.Connections),
			fmt.Sprintf("want at least %d", WarmMinimum))
	}
	if g.SlotsPerServer < 1 {
		c.text.AddError(at+".slots_per_server", "leaves no slot for work", "want at least 1")
	}
	if len(g.Servers) < 3 || len(g.Servers)%2 == 0 {
		c.text.AddError(at+".servers", fmt.Sprintf("%d servers give no safe majority", len(g.Servers)),
			"want an odd number of at least 3")
	}
	for i, s := range g.Servers {
		c.server(fmt.Sprintf("%s.servers[%d]", at, i), s, zones)
	}
	for i, k := range g.Classes {
		c.class(fmt.Sprintf("%s.classes[%d]", at, i), k)
	}
}

func (c *checker) server(at string, s Server, zones []string) {
	if _, err := netip.ParseAddrPort(s.Address); err != nil {
		c.text.AddError(at+".address", fmt.Sprintf("%q is no address", s.Address), "want IP:PORT")
	}
	if !slices.Contains(zones, s.Zone) {
		want := "want one of the bundle's zones"
		if n := jsonc.Nearest(s.Zone, zones); n != "" {
			want = fmt.Sprintf("did you mean %q?", n)
		}
		c.text.AddError(at+".zone", fmt.Sprintf("no zone %q", s.Zone), want)
	}
}

// servers notes names and addresses that two servers share.
func (c *checker) servers() {
	var names, addresses []string
	for i, g := range c.bundle.Groups {
		for j, s := range g.Servers {
			at := fmt.Sprintf("groups[%d].servers[%d]", i, j)
			c.fresh(at+".name", s.Name, names)
			c.fresh(at+".address", s.Address, addresses)
			names = append(names, s.Name)
			addresses = append(addresses, s.Address)
		}
	}
}

var verbs = []string{"select", "insert", "update", "delete", "merge", "call", "other"}

func (c *checker) class(at string, k Class) {
	if k.Name == "" {
		c.text.AddError(at+".name", "is missing", "want a name")
	}
	if k.MaxAgeMS > 0 && k.SessionBound {
		c.text.AddError(at+".max_age_ms", "a class cannot accept stale data and be session-bound",
			"remove max_age_ms or session_bound")
	}
	if k.MaxAgeMS > 0 && k.NotRepeatable {
		c.text.AddError(at+".not_repeatable", "a stale read needs no protection against repeats", "remove one of them")
	}
	if k.AcknowledgeAfter != "" && k.AcknowledgeAfter != AckTerm && k.AcknowledgeAfter != AckReplica {
		c.text.AddError(at+".acknowledge_after", fmt.Sprintf("%q is unknown", k.AcknowledgeAfter),
			`want "term" or "replica"`)
	}
	if k.NotRepeatable && k.AcknowledgeAfter == AckTerm {
		c.text.AddError(at+".acknowledge_after", "term alone can lose a write that is not repeatable", `want "replica"`)
	}
	for i, v := range k.Match.Verbs {
		if !slices.Contains(verbs, v) {
			c.text.AddError(fmt.Sprintf("%s.match.verbs[%d]", at, i), fmt.Sprintf("%q is no verb", v),
				fmt.Sprintf("want one of %v", verbs))
		}
	}
}

func (c *checker) callers(groups []string) {
	var users []string
	for i, k := range c.bundle.Callers {
		at := fmt.Sprintf("callers[%d]", i)
		c.fresh(at+".user", k.User, users)
		users = append(users, k.User)
		for j, d := range k.Databases {
			if !slices.Contains(groups, d) {
				c.text.AddError(fmt.Sprintf("%s.databases[%d]", at, j), fmt.Sprintf("no group %q", d),
					"want the name of a group")
			}
		}
	}
}

func (c *checker) keys() {
	var names []string
	for i, k := range c.bundle.Keys {
		at := fmt.Sprintf("keys[%d]", i)
		c.fresh(at+".name", k.Name, names)
		names = append(names, k.Name)
		if raw, err := base64.StdEncoding.DecodeString(k.Public); err != nil || len(raw) != ed25519.PublicKeySize {
			c.text.AddError(at+".public", "is no ed25519 public key", "want 32 bytes in base64")
		}
	}
	n := c.bundle.SignaturesNeeded
	if n < 1 || n > len(names) {
		c.text.AddError("signatures_needed", fmt.Sprintf("%d of %d keys locks everyone out, or nobody", n, len(names)),
			"want at least 1 and at most the number of keys")
	}
}
