// Package quota enforces the tenants' quotas across all nodes. The same accounts,
// keyed by server, limit the rate of requests to cold servers (package admission).
//
// One node at a time, the coordinator, keeps a token bucket for each tenant
// (Coordinator). Every node has its own share of the quota (Share), from which it
// grants requests at once and reports them to the coordinator afterwards. Beyond the
// share it asks the coordinator; if no coordinator answers, it is limited to its
// share. Coordinators also announce which tenants are near their quota (Advisories);
// requests of all other tenants are granted without asking. docs/design/quotas.md
// compares the alternatives and gives the error of each failure.
//
// The package imports routetable for the quotas' values. It does no I/O, reads no
// clock and starts no goroutine; it is not safe for concurrent use.
package quota
