package gateway

import (
	"context"
	"errors"
)

// DrainReport says how a planned stop went.
type DrainReport struct {
	// Cut names the requests that were still in progress at the limit.
	Cut []string
}

// errCut is the cause of requests that the drain limit cut.
var errCut = errors.New("the drain limit of the node cut the request")

// Drain refuses new requests and waits for those in progress, also for those
// that wait in the queue. At the context's end it cuts what is left, and says
// what that was.
func (g *Gateway) Drain(ctx context.Context) DrainReport {
	idle := g.running.startDrain()
	select {
	case <-idle:
		return DrainReport{}
	case <-ctx.Done():
	}
	cut := g.running.cutAll(errCut)
	if len(cut) > 0 {
		<-idle
	}
	return DrainReport{Cut: cut}
}

// Draining reports whether the gateway refuses new requests.
func (g *Gateway) Draining() bool {
	g.running.mutex.Lock()
	defer g.running.mutex.Unlock()
	return g.running.draining
}
