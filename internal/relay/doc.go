// Package relay is the HTTP handler for callers: it forwards each request to a server and the server's
// response to the caller. It authenticates callers, applies quotas and admission limits, waits for a
// suitable server, retries and resumes where the route allows it, and gives each request exactly one
// final response: the server's own, whole and unchanged, or a refusal or failure that says truthfully
// whether the request may have run. It owns the state of requests in flight; choosing servers is the
// work of dispatch, and deciding how long to wait that of waiting. A node of package edge creates one
// Handler and serves callers with it.
//
// It may import routetable, dispatch, admission, waiting, poison, retrybudget, bounded, membudget, eventstream,
// callerconn and backendconn. The names of headers come from a Dialect.
package relay
