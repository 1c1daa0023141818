// Package views holds what a node's shells publish to each other: the members,
// the catalog in force, the route tables and the machine list. Each view has
// one writer; readers take the newest whole value and never block the writer.
//
// It may import fleet, catalog and objectstore's wire types.
package views
