// Package upstream makes the failover decisions for database groups: which server is the primary, when it has failed, which
// server is promoted in its place, and how a former primary rejoins. It has no socket, clock or source of randomness.
package upstream
