// Package admission limits the requests that all nodes together send to one server: while the
// server warms up after a start or a return (WarmUp), while its responses announce a rate limit
// (RateLimit), and while its service is brittle (RejectionLedger).
//
// Each of the first two kinds has a state, which is what one node knows about one server, and a bound,
// which is the total that a quota coordinator may grant for it (quota.Coordinator, keyed by
// server). FallbackAllowance is what a node may send when no coordinator answers. Server combines
// everything that a server has asked for (draining, backoff, rate limit) into one decision per
// request. The dispatch, relay, edge and node packages call this package.
// docs/design/cold-servers.md and docs/design/rate-limits.md compare the alternatives.
//
// Apart from the standard library it may import inventory, quota, routetable, storepos and xxhash.
// It does no I/O, reads no clock, starts no goroutine, and is not safe for concurrent use.
package admission
