package backendconn

import (
	"hash/maphash"
	"slices"
)

// maxRequestsPerConn is the number of requests after which a connection is closed, which bounds its
// history.
const maxRequestsPerConn = 1024

// history remembers the requests that a connection has carried. A server may send a response a second
// time, late, where the response to the next request is due. The request ID does not tell such a copy
// from the response to a later send of the same request, so no connection carries a request twice, nor
// two requests without an ID.
type history struct {
	// hashes are those of the request IDs. A collision costs a new connection.
	hashes []uint64
}

func (h *history) contains(hash uint64) bool { return slices.Contains(h.hashes, hash) }

func (h *history) add(hash uint64) { h.hashes = append(h.hashes, hash) }

// removeLast forgets the request that was added last: it was not sent.
func (h *history) removeLast() { h.hashes = h.hashes[:len(h.hashes)-1] }

func (h *history) isFull() bool { return len(h.hashes) >= maxRequestsPerConn }

// hashRequestID returns what connections remember of a request.
func (p *Pool) hashRequestID(requestID string) uint64 { return maphash.String(p.hashSeed, requestID) }
