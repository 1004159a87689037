// Package overload holds tests that start the real programs and a crowd of callers that send too much, read too slowly or stop
// half-way. They check that the programs stay alive, within their memory and descriptors, and answer an ordinary request
// afterwards.
package overload
