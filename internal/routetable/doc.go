// Package routetable holds one version of the configuration in force: routes by host and path
// prefix, the services behind them, the models that a service may hold, the tenants with their keys
// and quotas, and the limits on what callers send. The catalog and the platform package build a
// Table from the configuration; the request path (edge, relay, gateway), the placer and quota read
// it. A Table is immutable once it is published.
//
// It may import the standard library and locality only. It does no I/O, reads no clock and starts
// no goroutine.
package routetable
