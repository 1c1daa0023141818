// Package scenario runs one load test against a running system. It waits until
// the system is ready, plans and sends the load, collects evidence, checks it
// against the rules and returns the summary. It injects faults at the stand-ins
// itself and announces when its caller is to inject the other faults, such as
// killing a node; it starts and ends no process.
//
// It may import the other lab packages and standin/engine.
package scenario
