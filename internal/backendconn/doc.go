// Package backendconn keeps connections to servers and carries one request at a time over each. It
// matches responses to requests by their headers, so that a stale response that arrives before the
// expected one is discarded, and each error says whether the request may have reached the server.
// It never sends a request twice: net/http's Transport would resend on a kept connection, which is
// why only net/http's code for reading and writing headers is used here. The edge owns a pool; the
// relay and the platform package send through it, and the gateway probes servers with one.
//
// Apart from the standard library it may import bounded, clock, delivery, errorx, golang.org/x/sync and
// golang.org/x/sys.
package backendconn
