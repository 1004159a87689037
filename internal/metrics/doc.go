// Package metrics counts what a node does and writes it as text for scrapers; it knows nothing of what is counted.
package metrics
