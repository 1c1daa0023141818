// Package platform holds end-to-end tests that run nodes as separate processes against an
// in-process fake of the operator's platform: an object store with revisions and watches,
// and servers that hold models and accept sequence-numbered orders. All traffic is on
// loopback.
package platform
