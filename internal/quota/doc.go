// Package quota is the core that keeps each tenant below its quota over all nodes; the same
// accounts, keyed by server, keep cold servers below what they bear (admission).
// One node at a time, the coordinator, keeps a token bucket for each tenant (Coordinator). Every
// node has a share of it of its own (Share) that it may use at once, telling the coordinator
// afterwards; beyond that it asks the coordinator, and where no coordinator answers it lives on
// its share alone. docs/design/quotas.md has the ways weighed and the error of each
// failure.
//
// It may import routetable for the quota's figures. No I/O, no clock, no goroutine;
// it is not safe for concurrent use.
package quota
