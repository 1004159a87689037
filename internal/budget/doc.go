// Package budget decides what the connections of a process may hold of its memory and descriptors. Table holds the decisions,
// without I/O, and Pool the counters that connections share.
package budget
