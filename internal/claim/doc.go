// Package claim makes a call with an idempotency key run at most once: the
// keeper's records and the rules by which a majority of keepers grants one
// attempt.
//
// It may import fleet.
package claim
