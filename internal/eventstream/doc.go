// Package eventstream reads event streams (text/event-stream, WHATWG HTML, section 9.2.6) as their bytes come,
// and decides which event may follow the ones that a caller has.
//
// It has no I/O, clock or goroutine, and imports the standard library only. Package relay passes on through
// it what servers and peers write.
package eventstream
