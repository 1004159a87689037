// Package logsink writes log lines in a separate goroutine, so that a blocked log reader does not block the node.
package logsink
