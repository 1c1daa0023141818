// Package requestpath measures the request path on a virtual clock: the cores
// of queue, routing and attempt in a few nodes, over the model cores of engine
// stand-ins. It has the runners "overload" and "zone-loss".
//
// It may import those cores, internal/backend for its wire types,
// internal/fleet and internal/lab/experiment. It opens no connection.
package requestpath
