// Package requestpath measures the request path in a discrete-event simulation:
// a few nodes with their queue, routing and attempt cores send requests to the
// cores of engine stand-ins on a virtual clock. It provides the experiment runners
// "overload" and "zone-loss".
//
// It may import those cores, internal/backend for its wire types,
// internal/fleet and internal/lab/experiment. It opens no connection.
package requestpath
