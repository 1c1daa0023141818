// Package inject injects faults into the stand-ins (the simulated platform,
// engines and services) while a load run is in progress. It schedules the faults
// in time windows of which each overlaps the next, and switches them on and off
// through the stand-ins' fault endpoints. It doesn't start or kill processes.
//
// It may import history, fleet, objectstore's wire types and standin/faults.
package inject
