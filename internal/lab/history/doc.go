// Package history defines the record of a load run: each request with its
// answer, and each fault injected during the run. It also writes records and
// reads faults as JSON lines. Package load creates the records, package inject
// and the scripts and tests that kill or stop processes create the faults, and
// package check evaluates both.
//
// It may import fleet and the standard library.
package history
