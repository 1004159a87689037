package bundle

import (
	"fmt"
	"slices"
)

// Diff describes the effects of replacing one bundle by another, in one English sentence per effect.
func Diff(before, after Bundle) []string {
	var out []string
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
	out = append(out, diffCallers(before, after)...)
	return append(out, diffKeys(before, after)...)
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
	for _, s := range b.Servers {
		i := slices.IndexFunc(a.Servers, func(o Server) bool { return o.Name == s.Name })
		switch {
		case i < 0:
			out = append(out, fmt.Sprintf("%s: server %s at %s is added.", b.Name, s.Name, s.Address))
		case a.Servers[i].Leaving != s.Leaving && s.Leaving:
			out = append(out, fmt.Sprintf("%s: server %s is marked as leaving and gets no new requests.", b.Name, s.Name))
		case a.Servers[i] != s:
			out = append(out, fmt.Sprintf("%s: server %s is now at %s in zone %s.", b.Name, s.Name, s.Address, s.Zone))
		}
	}
	for _, s := range a.Servers {
		if !slices.ContainsFunc(b.Servers, func(o Server) bool { return o.Name == s.Name }) {
			out = append(out, fmt.Sprintf("%s: server %s is no longer used.", b.Name, s.Name))
		}
	}
	return append(out, diffClasses(a, b)...)
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
	return out
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
	return s + fmt.Sprintf(", acknowledgement after %q", c.Ack())
}

func diffCallers(a, b Bundle) []string {
	var out []string
	for _, c := range b.Callers {
		old, ok := a.Caller(c.User)
		switch {
		case !ok:
			out = append(out, fmt.Sprintf("User %s may connect to %v.", c.User, c.Databases))
		case !slices.Equal(old.Databases, c.Databases):
			out = append(out, fmt.Sprintf("User %s may connect to %v instead of %v.", c.User, c.Databases, old.Databases))
		case old.Secret != c.Secret:
			out = append(out, fmt.Sprintf("The password of user %s changes.", c.User))
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
