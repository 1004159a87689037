package operator

import (
	"time"
)

// Kind is the subject of an audit record.
type Kind string

// The kinds of audit records.
const (
	KindSuspicion Kind = "suspicion"
	KindPromotion Kind = "promotion"
	// KindTerm is about a group's new primary and term, as seen by a node.
	KindTerm           Kind = "term"
	KindRejoin         Kind = "rejoin"
	KindLeaving        Kind = "leaving"
	KindBundle         Kind = "bundle"
	KindMember         Kind = "member"
	KindDrain          Kind = "drain"
	KindOutcomeUnknown Kind = "outcome_unknown"
	// KindLostWork is about work that a promotion dropped.
	KindLostWork Kind = "lost_work"
	KindRefusal  Kind = "refusal_burst"
	// KindGap is about records that are missing from the audit trail or the log.
	KindGap Kind = "gap"
	// KindLease is about the lease under which a group's primary may be changed.
	KindLease Kind = "duty"
	// KindRequest is about a request of a caller.
	KindRequest Kind = "request"
	// KindServer is about a server as the platform lists it.
	KindServer Kind = "server"
	// KindDependency is about a service or connection that the node depends on.
	KindDependency Kind = "dependency"
	// KindConnection is about a connection that was refused or closed because it went beyond a limit.
	KindConnection Kind = "connection"
)

// Kinds lists all kinds of audit records.
func Kinds() []Kind {
	return []Kind{
		KindSuspicion, KindPromotion, KindTerm, KindRejoin, KindLeaving, KindBundle, KindMember, KindDrain, KindOutcomeUnknown,
		KindLostWork, KindRefusal, KindGap, KindLease, KindRequest, KindServer, KindDependency,
		KindConnection,
	}
}

// Record is one immutable entry of the audit trail. Elapsed is the time since the start of the node that wrote it.
type Record struct {
	Seq      uint64        `json:"seq"`
	Time     time.Time     `json:"time"`
	Elapsed  time.Duration `json:"elapsed_ns"`
	Node     string        `json:"node"`
	Kind     Kind          `json:"kind"`
	Request  string        `json:"request,omitempty"`
	Group    string        `json:"group,omitempty"`
	Server   string        `json:"server,omitempty"`
	Term     uint64        `json:"term,omitempty"`
	Version  uint64        `json:"bundle_version,omitempty"`
	Cause    string        `json:"cause"`
	Evidence []Evidence    `json:"evidence,omitempty"`
}

// Evidence is a named observation that supports a record.
type Evidence struct {
	Name  string `json:"name"`
	Value string `json:"value"`
}

// WithSeq returns the record with its sequence number, which is unique within its node.
func (r Record) WithSeq(n uint64) Record {
	r.Seq = n
	return r
}

// WithOrigin returns the record with the node that wrote it, and the time of writing since the node's start and by its wall
// clock.
func (r Record) WithOrigin(node string, elapsed time.Duration, at time.Time) Record {
	r.Node = node
	r.Elapsed = elapsed
	r.Time = at
	return r
}

// WithVersion returns the record with the version of the active bundle.
func (r Record) WithVersion(v uint64) Record {
	r.Version = v
	return r
}

// WithEvidence returns the record with one more piece of evidence.
func (r Record) WithEvidence(name, value string) Record {
	r.Evidence = append(r.Evidence[:len(r.Evidence):len(r.Evidence)], Evidence{Name: name, Value: value})
	return r
}
