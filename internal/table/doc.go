// Package table stores entities as rows of immutable values. A table also lists the rows that changed or are due, so that a
// system that runs each tick touches no other rows.
package table
