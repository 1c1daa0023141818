// Package scale measures what a node's control costs as the fleet grows. It
// runs hollow nodes, which are the product's own node.Start over real sockets
// on loopback, several in one process, beside hollow engines and a hollow
// platform, and fits a line through the figures of each variable.
//
// Processor time is told apart by the labels of a processor profile, bytes and
// messages by each node's own counters. It is the one package of the
// laboratory that may import node, since it runs whole nodes; it uses what they
// publish and no core's inside.
package scale
