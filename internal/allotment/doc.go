// Package allotment decides how many replicas of each model the fleet may load, how
// they are divided among zones, and which engines each zone may use. The decision is
// a single record in the store.
//
// A zone's limit of a model is the number of replicas that it should load at most; its
// ceiling is the number that may still be loaded until the zone has confirmed a lowered
// limit. A limit is raised only by what the sum of the ceilings leaves, so that the
// fleet never exceeds the number decided.
//
// The functions are pure: the caller writes a changed record by compare-and-set before
// it acts on it. The package may import fleet and catalog.
package allotment
