// Package objectstore is the client of the platform's services: the object API
// with versioned objects and watches, and the list of machines. Only this package
// knows their wire formats; see docs/protocols.md. Nodes read their configuration
// through it and write the system's records, and the command line applies
// declarations with it.
//
// It may import fleet and spec.
package objectstore
