// Package scenario runs one load against a running system from the plan to the
// judged summary, and says aloud when each fault is to be brought about. It
// starts and ends no process; who started the system does.
//
// It may import the other lab packages and standin/engine.
package scenario
