// Package httpdriver serves the models of the outside systems over HTTP:
// engines, services, and the platform with its object API, machine list and
// weight store. docs/protocols.md tells the calls.
//
// It may import everything under standin, fleet and the wire types of backend
// and platform.
package httpdriver
