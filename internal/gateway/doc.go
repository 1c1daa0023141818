// Package gateway serves the HTTP API that callers use: OpenAI-style completions
// and calls to services. It parses requests and enforces their limits, obtains a
// back end for each attempt from a dispatcher, drives each request through an
// attempt.Core and streams the response to the caller.
// The package owns the requests in progress at a node, the queue of waiting model
// requests and the choice of back ends. The last two belong to the dispatchers,
// which are protoactor actors; tokens do not pass through them. Package node
// creates the Gateway and mounts it as an http.Handler.
// It may import attempt, backend, backendconn, bounded, callerconn, catalog, claim, fleet,
// membudget, queue, routing and views.
package gateway
