package retrybudget

import (
	"time"
)

// Options configure a Budget.
type Options struct {
	// Ratio is the number of retries that each request allows.
	Ratio float64
	// Extra is the number of retries beyond that which all nodes together may send in a window.
	Extra float64
	// Window is the length of any interval over which retries are counted.
	Window time.Duration
}

// restartShare is the part of the extra retries that one run of a process may use, so that the
// limit still holds if the process restarts within a window.
const restartShare = 0.5

// bucketCount is the number of buckets in a window.
const bucketCount = 10

// Budget counts the requests and retries of one node. It is not safe for concurrent use.
type Budget struct {
	options  Options
	nodes    int
	services map[string]*counts
}

type counts struct {
	buckets [bucketCount + 2]bucket
}

type bucket struct {
	index    int64
	requests float64
	retries  float64
}

// New returns an unused budget.
func New(options Options) *Budget {
	return &Budget{options: options, nodes: 1, services: make(map[string]*counts)}
}

// SetOptions changes the limit. Counts from windows of another length cannot be converted and are
// used unchanged.
func (b *Budget) SetOptions(options Options) {
	if options.Window > 0 {
		b.options = options
	}
}

// SetNodes sets the largest number of nodes that share the extra retries.
func (b *Budget) SetNodes(nodes int) {
	b.nodes = max(1, nodes)
}

// CountRequest counts a caller's request for the service.
func (b *Budget) CountRequest(now time.Duration, service string) {
	b.bucketAt(now, service).requests++
}

// Take uses one retry, and reports whether there was one.
func (b *Budget) Take(now time.Duration, service string) bool {
	if b.Remaining(now, service) < 1 {
		return false
	}
	b.bucketAt(now, service).retries++
	return true
}

// Remaining returns the number of retries that may be sent now.
func (b *Budget) Remaining(now time.Duration, service string) float64 {
	requests, retries := b.windowTotals(now, service)
	share := b.options.Extra * restartShare / float64(b.nodes)
	return b.options.Ratio*requests + share - retries
}

// windowTotals returns the requests of the last window, and the retries of one bucket more, so that
// every window that ends now is covered.
func (b *Budget) windowTotals(now time.Duration, service string) (requests, retries float64) {
	counted, ok := b.services[service]
	if !ok {
		return 0, 0
	}
	index := b.bucketIndex(now)
	for _, bucket := range counted.buckets {
		age := index - bucket.index
		if age < 0 || age > bucketCount {
			continue
		}
		retries += bucket.retries
		if age < bucketCount {
			requests += bucket.requests
		}
	}
	return requests, retries
}

func (b *Budget) bucketAt(now time.Duration, service string) *bucket {
	counted, ok := b.services[service]
	if !ok {
		counted = &counts{}
		for i := range counted.buckets {
			counted.buckets[i].index = -1
		}
		b.services[service] = counted
	}
	index := b.bucketIndex(now)
	current := &counted.buckets[index%int64(len(counted.buckets))]
	if current.index != index {
		*current = bucket{index: index}
	}
	return current
}

func (b *Budget) bucketIndex(now time.Duration) int64 {
	return int64(now / (b.options.Window / bucketCount))
}
