// Package operator holds what nodes report to their operators: typed audit records, their rate limit and metrics, explanations
// of logged events in plain sentences, and the capacity tables.
package operator
