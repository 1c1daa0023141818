package relay

import (
	"context"
	"sync"
	"time"

	"github.com/spanlanding/spanlanding/internal/clock"
)

// StopSchedule says how a node that stops in order treats requests.
type StopSchedule struct {
	// RefuseWaitingAt is when requests are refused that still wait for a server.
	RefuseWaitingAt time.Time
	// EndAt is when EndRequests is called.
	EndAt time.Time
}

// SetDraining makes responses close their callers' connections, and requests end by the schedule. From now on,
// requests that may run once are refused if they would likely last longer.
func (h *Handler) SetDraining(schedule StopSchedule) {
	h.stopSchedule.Store(&schedule)
	h.draining.Store(true)
}

// Close refuses all further requests: one that arrives on a connection which was busy until now would be cut
// when the node ends.
func (h *Handler) Close() { h.isClosed.Store(true) }

// EndRequests gives the requests in flight their final response, which says that they may have run, and refuses all
// further ones.
func (h *Handler) EndRequests() {
	h.Close()
	h.endRequests()
}

// isEnded reports whether EndRequests was called.
func (h *Handler) isEnded() bool { return h.lifetime.Err() != nil }

// refuseIfStopping refuses a request that this node, which stops, would cut. It reports whether it did.
func (x *exchange) refuseIfStopping() bool {
	if !x.handler.isClosed.Load() && !x.wouldOutlastStop() {
		return false
	}
	x.refuse(reasonNodeStopping, nodeStoppingRetryDelay)
	return true
}

// wouldOutlastStop reports whether a request that may run once would likely be in flight when a stopping node ends.
// Others are better served meanwhile: their callers may repeat them.
func (x *exchange) wouldOutlastStop() bool {
	schedule := x.handler.stopSchedule.Load()
	if schedule == nil || x.isRetryable() || !x.deadline.After(schedule.EndAt) {
		return false
	}
	duration, ok := x.handler.durations.estimate(x.route.Name)
	return ok && clock.Now().Add(duration).After(schedule.EndAt)
}

// endAtStop cancels the request's context once EndRequests is called.
func (x *exchange) endAtStop(cancel context.CancelFunc) (stop func() bool) {
	return context.AfterFunc(x.handler.lifetime, cancel)
}

// durationEstimates estimates how long servers take for the requests of each route, from sending a request to the end
// of its response.
type durationEstimates struct {
	mu     sync.Mutex
	routes map[string]*durationEstimate
}

// durationEstimate is a smoothed mean and its deviation, as TCP estimates its round-trip time (RFC 6298, section 2).
type durationEstimate struct{ mean, deviation time.Duration }

const (
	durationMeanGain      = 8
	durationDeviationGain = 4
	// durationDeviations is how many deviations an estimate lies over the mean.
	durationDeviations = 4
)

// record takes the duration of a request that was served.
func (d *durationEstimates) record(route string, duration time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	known, ok := d.routes[route]
	if !ok {
		d.routes[route] = &durationEstimate{mean: duration, deviation: duration / 2}
		return
	}
	known.deviation += ((duration - known.mean).Abs() - known.deviation) / durationDeviationGain
	known.mean += (duration - known.mean) / durationMeanGain
}

// estimate returns how long few requests of the route exceed; ok is false if none is known.
func (d *durationEstimates) estimate(route string) (duration time.Duration, ok bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	known, ok := d.routes[route]
	if !ok {
		return 0, false
	}
	return known.mean + durationDeviations*known.deviation, true
}
