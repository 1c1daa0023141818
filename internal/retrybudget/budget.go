package retrybudget

import (
	"maps"
	"math"
	"slices"
	"time"
)

// Options configure a Budget. Values that are negative or not finite count as 0.
type Options struct {
	// Ratio is the number of retries that each request allows.
	Ratio float64
	// Extra is the number of retries beyond that which all nodes together may send in a window.
	Extra float64
	// Window is the length of any interval over which retries are counted.
	Window time.Duration
}

// Budget is one node's part of the retry budget. Times are those since its process started. It is not safe
// for concurrent use.
type Budget struct {
	options Options
	// nodes is the number of nodes that share Extra; 0 while it is unknown.
	nodes       int
	isConfirmed bool
	services    map[string]*account
}

// account is what a service has of a Budget.
type account struct {
	// earned is the number of retries that requests have allowed and that were not sent yet.
	earned float64
	// extrasTaken are the times of the retries within the last window that no request had allowed, oldest
	// first.
	extrasTaken []time.Duration
	total       Totals
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
	// Nodes is the number of nodes that share the extra retries; 0 while it is unknown.
	Nodes int
}

// New returns a budget without credit: what an earlier run of this process sent is not known.
func New(options Options) *Budget {
	return &Budget{options: options.sanitized(), services: make(map[string]*account)}
}

// SetOptions changes the limit. A length of the window that is not positive is left out.
func (b *Budget) SetOptions(options Options) {
	if options.Window <= 0 {
		options.Window = b.options.Window
	}
	b.options = options.sanitized()
	b.limitCredit()
}

// SetNodes sets the largest number of nodes that may share the extra retries, this one included. The number
// is confirmed if it includes nodes that this one cannot hear from.
func (b *Budget) SetNodes(nodes int, isConfirmed bool) {
	b.nodes, b.isConfirmed = max(1, nodes), isConfirmed
	b.limitCredit()
}

// CountRequest counts a caller's request for the service.
func (b *Budget) CountRequest(service string) {
	account := b.account(service)
	account.total.Requests++
	account.earned = min(account.earned+b.options.Ratio, b.maxEarned())
}

// Take uses one retry, which is sent at once, and reports whether there was one.
func (b *Budget) Take(now time.Duration, service string) bool {
	account := b.account(service)
	switch {
	case account.earned >= 1-roundingError:
		account.earned = max(0, account.earned-1)
	case b.remainingExtras(now, account) >= 1-roundingError:
		account.extrasTaken = append(account.extrasTaken, now)
	default:
		account.total.Denied++
		return false
	}
	account.total.Retries++
	return true
}

// Return gives back a retry that was taken and not sent.
func (b *Budget) Return(service string) {
	account := b.account(service)
	account.total.Retries--
	account.earned = min(account.earned+1, b.maxEarned())
}

// Remaining returns the number of retries that may be sent now.
func (b *Budget) Remaining(now time.Duration, service string) float64 {
	account := b.account(service)
	return math.Floor(account.earned+roundingError) + math.Floor(b.remainingExtras(now, account)+roundingError)
}

// Usage returns the usage of all services, sorted by name.
func (b *Budget) Usage(now time.Duration) []Usage {
	var usage []Usage
	for _, service := range slices.Sorted(maps.Keys(b.services)) {
		account := b.services[service]
		usage = append(usage, Usage{Service: service, Totals: account.total, Remaining: b.Remaining(now, service), Nodes: b.nodes})
	}
	return usage
}

// maxArrivalDelay is how long after it was taken a retry may arrive at a server. Retries that are farther apart
// than that and a window never arrive within the same window.
const maxArrivalDelay = time.Second

// roundingError bounds what sums of fractions fall short of a whole retry.
const roundingError = 1e-9

// earnedShare is the part of a node's share of the extra retries up to which it saves what requests allow.
// The rest it sends without a request that allows it, each again after a window.
const earnedShare = 0.5

// share returns this node's share of the extra retries.
func (b *Budget) share() float64 { return b.options.Extra / float64(max(1, b.nodes)) }

// maxEarned returns the number of retries that may be saved: at least a whole one, if the share has that.
func (b *Budget) maxEarned() float64 {
	saved := 1.0
	if b.nodes > 0 {
		saved = max(saved, math.Floor(earnedShare*b.share()))
	}
	return min(saved, b.share())
}

// remainingExtras returns the number of retries that may be sent although no request allows them. In the
// first window after the start there are none: an earlier run of this process may have used them.
func (b *Budget) remainingExtras(now time.Duration, account *account) float64 {
	period := b.options.Window + maxArrivalDelay
	if !b.isConfirmed || now <= period {
		return 0
	}
	expired := 0
	for expired < len(account.extrasTaken) && now-account.extrasTaken[expired] > period {
		expired++
	}
	account.extrasTaken = slices.Delete(account.extrasTaken, 0, expired)
	return max(0, b.share()-b.maxEarned()-float64(len(account.extrasTaken)))
}

// limitCredit takes away what may no longer be saved.
func (b *Budget) limitCredit() {
	for _, account := range b.services {
		account.earned = min(account.earned, b.maxEarned())
	}
}

func (b *Budget) account(service string) *account {
	counted, ok := b.services[service]
	if !ok {
		counted = &account{}
		b.services[service] = counted
	}
	return counted
}

func (o Options) sanitized() Options {
	return Options{Ratio: finiteOrZero(o.Ratio), Extra: finiteOrZero(o.Extra), Window: o.Window}
}

// finiteOrZero returns a value that is a number and positive, else 0.
func finiteOrZero(value float64) float64 {
	if math.IsNaN(value) || math.IsInf(value, 0) || value < 0 {
		return 0
	}
	return value
}
