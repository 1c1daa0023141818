package edge

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"
)

// questions are what this node asked others by datagrams and that was not answered yet. It is
// safe for concurrent use.
type questions[Answer any] struct {
	mu      sync.Mutex
	waiting map[uint64]chan Answer
}

func newQuestions[Answer any]() *questions[Answer] {
	return &questions[Answer]{waiting: make(map[uint64]chan Answer)}
}

// ask sends a question under a number of its own, and waits for the answer; ok is false where
// none came in time.
func (q *questions[Answer]) ask(ctx context.Context, timeout time.Duration, send func(id uint64)) (answer Answer, ok bool) {
	id, answers := rand.Uint64(), make(chan Answer, 1)
	q.mu.Lock()
	q.waiting[id] = answers
	q.mu.Unlock()
	defer func() {
		q.mu.Lock()
		delete(q.waiting, id)
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

// answered hands an answer to who waits for it; the first one counts.
func (q *questions[Answer]) answered(id uint64, answer Answer) {
	q.mu.Lock()
	waiting := q.waiting[id]
	q.mu.Unlock()
	if waiting == nil {
		return
	}
	select {
	case waiting <- answer:
	default:
		// The first answer counts.
	}
}
