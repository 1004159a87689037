// Package loopback gives out addresses for deployments that run on one machine.
package loopback
