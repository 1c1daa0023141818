// Package collect gathers the evidence for package check during a load run. A
// Collector periodically reads the books of all back ends, the placement
// decisions and declared objects from the store's journal, and the configuration
// version that each node reports. Package scenario runs it alongside the load.
//
// It may import check, fleet, objectstore's wire types, spec and the stand-ins'
// books.
package collect
