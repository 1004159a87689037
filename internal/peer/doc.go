// Package peer tracks the membership of the deployment's nodes, and spreads routes and bundles among them by gossip. The number of
// messages that a node sends per interval does not depend on the size of the fleet. The package does no I/O.
package peer
