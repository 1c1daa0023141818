package node

import (
	"context"
	"sync"
	"time"

	"github.com/spanlanding/spanlanding/internal/claim"
	"github.com/spanlanding/spanlanding/internal/fleet"
)

// outcomeTeller tells keepers of one attempt's outcome.
type outcomeTeller struct {
	claims   *Claims
	complete claim.Complete

	mutex sync.Mutex
	told  map[fleet.NodeName]bool
}

// tell repeats until the keeper has it or the time is up, and goes on to the
// seats of a newer version of the slot.
func (o *outcomeTeller) tell(ctx context.Context, seat claim.Seat) {
	if !o.first(seat) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, completeTimeout)
	defer cancel()
	for ctx.Err() == nil {
		slot, err := o.once(ctx, seat)
		if err == nil {
			o.follow(ctx, slot)
			return
		}
		select {
		case <-time.After(completeRetry):
		case <-ctx.Done():
		}
	}
}

func (o *outcomeTeller) first(seat claim.Seat) bool {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	if o.told[seat.Name] {
		return false
	}
	o.told[seat.Name] = true
	return true
}

func (o *outcomeTeller) once(ctx context.Context, seat claim.Seat) (claim.Slot, error) {
	ctx, cancel := context.WithTimeout(ctx, keeperCallTimeout)
	defer cancel()
	if seat.SameProcess(o.claims.seat) {
		reply, err := call[claim.CompleteReply](ctx, o.claims, o.complete)
		return reply.Slot, err
	}
	client := o.claims.dependencies.Pool.To(seat.Address).Claims
	response, err := client.Complete(ctx, encodeComplete(o.complete))
	if err != nil {
		return claim.Slot{}, err
	}
	return decodeSlot(response.GetSlot()), nil
}

func (o *outcomeTeller) follow(ctx context.Context, slot claim.Slot) {
	if slot.Version <= o.complete.Slot.Version {
		return
	}
	o.claims.takeSlots([]claim.Slot{slot})
	for _, seat := range slot.Seats {
		o.claims.goBackground(func() { o.tell(context.WithoutCancel(ctx), seat) })
	}
}
