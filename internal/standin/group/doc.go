// Package group is a stand-in for a database group: three servers with leadership terms, log positions and asynchronous
// replication, as far as a proxy can observe them. Core, the state of one server, uses no socket, clock or SQL engine.
package group
