// Package configsync decides which nodes read the platform's store and how the
// rest of a zone hears of changes. Per object, versions only grow on a node,
// wherever an object came from. The version in force on a node is the largest
// store revision up to which it is known to hold every change.
//
// The machine list spreads in the same way in a space of its own, in which the
// list's time takes the place of the store's revision.
//
// It is a core: no I/O, no goroutine, no clock. It may import fleet and
// objectstore's wire types.
package configsync
