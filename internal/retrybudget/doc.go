// Package retrybudget limits the retries that all nodes together send to a service, in any window and through
// restarts, kills, partitions and additions of nodes. Nodes do not ask each other: each has a share of the
// extra retries, and an account that begins empty, so that what an earlier run of its process sent need not be
// known. A retry is paid for by requests counted in the same run, of which only the share can be saved, or by
// the share itself, once a window has passed since the start. docs/design/retries.md compares the
// alternatives. The request path (relay, edge) keeps one Budget per node.
//
// It may import the standard library only. It does no I/O, reads no clock and starts no goroutine.
package retrybudget
