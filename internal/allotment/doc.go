// Package allotment holds the one record that says how many replicas of each
// model are decided, how they are shared out among zones, and which engines
// each zone may use. Its functions are pure: a changed record is written by
// compare-and-set before anything is done under it.
//
// It may import fleet and catalog.
package allotment
