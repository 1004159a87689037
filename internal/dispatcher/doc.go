// Package dispatcher decides about requests for database groups that other nodes serve. A dispatcher is a node that serves a group
// for others. The package chooses the dispatcher for each request, and decides how the request ends when that dispatcher is lost.
// It does no I/O.
package dispatcher
