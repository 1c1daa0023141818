// Package catalog compiles the declared objects of one store revision (models,
// adapters, deployments, selectors, services, tenants, regions, evacuations) into
// an immutable snapshot. The gateway looks up the routes of requests in it, and
// the placement of models reads the declared models and adapters from it.
//
// It may import evacuation, fleet, locality, routetable, spec and objectstore's wire types; no I/O, no clock.
package catalog
