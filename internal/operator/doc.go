// Package operator serves operators: the HTTP handler of a node's operators'
// port, and the logic of the commands that change declarations and watch the
// fleet.
//
// It may import fleet, spec, objectstore, views and prometheus.
package operator
