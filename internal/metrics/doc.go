// Package metrics provides counters and histograms and writes them in the Prometheus text format. It does not depend on the
// packages that use it.
package metrics
