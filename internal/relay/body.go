package relay

import (
	"errors"
	"io"
	"net/http"
	"strings"
	"time"
)

const (
	// requestOverheadBytes is what a request in flight takes beside its body: stacks, headers and the buffers
	// of its connections.
	requestOverheadBytes = 32 << 10
	// reasonMemoryFull is the reason of refusals of requests for which there is no memory, and
	// memoryRetryDelay their Retry-After: other nodes may have room now.
	reasonMemoryFull = "memory_full"
	memoryRetryDelay = 500 * time.Millisecond
)

var errMemoryFull = errors.New("no memory for the request")

// readBody reads the whole body, within the configured size limit and the memory for requests. It responds to
// requests that exceed either.
func (x *exchange) readBody() bool {
	limit, length := x.table.Limits.MaxBodyBytes, x.request.ContentLength
	if limit > 0 && length > limit {
		x.denyLongBody()
		return false
	}
	if !x.reserveMemory(requestOverheadBytes + max(0, length)) {
		x.refuseForMemory()
		return false
	}
	reader := io.Reader(x.request.Body)
	if limit > 0 {
		reader = io.LimitReader(reader, limit+1)
	}
	var err error
	if length >= 0 {
		x.body = make([]byte, length)
		_, err = io.ReadFull(reader, x.body)
	} else {
		x.body, err = io.ReadAll(&reservingReader{source: reader, exchange: x})
	}
	switch {
	case errors.Is(err, errMemoryFull):
		x.refuseForMemory()
		return false
	case err != nil:
		x.log("request_unread", 0, err.Error())
		panic(http.ErrAbortHandler)
	case limit > 0 && int64(len(x.body)) > limit:
		x.denyLongBody()
		return false
	}
	x.isBodyRead = true
	return true
}

// denyLongBody responds to a request whose body exceeds the configured limit.
func (x *exchange) denyLongBody() {
	x.leaveBody()
	x.deny(http.StatusRequestEntityTooLarge, "body over the limit")
}

// refuseForMemory refuses a request for which there is no memory. Its body is not read.
func (x *exchange) refuseForMemory() {
	x.body = nil
	x.releaseMemory()
	x.handler.Metrics.MemoryRefused.Add(1)
	x.leaveBody()
	x.refuse(reasonMemoryFull, memoryRetryDelay)
}

// maxDiscardedBytes is how much net/http reads of a body that no handler read, to keep the connection.
const maxDiscardedBytes = 256 << 10

// leaveLongBody is leaveBody for a body that net/http would not read to its end.
func (x *exchange) leaveLongBody() {
	if !x.isBodyRead && x.request.ContentLength > maxDiscardedBytes {
		x.leaveBody()
	}
}

// leaveBody makes the connection close after a response that is written before the body was read. net/http
// resets such a connection at once while the caller still sends, and the caller does not get the response,
// unless a MaxBytesReader has met its limit: then it closes its side first and waits a little.
func (x *exchange) leaveBody() {
	beyond := http.MaxBytesReader(x.writer, io.NopCloser(strings.NewReader("x")), 0)
	_, _ = beyond.Read(make([]byte, 1))
}

// reserveMemory reserves memory for the request, and reports whether there was room.
func (x *exchange) reserveMemory(bytes int64) bool {
	switch {
	case x.handler.options.Memory == nil:
		return true
	case x.memory != nil:
		return x.memory.Grow(bytes)
	default:
		x.memory = x.handler.options.Memory.Reserve(x.tenantName(), bytes)
		return x.memory != nil
	}
}

// countMemory counts memory that the request has taken and that is bounded otherwise.
func (x *exchange) countMemory(bytes int) {
	if x.memory != nil {
		x.memory.Add(int64(bytes))
	}
}

// releaseMemory returns what the request holds.
func (x *exchange) releaseMemory() {
	if x.memory != nil {
		x.memory.Release()
		x.memory = nil
	}
}

// reservingReader reserves memory for what it reads.
type reservingReader struct {
	source   io.Reader
	exchange *exchange
}

// Read implements io.Reader.
func (r *reservingReader) Read(into []byte) (int, error) {
	count, err := r.source.Read(into)
	if count > 0 && !r.exchange.reserveMemory(int64(count)) {
		return 0, errMemoryFull
	}
	return count, err
}
