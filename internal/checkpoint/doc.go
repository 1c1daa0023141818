// Package checkpoint holds what the fleet keeps in the object store about its own observations, so that it
// outlives all processes. A process that has just started knows nothing, which is not the same as knowing that
// there is nothing: what it has not observed itself it learns from its peers or, if they were lost with it, from
// here.
//
// It does no I/O and reads no clock. Nodes read and write the objects and decide when.
package checkpoint
