// Package inject brings about the faults that the stand-ins of the outside
// systems can be switched to, in windows that overlap by pairs, while a load
// runs. It starts and ends no process.
//
// It may import history, fleet, objectstore's wire types and standin/faults.
package inject
