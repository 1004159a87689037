package bundle

import (
	"encoding/json"
	"slices"
	"time"
)

// Ack says which evidence a write needs before its answer goes to the caller.
type Ack string

// The kinds of acknowledgement.
const (
	// AckTerm waits until a majority of the group is known to follow the term of the write, after it committed.
	AckTerm Ack = "term"
	// AckReplica waits until a majority of the group holds the write itself.
	AckReplica Ack = "replica"
)

// Bundle describes a deployment; it is an immutable value.
type Bundle struct {
	Deployment       string   `json:"deployment"`
	Version          uint64   `json:"version"`
	Zones            Zones    `json:"zones"`
	Groups           []Group  `json:"groups"`
	Callers          []Caller `json:"callers"`
	Keys             []Key    `json:"keys"`
	SignaturesNeeded int      `json:"signatures_needed"`
	// Routes lead database names to groups, where a deployment's platform says so; without any, a group is reached by its
	// own name.
	Routes []Route `json:"routes,omitempty"`
}

// Route leads callers of a database to a group, and puts their requests into one class.
type Route struct {
	Name     string `json:"name"`
	Database string `json:"database"`
	Group    string `json:"group"`
	Class    Class  `json:"class"`
}

// Zone is an availability zone and the region that it stands in.
type Zone struct {
	Name   string `json:"name"`
	Region string `json:"region"`
}

// Zones lists the availability zones of a deployment.
type Zones []Zone

// Region returns the region of a zone, or "" for a zone that is not listed.
func (zs Zones) Region(zone string) string {
	for _, z := range zs {
		if z.Name == zone {
			return z.Region
		}
	}
	return ""
}

// Group is a database group; Connections counts over all proxies together.
type Group struct {
	Name           string   `json:"name"`
	Servers        []Server `json:"servers"`
	Connections    int      `json:"connections"`
	SlotsPerServer int      `json:"slots_per_server"`
	Classes        []Class  `json:"classes"`
	// ConnectionsPerServer bounds the connections to each server over all proxies together, in place of Connections.
	ConnectionsPerServer int `json:"connections_per_server,omitempty"`
}

// Server is one database server; Address is IP:PORT.
type Server struct {
	Name    string `json:"name"`
	Zone    string `json:"zone"`
	Address string `json:"address"`
	Leaving bool   `json:"leaving"`
}

// Class describes requests that are treated alike; a request belongs to the first class of its group that matches.
type Class struct {
	Name             string `json:"name"`
	Match            Match  `json:"match"`
	MaxAgeMS         uint64 `json:"max_age_ms"`
	SessionBound     bool   `json:"session_bound"`
	DeadlineMS       uint64 `json:"deadline_ms"`
	NotRepeatable    bool   `json:"not_repeatable"`
	AcknowledgeAfter Ack    `json:"acknowledge_after"`
	Long             bool   `json:"long"`
	Priority         int    `json:"priority"`
	// IdleTransactionMS is how long a transaction may stay open without a request, and ObjectiveMS how long a request may
	// take before its caller counts it as late; zero stands for the default, and for none.
	IdleTransactionMS uint64 `json:"idle_transaction_ms,omitempty"`
	ObjectiveMS       uint64 `json:"objective_ms,omitempty"`
}

// Match selects requests by the verb of the statement and the tables that it names; an empty list matches all.
type Match struct {
	Verbs  []string `json:"verbs"`
	Tables []string `json:"tables"`
}

// Caller may connect as User to Databases; Secret is a SCRAM-SHA-256 verifier, or empty for loopback without a password.
type Caller struct {
	User      string   `json:"user"`
	Secret    string   `json:"secret"`
	Databases []string `json:"databases"`
}

// Key is the ed25519 public key of a person who may sign off bundles, in base64.
type Key struct {
	Name   string `json:"name"`
	Public string `json:"public"`
}

// Default values of a class.
const (
	DefaultDeadline = 10 * time.Second
	DefaultPriority = 5
	// DefaultIdleTransactionTimeout is the time for which a transaction may stay open without a request.
	DefaultIdleTransactionTimeout = time.Minute
)

// Deadline is the time that a request of this class may take from its arrival.
func (c Class) Deadline() time.Duration {
	if c.DeadlineMS == 0 {
		return DefaultDeadline
	}
	return time.Duration(c.DeadlineMS) * time.Millisecond
}

// IdleTransactionTimeout is the time for which a transaction of this class may stay open without a request.
func (c Class) IdleTransactionTimeout() time.Duration {
	if c.IdleTransactionMS == 0 {
		return DefaultIdleTransactionTimeout
	}
	return time.Duration(c.IdleTransactionMS) * time.Millisecond
}

// MaxAge is the age of data that reads of this class accept; zero stands for none.
func (c Class) MaxAge() time.Duration {
	return time.Duration(c.MaxAgeMS) * time.Millisecond
}

// Ack is the acknowledgement of writes of this class.
func (c Class) Ack() Ack {
	if c.AcknowledgeAfter == "" {
		return AckReplica
	}
	return c.AcknowledgeAfter
}

// Matches reports whether a statement with the given verb and tables belongs to the class.
func (c Class) Matches(verb string, tables []string) bool {
	if len(c.Match.Verbs) > 0 && !slices.Contains(c.Match.Verbs, verb) {
		return false
	}
	if len(c.Match.Tables) == 0 {
		return true
	}
	return slices.ContainsFunc(tables, func(t string) bool { return slices.Contains(c.Match.Tables, t) })
}

// Classify returns the class of a statement; one that no class matches gets the class named default.
func (g Group) Classify(verb string, tables []string) Class {
	for _, c := range g.Classes {
		if c.Matches(verb, tables) {
			return c
		}
	}
	return Class{Name: "default", Priority: DefaultPriority}
}

// Route returns the route of a database, and whether there is one.
func (b Bundle) Route(database string) (Route, bool) {
	i := slices.IndexFunc(b.Routes, func(r Route) bool { return r.Database == database })
	if i < 0 {
		return Route{}, false
	}
	return b.Routes[i], true
}

// Group returns the named group, and whether there is one.
func (b Bundle) Group(name string) (Group, bool) {
	i := slices.IndexFunc(b.Groups, func(g Group) bool { return g.Name == name })
	if i < 0 {
		return Group{}, false
	}
	return b.Groups[i], true
}

// Caller returns the named caller, and whether there is one.
func (b Bundle) Caller(user string) (Caller, bool) {
	i := slices.IndexFunc(b.Callers, func(c Caller) bool { return c.User == user })
	if i < 0 {
		return Caller{}, false
	}
	return b.Callers[i], true
}

// WithVersion returns the bundle under another version.
func (b Bundle) WithVersion(v uint64) Bundle {
	b.Version = v
	return b
}

// WithGroup returns the bundle with a group added, or replaced if its name is taken.
func (b Bundle) WithGroup(g Group) Bundle {
	b.Groups = slices.Clone(b.Groups)
	if i := slices.IndexFunc(b.Groups, func(o Group) bool { return o.Name == g.Name }); i >= 0 {
		b.Groups[i] = g
		return b
	}
	b.Groups = append(b.Groups, g)
	return b
}

// Canonical returns the bytes over which sign-offs are made.
func (b Bundle) Canonical() ([]byte, error) {
	return json.Marshal(b)
}
