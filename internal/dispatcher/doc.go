// Package dispatcher decides about the nodes that serve a database group for others: which of them a caller's request goes to, and
// what becomes of the request when that node is lost. It does no I/O.
package dispatcher
