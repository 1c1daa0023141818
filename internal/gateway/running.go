package gateway

import (
	"context"
	"slices"
	"sync"
)

// activeRequest is a request in progress.
type activeRequest struct {
	id  string
	cut context.CancelCauseFunc
}

// running counts what is in progress, so that a planned stop can wait for it.
type running struct {
	mutex    sync.Mutex
	draining bool
	active   map[uint64]*activeRequest
	// idle is closed once draining and nothing is active.
	idle chan struct{}
}

// enter takes a request in, unless the node stops.
func (r *running) enter(call *call) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.draining {
		return false
	}
	ctx, cut := context.WithCancelCause(call.request.Context())
	call.request = call.request.WithContext(ctx)
	r.active[call.ticket] = &activeRequest{id: call.id, cut: cut}
	return true
}

func (r *running) leave(call *call) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.active[call.ticket].cut(nil)
	delete(r.active, call.ticket)
	if r.draining && len(r.active) == 0 {
		close(r.idle)
	}
}

func (r *running) startDrain() <-chan struct{} {
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

// cutAll cancels what is left and returns the identities.
func (r *running) cutAll(cause error) []string {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	var cut []string
	for _, request := range r.active {
		request.cut(cause)
		cut = append(cut, request.id)
	}
	slices.Sort(cut)
	return cut
}
