// Package relay carries callers' requests to servers and their answers back.
// Each request gets exactly one final answer: the server's own, whole and
// unchanged, or a refusal or failure that says truthfully whether the request
// may have run.
//
// It may import routetable, dispatch, admission, waiting, poison, retrybudget and
// backendconn. The names of headers come from a Dialect.
package relay
