// Package views holds the values that a node's components publish to each other: the members, the
// catalog in force, the route tables and the machine list. Each view has one writer; readers get
// the newest complete value and never block the writer.
//
// It may import fleet, catalog and objectstore's wire types.
package views
