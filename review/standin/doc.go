//go:build review

// Command standin runs the cases of the review. It serves a small platform and a group of database servers as PROTOCOL.md
// describes them, starts proxies of the project as processes, and plays callers against them.
package main
