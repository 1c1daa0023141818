// Package node wires one spanlanding process together: settings, actors,
// listeners, lifecycle and drain.
//
// It may import every product package; nothing but cmd may import it.
package node
