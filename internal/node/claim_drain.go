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
	// drainCheck is the time between two looks at a drain's progress.
	drainCheck = 200 * time.Millisecond
	// drainPatience bounds the wait: after it the other keepers of each slot
	// still have a majority.
	drainPatience = 15 * time.Second
)

// slotVersion names one version of one slot.
type slotVersion struct {
	Index   int
	Version uint64
}

// Drain waits until no slot names this node any more and a majority of the new
// keepers has gathered the records, or until the context ends, or for as long
// as it may take where the store answers. The members must already know that
// this node drains.
func (c *Claims) Drain(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, drainPatience)
	defer cancel()
	held := c.seatedSlots()
	for {
		if len(c.seatedSlots()) == 0 && c.handedOver(held) {
			return nil
		}
		if !c.hasSuccessor() {
			return errorx.IllegalState.New("no other usable member can take the records")
		}
		c.wakeTable()
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(drainCheck):
		}
	}
}

// seatedSlots are the indexes of the slots that name this process.
func (c *Claims) seatedSlots() []int {
	var indexes []int
	for _, slot := range c.currentTable().Slots {
		if slices.ContainsFunc(slot.Seats, c.seat.SameProcess) {
			indexes = append(indexes, slot.Index)
		}
	}
	return indexes
}

// handedOver reports whether a majority of the keepers of each of the slots
// says that it is settled.
func (c *Claims) handedOver(indexes []int) bool {
	slots := slices.DeleteFunc(slices.Clone(c.currentTable().Slots), func(slot claim.Slot) bool {
		return !slices.Contains(indexes, slot.Index)
	})
	settled := make(map[slotVersion]int)
	for seat, named := range slotsBySeat(slots) {
		for _, slot := range c.askSeat(seat, named).GetSettled() {
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
