// Package fleet puts together a node on the users' platform: the same decisions as everywhere, behind the platform's wire.
package fleet
