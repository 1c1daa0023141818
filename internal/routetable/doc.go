// Package routetable holds one version of the configuration in force: routes
// by host and path prefix, the services behind them, the models that a service
// may hold, and the limits on what callers send. A Table is never changed once
// it is published.
//
// It may import the standard library and locality only. No I/O, no clock, no goroutine.
package routetable
