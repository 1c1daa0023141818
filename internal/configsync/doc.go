// Package configsync decides which nodes read the platform's store and how the other nodes of a
// zone learn of changes. On one node the version of an object only increases, whatever source the
// object came from. The version in force on a node is the largest store revision up to which the
// node is known to hold every change.
//
// The machine list is distributed in the same way in a version space of its own, in which the
// timestamp of the list takes the place of the store's revision.
//
// Package node runs the core: it passes in messages and performs the returned effects. The core
// does no I/O, starts no goroutine and reads no clock. It may import fleet and objectstore's wire
// types.
package configsync
