// Package membership is the failure detector and the member table of a zone,
// after SWIM: probes, indirect probes, suspicion that its subject can refute,
// and updates that ride on the probes' packets. A few delegates of each zone
// exchange the tables with other zones, so that a node's cost grows with its
// own zone.
//
// It is a core: no I/O, goroutine or clock. It may import fleet and peerpb.
package membership
