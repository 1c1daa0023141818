package node

import (
	"context"
	"slices"
	"time"

	"github.com/joomcode/errorx"

	"github.com/spanlanding/spanlanding/internal/claim"
	"github.com/spanlanding/spanlanding/internal/fleet"
)

const (
	// drainPollInterval is the time between two checks of a drain's progress.
	drainPollInterval = 200 * time.Millisecond
	// keeperDrainTimeout bounds the wait for the hand-over. After it the remaining keepers
	// of each slot still have a majority.
	keeperDrainTimeout = 15 * time.Second
)

// slotVersion identifies one version of one slot.
type slotVersion struct {
	Index   int
	Version uint64
}

// Drain waits until this node has no seat in any slot and a majority of the new keepers has
// received the records. It gives up when the context ends, after keeperDrainTimeout, or if
// no other member can take the records. The members must already know that this node is
// draining.
func (c *Claims) Drain(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, keeperDrainTimeout)
	defer cancel()
	heldSlots := c.ownSlots()
	for {
		if len(c.ownSlots()) == 0 && c.handoverComplete(heldSlots) {
			return nil
		}
		if !c.hasSuccessor() {
			return errorx.IllegalState.New("no other usable member can take the records")
		}
		c.requestTableRefresh()
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(drainPollInterval):
		}
	}
}

// ownSlots returns the indexes of the slots in which this process has a seat.
func (c *Claims) ownSlots() []int {
	var indexes []int
	for _, slot := range c.currentTable().Slots {
		if slices.ContainsFunc(slot.Seats, c.seat.SameProcess) {
			indexes = append(indexes, slot.Index)
		}
	}
	return indexes
}

// handoverComplete reports whether, for each of the slots, a majority of its keepers reports
// the current version as settled.
func (c *Claims) handoverComplete(indexes []int) bool {
	slots := slices.DeleteFunc(slices.Clone(c.currentTable().Slots), func(slot claim.Slot) bool {
		return !slices.Contains(indexes, slot.Index)
	})
	settled := make(map[slotVersion]int)
	for seat, seatSlots := range slotsBySeat(slots) {
		for _, slot := range c.querySeat(seat, seatSlots).GetSettled() {
			settled[slotVersion{Index: int(slot.GetIndex()), Version: slot.GetVersion()}]++
		}
	}
	return !slices.ContainsFunc(slots, func(slot claim.Slot) bool {
		version := slotVersion{Index: slot.Index, Version: slot.Version}
		return settled[version] < claim.Majority(slot.Seats)
	})
}

func (c *Claims) hasSuccessor() bool {
	members, _ := c.dependencies.Views.Members.Get()
	return slices.ContainsFunc(usableForSeats(members), func(member fleet.Member) bool {
		return member.Name != c.seat.Name
	})
}
