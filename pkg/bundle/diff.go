package bundle

import (
	"fmt"
	"slices"
	"time"
)

// Diff describes the effects of replacing one bundle by another, in one English sentence per effect.
func Diff(before, after Bundle) []string {
	var out []string
	if before.Deployment != after.Deployment {
		out = append(out, fmt.Sprintf("The deployment is named %s instead of %s.", after.Deployment, before.Deployment))
	}
	out = append(out, diffZones(before.Zones, after.Zones)...)
	for _, g := range after.Groups {
		old, ok := before.Group(g.Name)
		if !ok {
			out = append(out, fmt.Sprintf("Database group %s is added.", g.Name))
			continue
		}
		out = append(out, diffGroup(old, g)...)
	}
	for _, g := range before.Groups {
		if _, ok := after.Group(g.Name); !ok {
			out = append(out, fmt.Sprintf("Database group %s is no longer served.", g.Name))
		}
	}
	out = append(out, diffRoutes(before.Routes, after.Routes)...)
	out = append(out, diffTenants(before, after)...)
	out = append(out, diffCallers(before, after)...)
	return append(out, diffKeys(before, after)...)
}

func diffZones(a, b Zones) []string {
	var out []string
	for _, z := range b {
		i := slices.IndexFunc(a, func(o Zone) bool { return o.Name == z.Name })
		switch {
		case i < 0:
			out = append(out, fmt.Sprintf("Zone %s of region %s is added.", z.Name, z.Region))
		case a[i].Region != z.Region:
			out = append(out, fmt.Sprintf("Zone %s belongs to region %s instead of %s.", z.Name, z.Region, a[i].Region))
		}
	}
	for _, z := range a {
		if !slices.ContainsFunc(b, func(o Zone) bool { return o.Name == z.Name }) {
			out = append(out, fmt.Sprintf("Zone %s is removed.", z.Name))
		}
	}
	return out
}

func diffRoutes(a, b []Route) []string {
	var out []string
	for _, r := range b {
		i := slices.IndexFunc(a, func(o Route) bool { return o.Name == r.Name })
		switch {
		case i < 0:
			out = append(out, fmt.Sprintf("Route %s is added: %s.", r.Name, r.describe()))
		case a[i].describe() != r.describe():
			out = append(out, fmt.Sprintf("Route %s is now: %s; it was: %s.", r.Name, r.describe(), a[i].describe()))
		}
	}
	for _, r := range a {
		if !slices.ContainsFunc(b, func(o Route) bool { return o.Name == r.Name }) {
			out = append(out, fmt.Sprintf("Route %s for database %s is removed.", r.Name, r.Database))
		}
	}
	return out
}

// describe returns the rules of the route as a phrase.
func (r Route) describe() string {
	access := ""
	if r.Public {
		access = ", without a key"
	}
	return fmt.Sprintf("database %s goes to group %s, class %s (%s) with %s%s", r.Database, r.Group, r.Class.Name,
		r.Class.Match.describe(), r.Class.describe(), access)
}

func diffTenants(before, after Bundle) []string {
	var out []string
	if before.KeysRequired != after.KeysRequired {
		need := map[bool]string{true: "need a tenant's key", false: "need no key any more"}
		out = append(out, fmt.Sprintf("Callers of routes that are not public %s.", need[after.KeysRequired]))
	}
	for _, t := range after.Tenants {
		old, ok := before.Tenant(t.Name)
		if !ok {
			out = append(out, fmt.Sprintf("Tenant %s is added with %d keys and %s.", t.Name, len(t.Keys), t.describeLimit()))
			continue
		}
		added, removed := countMissing(t.Keys, old.Keys), countMissing(old.Keys, t.Keys)
		if added+removed > 0 {
			out = append(out, fmt.Sprintf("Tenant %s: %d keys are added and %d withdrawn.", t.Name, added, removed))
		}
		if old.describeLimit() != t.describeLimit() {
			out = append(out, fmt.Sprintf("Tenant %s has %s instead of %s.", t.Name, t.describeLimit(), old.describeLimit()))
		}
	}
	for _, t := range before.Tenants {
		if _, ok := after.Tenant(t.Name); !ok {
			out = append(out, fmt.Sprintf("Tenant %s is removed with %d keys.", t.Name, len(t.Keys)))
		}
	}
	return out
}

// countMissing returns how many of the keys are not among the others.
func countMissing(keys, others []KeyDigest) int {
	n := 0
	for _, k := range keys {
		if !slices.Contains(others, k) {
			n++
		}
	}
	return n
}

func (t Tenant) describeLimit() string {
	if !t.Limited() {
		return "no limit"
	}
	return fmt.Sprintf("a limit of %v operations per second and a burst of %v", t.Rate, t.Burst)
}

func diffGroup(a, b Group) []string {
	var out []string
	if a.Connections != b.Connections {
		out = append(out, fmt.Sprintf("%s: all proxies together may open %d connections instead of %d.", b.Name, b.Connections,
			a.Connections))
	}
	if a.SlotsPerServer != b.SlotsPerServer {
		out = append(out, fmt.Sprintf("%s: each server runs %d requests at once instead of %d.", b.Name, b.SlotsPerServer,
			a.SlotsPerServer))
	}
	if a.ConnectionsPerServer != b.ConnectionsPerServer {
		out = append(out, fmt.Sprintf("%s: all proxies together may open %d connections to each server instead of %d.", b.Name,
			b.ConnectionsPerServer, a.ConnectionsPerServer))
	}
	return append(append(out, diffServers(a, b)...), diffClasses(a, b)...)
}

