package relay

import (
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/spanlanding/spanlanding/internal/bounded"
	"github.com/spanlanding/spanlanding/internal/membudget"
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

// readBody reads the whole body, within the configured size limit and the memory for requests. It responds to
// requests that exceed either.
func (x *exchange) readBody() bool {
	limit, length := x.table.Limits.MaxBodyBytes, x.request.ContentLength
	if limit > 0 && length > limit {
		x.denyLongBody()
		return false
	}
	if !x.reserveMemory(requestOverheadBytes) || !x.reserveMemory(max(0, length)) {
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
		x.body, err = io.ReadAll(x.reserving(reader))
	}
	switch {
	case errors.Is(err, membudget.ErrFull):
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
	bounded.LeaveBody(x.writer)
	x.deny(http.StatusRequestEntityTooLarge, "body over the limit")
}

// refuseForMemory refuses a request for which there is no memory. Its body is not read.
func (x *exchange) refuseForMemory() {
	x.body = nil
	x.releaseMemory()
	x.handler.Metrics.MemoryRefused.Add(1)
	bounded.LeaveBody(x.writer)
	x.refuse(reasonMemoryFull, memoryRetryDelay)
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

// reserving returns a reader that reserves memory for what it reads.
func (x *exchange) reserving(source io.Reader) io.Reader {
	if x.memory == nil {
		return source
	}
	return x.memory.Reader(source)
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
