// Package waiting holds the policy for requests that no server can accept at the moment. It
// decides which requests keep waiting and which are refused (Decide), when to decide again
// (RecheckDelay), when refused callers should retry (RetrySchedule) and which request a
// server handles first (Rank, TenantRank). Package relay calls it for each request that
// has to wait.
//
// The functions are deterministic: they read no clock, the caller passes the current time.
// The only state is that of RetrySchedule and OverdueTracker, which the caller owns.
//
// The package may import the standard library only.
package waiting
