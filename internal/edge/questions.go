package edge

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"
)

// pendingCalls tracks the calls to peers by datagram that are not answered yet. It is safe for
// concurrent use.
type pendingCalls[Answer any] struct {
	mu      sync.Mutex
	pending map[uint64]chan Answer
}

func newPendingCalls[Answer any]() *pendingCalls[Answer] {
	return &pendingCalls[Answer]{pending: make(map[uint64]chan Answer)}
}

// call sends a request under a fresh ID and waits for the response. ok is false if none arrives
// in time.
func (q *pendingCalls[Answer]) call(ctx context.Context, timeout time.Duration, send func(id uint64)) (answer Answer, ok bool) {
	id, answers := rand.Uint64(), make(chan Answer, 1)
	q.mu.Lock()
	q.pending[id] = answers
	q.mu.Unlock()
	defer func() {
		q.mu.Lock()
		delete(q.pending, id)
		q.mu.Unlock()
	}()
	send(id)
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case answer = <-answers:
		return answer, true
	case <-ctx.Done():
	case <-timer.C:
	}
	return answer, false
}

// resolve passes a response to the waiting caller. Only the first response counts.
func (q *pendingCalls[Answer]) resolve(id uint64, answer Answer) {
	q.mu.Lock()
	result := q.pending[id]
	q.mu.Unlock()
	if result == nil {
		return
	}
	select {
	case result <- answer:
	default:
		// A response has arrived already.
	}
}
