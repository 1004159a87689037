// Package logsink writes log lines in a goroutine of its own, so that a reader that stands still holds nobody up.
package logsink
