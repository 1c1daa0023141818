package gateway

import (
	"context"
	"slices"
	"sync"
)

// activeRequest is a request in progress.
type activeRequest struct {
	id     string
	cancel context.CancelCauseFunc
}

// requestTracker tracks the requests in progress, so that a drain can wait for them.
type requestTracker struct {
	mutex    sync.Mutex
	draining bool
	active   map[uint64]*activeRequest
	// idle is closed once the tracker is draining and no request is active.
	idle chan struct{}
}

// add registers a request, unless the node is draining.
func (r *requestTracker) add(call *call) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.draining {
		return false
	}
	ctx, cancel := context.WithCancelCause(call.request.Context())
	call.request = call.request.WithContext(ctx)
	r.active[call.ticket] = &activeRequest{id: call.id, cancel: cancel}
	return true
}

func (r *requestTracker) remove(call *call) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.active[call.ticket].cancel(nil)
	delete(r.active, call.ticket)
	if r.draining && len(r.active) == 0 {
		close(r.idle)
	}
}

func (r *requestTracker) startDrain() <-chan struct{} {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if !r.draining {
		r.draining = true
		r.idle = make(chan struct{})
		if len(r.active) == 0 {
			close(r.idle)
		}
	}
	return r.idle
}

// cancelAll cancels the remaining requests and returns their IDs.
func (r *requestTracker) cancelAll(cause error) []string {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	var cancelled []string
	for _, request := range r.active {
		request.cancel(cause)
		cancelled = append(cancelled, request.id)
	}
	slices.Sort(cancelled)
	return cancelled
}
