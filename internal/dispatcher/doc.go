// Package dispatcher chooses the dispatcher for each request of a database group that other nodes serve, and decides how the
// request ends when that dispatcher is lost. It does no I/O.
package dispatcher
