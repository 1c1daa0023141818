package queue

import (
	"cmp"
	"container/heap"
)

// deadlineHeap is a heap of the waiting items, ordered by deadline. It implements
// heap.Interface.
type deadlineHeap []*queuedItem

var _ heap.Interface = (*deadlineHeap)(nil)

// Len implements heap.Interface.
func (d deadlineHeap) Len() int { return len(d) }

// Less implements heap.Interface.
func (d deadlineHeap) Less(i, j int) bool {
	return cmp.Or(d[i].Deadline.Compare(d[j].Deadline), cmp.Compare(d[i].Ticket, d[j].Ticket)) < 0
}

// Swap implements heap.Interface.
func (d deadlineHeap) Swap(i, j int) {
	d[i], d[j] = d[j], d[i]
	d[i].heapIndex, d[j].heapIndex = i, j
}

// Push implements heap.Interface.
func (d *deadlineHeap) Push(entry any) {
	queued := entry.(*queuedItem)
	queued.heapIndex = len(*d)
	*d = append(*d, queued)
}

// Pop implements heap.Interface.
func (d *deadlineHeap) Pop() any {
	last := len(*d) - 1
	earliest := (*d)[last]
	(*d)[last] = nil
	*d = (*d)[:last]
	return earliest
}
