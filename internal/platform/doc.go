// Package platform decides what is written to the platform's services, when a failed write is retried, and which servers the
// platform's list contains. Serving a request never waits for these services. The package does no I/O.
package platform
