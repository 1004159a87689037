// Package tick runs a step function in one goroutine. Between two steps the goroutine sleeps until an event arrives or the wake
// time that the step returned is reached; it never spins. The control thread and the traffic lanes are such loops.
package tick
