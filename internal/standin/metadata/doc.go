// Package metadata stands in for the users' platform in tests and the demo: its metadata store, its order to promote, and
// database groups that speak the line protocol. Everything is in memory behind one lock, and every fault is a switch.
package metadata
