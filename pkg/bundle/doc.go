// Package bundle defines the versioned configuration of a deployment: its zones, database groups, request classes, callers and
// signing keys. Operators sign a bundle before they roll it out. The package does no I/O.
package bundle
