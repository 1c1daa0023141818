// Package retrybudget limits the retries that all nodes together send to a service, by giving each
// node a share of a common budget. Nodes do not coordinate, so the limit also holds during network
// partitions and restarts. The request path (relay, edge) keeps one Budget per node.
//
// It may import the standard library only. It does no I/O, reads no clock and starts no goroutine.
package retrybudget
