// Package admission is the core that keeps what may be sent to one server, summed over all
// nodes, below what the server bears: while it warms up after a start or a return (WarmUp), and
// while it names a rate limit in its answers (RateLimit).
//
// Each kind has a state, which is what one node believes of one server, and a bound, which says
// what the coordinator of quotas may grant of it (quota.Coordinator, keyed by the server). Lots
// is what a node may send that no coordinator answers. docs/design/cold-servers.md and
// docs/design/rate-limits.md have the ways weighed.
//
// It may import inventory, quota and routetable. No I/O, no clock, no goroutine; it is not safe
// for concurrent use.
package admission
