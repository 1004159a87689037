// Package loopback allocates loopback addresses for deployments that run on one machine.
package loopback
