// Package fleet assembles a node for the users' platform. It connects the decision packages that all nodes share with the
// platform's protocols.
package fleet
