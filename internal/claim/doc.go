// Package claim ensures that a call with an idempotency key runs at most once
// in the whole fleet.
//
// Keys hash to slots. Each slot has up to three keepers: node processes that
// hold the records of the slot's keys in memory. The table of slots names them,
// each with its boot ID, and changes by compare-and-set in the platform's store.
// Before the gateway sends such a call, an Asker must obtain grants from a
// majority of the keepers of one version of the slot. When the keepers of a slot
// change, the new ones collect the records of the earlier ones before they grant.
// The argument for its safety is in docs/design/at-most-once.md.
//
// Keeper and Asker are state machines without I/O; Plan and SelectVoters are
// functions of their arguments only. The package may import fleet.
package claim
