// Package claim makes a call with an idempotency key run at most once. Keys
// fall into slots; each slot has up to three keepers, named with their start
// in a table that changes by compare-and-set in the platform's store. A
// majority of one version of a slot grants before the call is sent. The
// argument for its safety is in docs/design/at-most-once.md.
//
// Keeper and Asker are cores; Plan and Choose are functions of their
// arguments. The package may import fleet.
package claim
