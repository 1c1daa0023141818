// Package locality says where machines stand, in two levels: zones, which fail and are
// cut off as a whole, and regions of zones, between which ways are long and dear. It
// compares places, and holds the regions in which a request may run.
//
// It may import the standard library only. No I/O, no clock, no goroutine.
package locality
