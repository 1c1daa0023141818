package retrybudget

import (
	"maps"
	"slices"
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
	total   Totals
}

// Totals counts what one run of a process did for a service since it started.
type Totals struct {
	Requests int64
	Retries  int64
	// Denied counts retries for which nothing was left.
	Denied int64
}

// Usage is a service's part of a Budget.
type Usage struct {
	Service string
	Totals
	// Remaining is the number of retries that may be sent now.
	Remaining float64
	// Nodes is the number of nodes that share the extra retries.
	Nodes int
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
	b.services[service].total.Requests++
}

// Take uses one retry, and reports whether there was one.
func (b *Budget) Take(now time.Duration, service string) bool {
	current := b.bucketAt(now, service)
	total := &b.services[service].total
	if b.Remaining(now, service) < 1 {
		total.Denied++
		return false
	}
	current.retries++
	total.Retries++
	return true
}

// Usage returns the usage of all services, sorted by name.
func (b *Budget) Usage(now time.Duration) []Usage {
	var usage []Usage
	for _, service := range slices.Sorted(maps.Keys(b.services)) {
		usage = append(usage, Usage{
			Service: service, Totals: b.services[service].total, Remaining: b.Remaining(now, service), Nodes: b.nodes,
		})
	}
	return usage
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
