package queue

import (
	"cmp"
	"container/heap"
)

// deadlines is a heap of the waiting items, the earliest deadline first. It
// implements heap.Interface.
type deadlines []*waiting

var _ heap.Interface = (*deadlines)(nil)

// Len implements heap.Interface.
func (d deadlines) Len() int { return len(d) }

// Less implements heap.Interface.
func (d deadlines) Less(i, j int) bool {
	return cmp.Or(d[i].Deadline.Compare(d[j].Deadline), cmp.Compare(d[i].Ticket, d[j].Ticket)) < 0
}

// Swap implements heap.Interface.
func (d deadlines) Swap(i, j int) {
	d[i], d[j] = d[j], d[i]
	d[i].place, d[j].place = i, j
}

// Push implements heap.Interface.
func (d *deadlines) Push(entry any) {
	added := entry.(*waiting)
	added.place = len(*d)
	*d = append(*d, added)
}

// Pop implements heap.Interface.
func (d *deadlines) Pop() any {
	last := len(*d) - 1
	taken := (*d)[last]
	(*d)[last] = nil
	*d = (*d)[:last]
	return taken
}
