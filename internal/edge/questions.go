package edge

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"
)

// pendingCalls are what this node asked others by datagrams and that was not answered yet. It is
// safe for concurrent use.
type pendingCalls[Answer any] struct {
	mu      sync.Mutex
	pending map[uint64]chan Answer
}

func newPendingCalls[Answer any]() *pendingCalls[Answer] {
	return &pendingCalls[Answer]{pending: make(map[uint64]chan Answer)}
}

// call sends a question under a number of its own, and waits for the answer; ok is false where
// none came in time.
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

// resolve hands an answer to who waits for it; the first one counts.
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
		// The first answer counts.
	}
}
