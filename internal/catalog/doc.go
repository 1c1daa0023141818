// Package catalog turns the declared objects of one store revision into an
// immutable snapshot with selectors compiled to routes.
//
// It may import evacuation, fleet, locality, routetable, spec and objectstore's wire types; no I/O, no clock.
package catalog
