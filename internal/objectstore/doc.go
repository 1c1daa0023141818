// Package objectstore is the client of the platform's services: the object API
// with versions and watches, and the list of machines. The wire form of both
// is known to this package alone; see docs/protocols.md.
//
// It may import fleet and spec.
package objectstore
