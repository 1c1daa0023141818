// Package coldstart is the core that keeps a cold server, one that has just started or
// come back, below the requests that it bears, summed over all nodes. State is what one
// node believes of one server, Bound turns a service's limit into what the coordinator of
// quotas may grant of it (quota.Coordinator, keyed by the server), and Lots is what a node
// may send that no coordinator answers. docs/design/cold-servers.md has the ways weighed.
//
// It may import quota and routetable. No I/O, no clock, no goroutine; it is not safe
// for concurrent use.
package coldstart
