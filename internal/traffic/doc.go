// Package traffic runs the lanes of a node. A lane is one goroutine that owns the sessions, requests and upstream connections of
// one database, and performs the actions that their systems decide on.
package traffic
