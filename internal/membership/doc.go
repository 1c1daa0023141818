// Package membership is the failure detector and the member table of a zone, based on SWIM: probes,
// indirect probes, suspicion that the suspect can refute, and updates piggybacked on probe packets.
// A few delegates of each zone exchange tables with other zones, so that the cost of a node grows
// only with its own zone.
//
// Package node runs the core: it passes in messages and performs the returned effects. The core
// does no I/O, starts no goroutine and reads no clock. It may import fleet and peerpb.
package membership
