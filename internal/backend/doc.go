// Package backend is the client of model engines and plain command services.
// The wire form of both is known to this package alone; see docs/protocols.md.
//
// It may import fleet and inventory.
package backend
