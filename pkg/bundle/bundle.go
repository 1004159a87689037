package bundle

import (
	"encoding/json"
	"slices"
	"time"
)

// Ack is the condition under which a committed write is acknowledged to the caller.
type Ack string

// The values of Ack.
const (
	// AckTerm waits until a majority of the group is known to follow the write's term at a time after the commit.
	AckTerm Ack = "term"
	// AckReplica waits until a majority of the group has received the write.
	AckReplica Ack = "replica"
)

// Bundle is the configuration of a deployment. It is an immutable value.
type Bundle struct {
	Deployment       string   `json:"deployment"`
	Version          uint64   `json:"version"`
	Zones            Zones    `json:"zones"`
	Groups           []Group  `json:"groups"`
	Callers          []Caller `json:"callers"`
	Keys             []Key    `json:"keys"`
	SignaturesNeeded int      `json:"signatures_needed"`
	// Routes maps database names to groups, on platforms that configure routes. Without routes, a database has the name of
	// its group.
	Routes []Route `json:"routes,omitempty"`
	// KeysRequired is set if callers present a key, which identifies their tenant, on all routes that are not public.
	KeysRequired bool     `json:"keys_required,omitempty"`
	Tenants      []Tenant `json:"tenants,omitempty"`
}

// Route sends the requests for a database to a group and assigns them all to one class.
type Route struct {
	Name     string `json:"name"`
	Database string `json:"database"`
	Group    string `json:"group"`
	Class    Class  `json:"class"`
	// Public is set if callers need no key.
	Public bool `json:"public,omitempty"`
}

// Zone is an availability zone and its region.
type Zone struct {
	Name   string `json:"name"`
	Region string `json:"region"`
}

// Zones lists the availability zones of a deployment.
type Zones []Zone

// Region returns the region of a zone, or "" if the zone is not listed.
func (zs Zones) Region(zone string) string {
	for _, z := range zs {
		if z.Name == zone {
			return z.Region
		}
	}
	return ""
}

// Group is a database group. Connections limits the connections to the whole group, summed over all proxies.
type Group struct {
	Name           string   `json:"name"`
	Servers        []Server `json:"servers"`
	Connections    int      `json:"connections"`
	SlotsPerServer int      `json:"slots_per_server"`
	Classes        []Class  `json:"classes"`
	// ConnectionsPerServer, if not zero, replaces Connections. It limits the connections to each server, summed over all
	// proxies.
	ConnectionsPerServer int `json:"connections_per_server,omitempty"`
}

// Server is a database server. Address is IP:PORT. Leaving marks a server that is being drained.
type Server struct {
	Name    string `json:"name"`
	Zone    string `json:"zone"`
	Address string `json:"address"`
	Leaving bool   `json:"leaving"`
}

// Class sets the rules for a kind of request. A request belongs to the first class of its group that matches it.
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
	// IdleTransactionMS limits the time between two requests of an open transaction. Zero selects
	// DefaultIdleTransactionTimeout.
	IdleTransactionMS uint64 `json:"idle_transaction_ms,omitempty"`
	// ObjectiveMS is the latency objective: callers count slower requests as late. Zero means that there is none.
	ObjectiveMS uint64 `json:"objective_ms,omitempty"`
}

// Match selects requests by the verb of the statement and the tables that it names. An empty list matches every request.
type Match struct {
	Verbs  []string `json:"verbs"`
	Tables []string `json:"tables"`
}

// Caller may connect as User to Databases. Secret is a SCRAM-SHA-256 verifier. An empty Secret lets the caller connect without a
// password, which is meant for loopback only.
type Caller struct {
	User      string   `json:"user"`
	Secret    string   `json:"secret"`
	Databases []string `json:"databases"`
	// Tenant is the tenant that the caller belongs to, "" for none.
	Tenant string `json:"tenant,omitempty"`
}

// Key is the base64 ed25519 public key of a person who may sign bundles.
type Key struct {
	Name   string `json:"name"`
	Public string `json:"public"`
}

// Default values of a class.
const (
	DefaultDeadline               = 10 * time.Second
	DefaultPriority               = 5
	DefaultIdleTransactionTimeout = time.Minute
)

// Deadline returns the time from arrival within which a request of this class must be answered.
func (c Class) Deadline() time.Duration {
	if c.DeadlineMS == 0 {
		return DefaultDeadline
	}
	return time.Duration(c.DeadlineMS) * time.Millisecond
}

// IdleTransactionTimeout returns the longest time between two requests of an open transaction of this class.
func (c Class) IdleTransactionTimeout() time.Duration {
	if c.IdleTransactionMS == 0 {
		return DefaultIdleTransactionTimeout
	}
	return time.Duration(c.IdleTransactionMS) * time.Millisecond
}

// MaxAge returns the maximum age of the data that reads of this class accept. Zero means that they need current data.
func (c Class) MaxAge() time.Duration {
	return time.Duration(c.MaxAgeMS) * time.Millisecond
}

// Ack returns the condition under which writes of this class are acknowledged; the default is AckReplica.
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

// Classify returns the first class that matches a statement, or a class named default if none does.
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

// WithVersion returns the bundle with another version.
func (b Bundle) WithVersion(v uint64) Bundle {
	b.Version = v
	return b
}

// WithGroup returns the bundle with a group added. It replaces a group of the same name.
func (b Bundle) WithGroup(g Group) Bundle {
	b.Groups = slices.Clone(b.Groups)
	if i := slices.IndexFunc(b.Groups, func(o Group) bool { return o.Name == g.Name }); i >= 0 {
		b.Groups[i] = g
		return b
	}
	b.Groups = append(b.Groups, g)
	return b
}

// Canonical returns the bytes that are signed.
func (b Bundle) Canonical() ([]byte, error) {
	return json.Marshal(b)
}
