// Package history holds the record of a load run: each invocation with its
// answer, and each fault that was brought about while the run went on.
//
// It may import fleet and the standard library.
package history
