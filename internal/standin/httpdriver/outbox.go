package httpdriver

import (
	"context"
	"sync"
)

// outbox hands the effects of one call to its HTTP handler. Putting never
// blocks; what it can hold is bounded by the length of an answer.
type outbox[T any] struct {
	mutex sync.Mutex
	items []T
	ready chan struct{}
}

func newOutbox[T any]() *outbox[T] {
	return &outbox[T]{ready: make(chan struct{}, 1)}
}

func (o *outbox[T]) put(item T) {
	o.mutex.Lock()
	o.items = append(o.items, item)
	o.mutex.Unlock()
	select {
	case o.ready <- struct{}{}:
	default:
	}
}

// take waits for at least one item and returns all that are there.
func (o *outbox[T]) take(ctx context.Context) ([]T, error) {
	for {
		o.mutex.Lock()
		items := o.items
		o.items = nil
		o.mutex.Unlock()
		if len(items) > 0 {
			return items, nil
		}
		select {
		case <-o.ready:
		case <-ctx.Done():
			return nil, context.Cause(ctx)
		}
	}
}
