// Package control implements the control thread of a node. The thread owns the node's control state, runs the systems of all
// control packages in a fixed order, and publishes immutable snapshots to the traffic lanes.
package control
