// Package load generates the load of a scenario. It sends each request at the time that the scenario sets, whether or not earlier
// requests are answered, and reports latencies and wrong answers.
package load
