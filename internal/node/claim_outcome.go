package node

import (
	"context"
	"sync"
	"time"

	"github.com/spanlanding/spanlanding/internal/claim"
	"github.com/spanlanding/spanlanding/internal/fleet"
)

// outcomeReporter delivers the outcome of one attempt to keepers. It starts one delivery per
// keeper.
type outcomeReporter struct {
	claims   *Claims
	complete claim.Complete

	mutex    sync.Mutex
	reported map[fleet.NodeName]bool
}

// report retries until the keeper has stored the outcome or completeTimeout has passed. If
// the reply names a newer version of the slot, it reports to the seats of that version too.
func (o *outcomeReporter) report(ctx context.Context, seat claim.Seat) {
	if !o.markReported(seat) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, completeTimeout)
	defer cancel()
	for ctx.Err() == nil {
		slot, err := o.reportOnce(ctx, seat)
		if err == nil {
			o.reportToNewerSeats(ctx, slot)
			return
		}
		select {
		case <-time.After(completeRetryInterval):
		case <-ctx.Done():
		}
	}
}

// markReported returns false if a delivery to the seat has been started before.
func (o *outcomeReporter) markReported(seat claim.Seat) bool {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	if o.reported[seat.Name] {
		return false
	}
	o.reported[seat.Name] = true
	return true
}

func (o *outcomeReporter) reportOnce(ctx context.Context, seat claim.Seat) (claim.Slot, error) {
	ctx, cancel := context.WithTimeout(ctx, keeperCallTimeout)
	defer cancel()
	if seat.SameProcess(o.claims.seat) {
		reply, err := callKeeper[claim.CompleteReply](ctx, o.claims, o.complete)
		return reply.Slot, err
	}
	client := o.claims.dependencies.Pool.To(seat.Address).Claims
	response, err := client.Complete(ctx, encodeComplete(o.complete))
	if err != nil {
		return claim.Slot{}, err
	}
	return decodeSlot(response.GetSlot()), nil
}

func (o *outcomeReporter) reportToNewerSeats(ctx context.Context, slot claim.Slot) {
	if slot.Version <= o.complete.Slot.Version {
		return
	}
	o.claims.mergeSlots([]claim.Slot{slot})
	for _, seat := range slot.Seats {
		o.claims.runInBackground(func() { o.report(context.WithoutCancel(ctx), seat) })
	}
}
