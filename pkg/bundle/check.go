package bundle

import (
	"crypto/ed25519"
	"encoding/base64"
	"fmt"
	"net/netip"
	"slices"

	"buckthornport.example/buckthornport/internal/jsonc"
)

// MinConnections is the smallest Connections of a group. It allows one open connection to each server of a group of three.
const MinConnections = 3

// Parse reads a bundle from JSON with comments. Its error is a jsonc.ErrorList with all mistakes and their positions in source.
func Parse(file string, source []byte) (Bundle, error) {
	var b Bundle
	d := jsonc.Decode(file, source, &b)
	c := checker{document: d, bundle: b}
	c.check()
	if err := d.Err(); err != nil {
		return Bundle{}, err
	}
	return b, nil
}

// checker collects the mistakes of a decoded bundle.
type checker struct {
	document *jsonc.Document
	bundle   Bundle
}

func (c *checker) check() {
	b := c.bundle
	if b.Deployment == "" {
		c.document.AddError("deployment", "is missing", "want the deployment's name")
	}
	zones := make([]string, 0, len(b.Zones))
	for i, z := range b.Zones {
		c.checkUnique(fmt.Sprintf("zones[%d].name", i), z.Name, zones)
		zones = append(zones, z.Name)
	}
	groups := make([]string, 0, len(b.Groups))
	for i, g := range b.Groups {
		at := fmt.Sprintf("groups[%d]", i)
		c.checkUnique(at+".name", g.Name, groups)
		groups = append(groups, g.Name)
		c.checkGroup(at, g, zones)
	}
	if len(groups) == 0 {
		c.document.AddError("groups", "lists no database group", "want at least one")
	}
	c.checkDuplicateServers()
	c.checkCallers(groups)
	c.checkTenants()
	c.checkKeys()
}

// checkUnique reports a value that is empty or already used.
func (c *checker) checkUnique(path, value string, used []string) {
	if value == "" {
		c.document.AddError(path, "is missing", "want a value")
	}
	if slices.Contains(used, value) {
		c.document.AddError(path, fmt.Sprintf("%q is used twice", value), "want each value once")
	}
}

func (c *checker) checkGroup(at string, g Group, zones []string) {
	if g.Connections < MinConnections {
		c.document.AddError(at+".connections", fmt.Sprintf("%d is below the minimum of one connection per server", g.Connections),
			fmt.Sprintf("want at least %d", MinConnections))
	}
	if g.SlotsPerServer < 1 {
		c.document.AddError(at+".slots_per_server", fmt.Sprintf("%d slots let no request run", g.SlotsPerServer), "want at least 1")
	}
	if len(g.Servers) < 3 || len(g.Servers)%2 == 0 {
		c.document.AddError(at+".servers", fmt.Sprintf("a group cannot have %d servers", len(g.Servers)),
			"want an odd number of at least 3, so that a majority survives the loss of one")
	}
	for i, s := range g.Servers {
		c.checkServer(fmt.Sprintf("%s.servers[%d]", at, i), s, zones)
	}
	for i, k := range g.Classes {
		c.checkClass(fmt.Sprintf("%s.classes[%d]", at, i), k)
	}
}

func (c *checker) checkServer(at string, s Server, zones []string) {
	if _, err := netip.ParseAddrPort(s.Address); err != nil {
		c.document.AddError(at+".address", fmt.Sprintf("%q is not an address", s.Address), "want IP:PORT")
	}
	if !slices.Contains(zones, s.Zone) {
		want := "want one of the bundle's zones"
		if n := jsonc.Nearest(s.Zone, zones); n != "" {
			want = fmt.Sprintf("did you mean %q?", n)
		}
		c.document.AddError(at+".zone", fmt.Sprintf("unknown zone %q", s.Zone), want)
	}
}

// checkDuplicateServers reports names and addresses that two servers share, also across groups.
func (c *checker) checkDuplicateServers() {
	var names, addresses []string
	for i, g := range c.bundle.Groups {
		for j, s := range g.Servers {
			at := fmt.Sprintf("groups[%d].servers[%d]", i, j)
			c.checkUnique(at+".name", s.Name, names)
			c.checkUnique(at+".address", s.Address, addresses)
			names = append(names, s.Name)
			addresses = append(addresses, s.Address)
		}
	}
}

var knownVerbs = []string{"select", "insert", "update", "delete", "merge", "call", "other"}

func (c *checker) checkClass(at string, k Class) {
	if k.Name == "" {
		c.document.AddError(at+".name", "is missing", "want a name")
	}
	if k.MaxAgeMS > 0 && k.SessionBound {
		c.document.AddError(at+".max_age_ms", "a class with a maximum age cannot be session-bound",
			"remove max_age_ms or session_bound")
	}
	if k.MaxAgeMS > 0 && k.NotRepeatable {
		c.document.AddError(at+".not_repeatable", "a class with a maximum age holds only reads, which are repeatable",
			"remove max_age_ms or not_repeatable")
	}
	if k.AcknowledgeAfter != "" && k.AcknowledgeAfter != AckTerm && k.AcknowledgeAfter != AckReplica {
		c.document.AddError(at+".acknowledge_after", fmt.Sprintf("%q is unknown", k.AcknowledgeAfter),
			`want "term" or "replica"`)
	}
	if k.NotRepeatable && k.AcknowledgeAfter == AckTerm {
		c.document.AddError(at+".acknowledge_after", `"term" can lose an acknowledged write, and this class is not repeatable`,
			`want "replica"`)
	}
	for i, v := range k.Match.Verbs {
		if !slices.Contains(knownVerbs, v) {
			c.document.AddError(fmt.Sprintf("%s.match.verbs[%d]", at, i), fmt.Sprintf("unknown verb %q", v),
				fmt.Sprintf("want one of %v", knownVerbs))
		}
	}
}

func (c *checker) checkCallers(groups []string) {
	var users []string
	for i, k := range c.bundle.Callers {
		at := fmt.Sprintf("callers[%d]", i)
		c.checkUnique(at+".user", k.User, users)
		users = append(users, k.User)
		for j, d := range k.Databases {
			if !slices.Contains(groups, d) {
				c.document.AddError(fmt.Sprintf("%s.databases[%d]", at, j), fmt.Sprintf("unknown group %q", d),
					"want the name of a group")
			}
		}
		if _, ok := c.bundle.Tenant(k.Tenant); k.Tenant != "" && !ok {
			c.document.AddError(at+".tenant", fmt.Sprintf("unknown tenant %q", k.Tenant), "want the name of a tenant")
		}
	}
}

func (c *checker) checkTenants() {
	t := NewTenantChecker()
	for i, v := range c.bundle.Tenants {
		if field, mistake := t.Check(v); mistake != "" {
			c.document.AddError(fmt.Sprintf("tenants[%d].%s", i, field), mistake, "want each name and key once, and numbers from zero")
		}
	}
}

func (c *checker) checkKeys() {
	var names []string
	for i, k := range c.bundle.Keys {
		at := fmt.Sprintf("keys[%d]", i)
		c.checkUnique(at+".name", k.Name, names)
		names = append(names, k.Name)
		if raw, err := base64.StdEncoding.DecodeString(k.Public); err != nil || len(raw) != ed25519.PublicKeySize {
			c.document.AddError(at+".public", "is not an ed25519 public key", "want 32 bytes in base64")
		}
	}
	n := c.bundle.SignaturesNeeded
	if n < 1 || n > len(names) {
		c.document.AddError("signatures_needed", fmt.Sprintf("%d signatures of %d keys would accept every bundle or none", n, len(names)),
			"want at least 1 and at most the number of keys")
	}
}
