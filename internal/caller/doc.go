// Package caller decides on callers' sessions and requests: which server runs a request, when its answer is released, and
// which error a caller gets otherwise. It has no sockets, clock or source of randomness.
package caller