func diffServers(a, b Group) []string {
	var out []string
	for _, s := range b.Servers {
		i := slices.IndexFunc(a.Servers, func(o Server) bool { return o.Name == s.Name })
		if i < 0 {
			out = append(out, fmt.Sprintf("%s: server %s at %s is added.", b.Name, s.Name, s.Address))
			continue
		}
		old := a.Servers[i]
		switch {
		case s.Leaving && !old.Leaving:
			out = append(out, fmt.Sprintf("%s: server %s is marked as leaving and gets no new requests.", b.Name, s.Name))
		case old.Leaving && !s.Leaving:
			out = append(out, fmt.Sprintf("%s: server %s is no longer marked as leaving.", b.Name, s.Name))
		}
		if old.Address != s.Address || old.Zone != s.Zone {
			out = append(out, fmt.Sprintf("%s: server %s is now at %s in zone %s.", b.Name, s.Name, s.Address, s.Zone))
		}
	}
	for _, s := range a.Servers {
		if !slices.ContainsFunc(b.Servers, func(o Server) bool { return o.Name == s.Name }) {
			out = append(out, fmt.Sprintf("%s: server %s is no longer used.", b.Name, s.Name))
		}
	}
	return out
}

func diffClasses(a, b Group) []string {
	var out []string
	for _, k := range b.Classes {
		i := slices.IndexFunc(a.Classes, func(o Class) bool { return o.Name == k.Name })
		if i < 0 {
			out = append(out, fmt.Sprintf("%s: class %s (%s) is added; it has %s.", b.Name, k.Name, k.Match.describe(), k.describe()))
			continue
		}
		old := a.Classes[i]
		if old.Match.describe() != k.Match.describe() {
			out = append(out, fmt.Sprintf("%s: class %s matches %s instead of %s.", b.Name, k.Name, k.Match.describe(),
				old.Match.describe()))
		}
		if old.describe() != k.describe() {
			out = append(out, fmt.Sprintf("%s: class %s now has %s; it had %s.", b.Name, k.Name, k.describe(), old.describe()))
		}
	}
	for _, k := range a.Classes {
		if !slices.ContainsFunc(b.Classes, func(o Class) bool { return o.Name == k.Name }) {
			out = append(out, fmt.Sprintf("%s: class %s is removed; its requests go to the next class that matches.", b.Name, k.Name))
		}
	}
	if before, after := commonClasses(a, b), commonClasses(b, a); !slices.Equal(before, after) {
		out = append(out, fmt.Sprintf("%s: classes are tried in the order %v instead of %v.", b.Name, after, before))
	}
	return out
}

// commonClasses returns the names of a group's classes that another version of it has as well, in order.
func commonClasses(g, other Group) []string {
	var names []string
	for _, k := range g.Classes {
		if slices.ContainsFunc(other.Classes, func(o Class) bool { return o.Name == k.Name }) {
			names = append(names, k.Name)
		}
	}
	return names
}

// describe returns the verbs and tables as a phrase.
func (m Match) describe() string {
	return fmt.Sprintf("verbs %v, tables %v", m.Verbs, m.Tables)
}

// describe returns the rules of the class as a phrase that follows "has".
func (c Class) describe() string {
	s := fmt.Sprintf("a deadline of %v", c.Deadline())
	if c.MaxAgeMS > 0 {
		s += fmt.Sprintf(", reads of data up to %v old", c.MaxAge())
	} else {
		s += ", reads of current data"
	}
	if c.NotRepeatable {
		s += ", requests that run at most once"
	}
	if c.Long {
		s += ", long-running requests"
	}
	if c.SessionBound {
		s += ", requests bound to their session"
	}
	if c.Priority != 0 && c.Priority != DefaultPriority {
		s += fmt.Sprintf(", priority %d", c.Priority)
	}
	if c.IdleTransactionMS > 0 {
		s += fmt.Sprintf(", idle transactions ended after %v", time.Duration(c.IdleTransactionMS)*time.Millisecond)
	}
	if c.ObjectiveMS > 0 {
		s += fmt.Sprintf(", a latency objective of %v", time.Duration(c.ObjectiveMS)*time.Millisecond)
	}
	return s + fmt.Sprintf(", acknowledgement after %q", c.Ack())
}

func diffCallers(a, b Bundle) []string {
	var out []string
	for _, c := range b.Callers {
		old, ok := a.Caller(c.User)
		if !ok {
			out = append(out, fmt.Sprintf("User %s may connect to %v.", c.User, c.Databases))
			continue
		}
		if !slices.Equal(old.Databases, c.Databases) {
			out = append(out, fmt.Sprintf("User %s may connect to %v instead of %v.", c.User, c.Databases, old.Databases))
		}
		if old.Secret != c.Secret {
			out = append(out, fmt.Sprintf("The password of user %s changes.", c.User))
		}
		if old.Tenant != c.Tenant {
			out = append(out, fmt.Sprintf("User %s belongs to tenant %q instead of %q.", c.User, c.Tenant, old.Tenant))
		}
	}
	for _, c := range a.Callers {
		if _, ok := b.Caller(c.User); !ok {
			out = append(out, fmt.Sprintf("User %s may no longer connect.", c.User))
		}
	}
	return out
}

func diffKeys(a, b Bundle) []string {
	var out []string
	for _, k := range b.Keys {
		if !slices.Contains(a.Keys, k) {
			out = append(out, fmt.Sprintf("From the next bundle on, key %s may sign.", k.Name))
		}
	}
	for _, k := range a.Keys {
		if !slices.Contains(b.Keys, k) {
			out = append(out, fmt.Sprintf("From the next bundle on, the old key %s may no longer sign.", k.Name))
		}
	}
	if a.SignaturesNeeded != b.SignaturesNeeded {
		out = append(out, fmt.Sprintf("From the next bundle on, %d signatures are required instead of %d.", b.SignaturesNeeded,
			a.SignaturesNeeded))
	}
	return out
}
