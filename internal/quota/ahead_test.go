package quota

import (
	"fmt"
	"testing"
	"time"

	"github.com/spanlanding/spanlanding/internal/routetable"
)

// aheadCost is that of a request that goes ahead in these tests.
const aheadCost = 2

// strictCoordinator returns a coordinator whose accounts grant a rate strictly, with an open account.
func strictCoordinator(quota routetable.Quota, openFor time.Duration) (coordinator *Coordinator, now time.Time) {
	coordinator, now = NewCoordinator(Tolerance{Window: 4 * time.Second, StrictRate: true}), startTime
	coordinator.OpenAccount(now, "s", quota, 1)
	for end := now.Add(openFor); now.Before(end); {
		now = now.Add(100 * time.Millisecond)
		coordinator.Observe(now)
	}
	return coordinator, now
}

// TestRequestsThatGoAheadDoNotQueue checks that a request that goes ahead is granted ahead of the rate, comes
// back when what it needs is earned and not behind the refused ones, and waits in full where other coordinators
// may grant as well.
func TestRequestsThatGoAheadDoNotQueue(t *testing.T) {
	quota := routetable.Quota{PerSecond: 1, Burst: 4}
	coordinator, now := strictCoordinator(quota, 600*time.Millisecond)
	for range 3 {
		if got := coordinator.Acquire(now, "s", quota, 1, 1, 0); got.Granted {
			t.Fatalf("%+v, want a refusal", got)
		}
	}
	if got := coordinator.AcquireAhead(now, "s", quota, 0.5, 1, 0); got.Granted {
		t.Errorf("%+v, want no grant in advance of a coordinator that hears from half of the nodes", got)
	}
	if got := coordinator.AcquireAhead(now, "s", quota, 1, aheadCost, 0); !got.Granted {
		t.Errorf("%+v, want a grant", got)
	}
	ahead, queued := coordinator.AcquireAhead(now, "s", quota, 1, aheadCost, 0), coordinator.Acquire(now, "s", quota, 1, 1, 0)
	if ahead.Granted || ahead.RetryAfter <= 0 || ahead.RetryAfter > 2*time.Second || queued.RetryAfter <= ahead.RetryAfter {
		t.Errorf("%+v and %+v, want a refusal until 2 tokens are earned, and a later one", ahead, queued)
	}
}

// limitedLoad is a simulated load of new requests, each sixth of which that is granted is followed by one
// that goes ahead, and comes back as it is told for a second.
type limitedLoad struct {
	coordinator *Coordinator
	quota       routetable.Quota
	now         time.Time
	// returning are the requests that go ahead and were refused.
	returning []returningRequest
	// used are the times of all that was granted.
	used                         []time.Time
	sent, granted, ahead, wentOn int
}

type returningRequest struct{ at, until time.Time }

// run sends new requests at the rate.
func (l *limitedLoad) run(perSecond float64, duration time.Duration) {
	const step = 5 * time.Millisecond
	due := 0.0
	for end := l.now.Add(duration); l.now.Before(end); l.now = l.now.Add(step) {
		l.coordinator.Observe(l.now)
		l.returnDue()
		for due += perSecond * step.Seconds(); due >= 1; due-- {
			l.sent++
			if !l.coordinator.Acquire(l.now, "s", l.quota, 1, 1, 0).Granted {
				continue
			}
			l.granted++
			l.used = append(l.used, l.now)
			if l.granted%6 == 0 {
				l.ahead++
				l.returning = append(l.returning, returningRequest{at: l.now.Add(50 * time.Millisecond), until: l.now.Add(time.Second)})
			}
		}
	}
}

// returnDue asks again for the requests that go ahead and are due.
func (l *limitedLoad) returnDue() {
	var left []returningRequest
	for _, request := range l.returning {
		if l.now.Before(request.at) {
			left = append(left, request)
			continue
		}
		decision := l.coordinator.AcquireAhead(l.now, "s", l.quota, 1, aheadCost, 0)
		if decision.Granted {
			l.wentOn++
			l.used = append(l.used, l.now, l.now)
		} else if request.at = l.now.Add(decision.RetryAfter); request.at.Before(request.until) {
			left = append(left, request)
		}
	}
	l.returning = left
}

// busiestWindow returns the most that was granted within a time.
func (l *limitedLoad) busiestWindow(window time.Duration) (most int) {
	first := 0
	for last := range l.used {
		for l.used[last].Sub(l.used[first]) >= window {
			first++
		}
		most = max(most, last-first+1)
	}
	return most
}

// TestNeitherNewNorGoingOnStarves checks at demands up to three times the limit that requests which go ahead are
// granted as often as new ones, that these get half of their share at least, and that the limit's bound holds.
func TestNeitherNewNorGoingOnStarves(t *testing.T) {
	for _, perSecond := range []float64{2, 8, 50} {
		for _, demand := range []float64{0.6, 1.4, 3} {
			t.Run(fmt.Sprintf("%v a second, demand %v", perSecond, demand), func(t *testing.T) {
				quota := routetable.Quota{PerSecond: perSecond, Burst: 4}
				load := limitedLoad{quota: quota}
				load.coordinator, load.now = strictCoordinator(quota, 4*time.Second)
				load.run(demand*perSecond, 60*time.Second)
				newShare, aheadShare := float64(load.granted)/float64(load.sent), float64(load.wentOn)/float64(load.ahead)
				if newShare < min(1, 1/demand)/2 || aheadShare < 0.9*newShare {
					t.Errorf("%d of %d new ones, %d of %d that go ahead", load.granted, load.sent, load.wentOn, load.ahead)
				}
				if most, allowed := load.busiestWindow(4*time.Second), 1.5*perSecond*4+5; float64(most) > allowed {
					t.Errorf("%d within 4 s, %.1f are allowed", most, allowed)
				}
			})
		}
	}
}

// TestGoingAheadKeepsTheBound checks that a flood of requests of both kinds stays within the bound of a server's
// limit, also where a fleet is split and each half has a coordinator. A grant may be used 0.2 s late.
func TestGoingAheadKeepsTheBound(t *testing.T) {
	const window, step = 4200 * time.Millisecond, 5 * time.Millisecond
	for _, limit := range []float64{0, 0.2, 0.5, 1, 8, 50} {
		for _, reaches := range [][]float64{{1}, {0.55, 0.45}} {
			quota := routetable.Quota{PerSecond: max(limit, 0.25), Burst: 3 + min(limit, 1)}
			load := limitedLoad{quota: quota}
			var coordinators []*Coordinator
			for range reaches {
				var coordinator *Coordinator
				coordinator, load.now = strictCoordinator(quota, 20*time.Second)
				coordinators = append(coordinators, coordinator)
			}
			for end := load.now.Add(20 * time.Second); load.now.Before(end); load.now = load.now.Add(step) {
				for i, coordinator := range coordinators {
					coordinator.Observe(load.now)
					if coordinator.AcquireAhead(load.now, "s", quota, reaches[i], aheadCost, 0).Granted {
						load.used = append(load.used, load.now, load.now)
					}
					if coordinator.Acquire(load.now, "s", quota, reaches[i], 1, 0).Granted {
						load.used = append(load.used, load.now)
					}
				}
			}
			if most, allowed := load.busiestWindow(window), 1.5*limit*4+5; float64(most) > allowed {
				t.Errorf("limit %v, %d coordinators: %d within %v, %.1f are allowed", limit, len(reaches), most, window, allowed)
			}
		}
	}
}
