package gateway

import (
	"context"
	"errors"
)

// DrainReport is the result of a drain.
type DrainReport struct {
	// Cut lists the IDs of the requests that were still in progress at the time limit.
	Cut []string
}

// errDrainLimit is the cancellation cause of requests that the drain limit ended.
var errDrainLimit = errors.New("the drain limit of the node cut the request")

// Drain refuses new requests and waits for those in progress, including those
// that wait in the queue. When the context ends it cancels the remaining ones and
// reports their IDs.
func (g *Gateway) Drain(ctx context.Context) DrainReport {
	idle := g.running.startDrain()
	select {
	case <-idle:
		return DrainReport{}
	case <-ctx.Done():
	}
	cancelled := g.running.cancelAll(errDrainLimit)
	if len(cancelled) > 0 {
		<-idle
	}
	return DrainReport{Cut: cancelled}
}

// Draining reports whether the gateway refuses new requests.
func (g *Gateway) Draining() bool {
	g.running.mutex.Lock()
	defer g.running.mutex.Unlock()
	return g.running.draining
}
