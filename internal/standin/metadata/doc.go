// Package metadata is a stand-in for the users' platform, for tests and the demo. It has the platform's metadata store, its
// promotion orders, and database groups that speak the line protocol. All state is in memory under one lock, and faults are
// injected through methods.
package metadata
