// Package platform holds tests of nodes as processes on a stand-in of the
// operators' platform: an object store with revisions and watches, and servers
// that hold models and take counted orders. Everything is on loopback.
package platform
