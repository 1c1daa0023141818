package httpdriver

import (
	"context"
	"sync"
)

// outbox is an unbounded queue that passes the effects of one call to its HTTP
// handler. put never blocks; the length of an answer limits the queue's size.
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

// take waits until the outbox holds an item, and removes and returns all items.
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
