package relay

import "sync/atomic"

// Metrics counts final answers and what led to them.
type Metrics struct {
	Served    atomic.Int64
	Refused   atomic.Int64
	Failed    atomic.Int64
	CutShort  atomic.Int64
	Left      atomic.Int64
	Denied    atomic.Int64
	Repeats   atomic.Int64
	Resumed   atomic.Int64
	Rejected  atomic.Int64
	NoBudget  atomic.Int64
	DialFails atomic.Int64
}
