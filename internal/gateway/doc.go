// Package gateway is the HTTP shell for callers: it parses and bounds their
// requests, asks the dispatcher for a back end, follows each request by its
// attempt core and streams the answer back. Queue and routing belong to the
// dispatcher, a protoactor actor; tokens do not pass it.
//
// It may import attempt, backend, catalog, claim, fleet, queue, routing and
// views.
package gateway
