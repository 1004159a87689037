// Package proxy assembles a node for the PostgreSQL protocol: its control thread, traffic lanes, listeners and status page.
package proxy
