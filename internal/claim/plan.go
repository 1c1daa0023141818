package claim

import (
	"slices"

	"github.com/spanlanding/spanlanding/internal/fleet"
)

// PlanInput is what the planner knows about members and seats.
type PlanInput struct {
	// Usable are the members that may hold a seat.
	Usable []fleet.Member
	// Settled lists, by slot index, the seats that reported to be settled at the
	// slot's current version.
	Settled map[int][]Seat
	// HasEnded reports whether the process has ended for good.
	HasEnded func(Seat) bool
}

// NewTable returns the initial table of a fleet in which no key was ever granted.
func NewTable(usable []fleet.Member) Table {
	table := Table{Slots: make([]Slot, SlotCount)}
	for index := range table.Slots {
		table.Slots[index] = Slot{Index: index, Version: 1, Seats: seatsOf(SelectVoters(index, nil, usable))}
	}
	return table
}

// Plan returns the table with unusable seats replaced, and whether anything
// changed. A slot changes only if enough of its seats to intersect every majority
// are settled or have ended for good.
func Plan(table Table, input PlanInput) (Table, bool) {
	planned := Table{Slots: slices.Clone(table.Slots)}
	changed := false
	for index, slot := range planned.Slots {
		if next, differs := planSlot(slot, input); differs {
			planned.Slots[index] = next
			changed = true
		}
	}
	return planned, changed
}

func planSlot(slot Slot, input PlanInput) (Slot, bool) {
	seats := seatsOf(SelectVoters(slot.Index, retainedMembers(slot, input.Usable), input.Usable))
	if len(seats) == 0 || sameSeats(seats, slot.Seats) {
		return slot, false
	}
	next := Slot{Index: slot.Index, Version: slot.Version + 1, Seats: seats}
	settled := input.Settled[slot.Index]
	if countClosable(slot.Seats, settled, input.HasEnded) < Overlap(slot.Seats) {
		return slot, false
	}
	if len(settled) > 0 {
		next.Previous = [][]Seat{slot.Seats}
	} else {
		next.Previous = append(slices.Clone(slot.Previous), slot.Seats)
	}
	return next, true
}

// retainedMembers returns the members that keep their seats. A second seat in the same
// zone is given up if another zone has none.
func retainedMembers(slot Slot, usable []fleet.Member) []fleet.Member {
	var members []fleet.Member
	for _, seat := range slot.Seats {
		index := slices.IndexFunc(usable, func(member fleet.Member) bool {
			return member.Name == seat.Name && member.BootID == seat.Boot
		})
		if index < 0 {
			continue
		}
		member := usable[index]
		if containsZone(members, member.Zone) && hasUncoveredZone(slot, usable) {
			continue
		}
		members = append(members, member)
	}
	return members
}

// hasUncoveredZone reports whether a zone has a usable member but no usable seat of
// the slot.
func hasUncoveredZone(slot Slot, usable []fleet.Member) bool {
	covered := make(map[fleet.Zone]bool)
	for _, member := range usable {
		if containsProcess(slot.Seats, Seat{Name: member.Name, Boot: member.BootID}) {
			covered[member.Zone] = true
		}
	}
	return slices.ContainsFunc(usable, func(member fleet.Member) bool { return !covered[member.Zone] })
}

// countClosable counts the seats that can transfer their records or have ended for good.
func countClosable(seats, settled []Seat, hasEnded func(Seat) bool) int {
	count := 0
	for _, seat := range seats {
		if containsProcess(settled, seat) || hasEnded(seat) {
			count++
		}
	}
	return count
}

func seatsOf(members []fleet.Member) []Seat {
	seats := make([]Seat, 0, len(members))
	for _, member := range members {
		seats = append(seats, Seat{Name: member.Name, Boot: member.BootID, Address: member.Addresses.Peer})
	}
	return seats
}

func sameSeats(first, second []Seat) bool {
	if len(first) != len(second) {
		return false
	}
	return !slices.ContainsFunc(first, func(seat Seat) bool { return !containsProcess(second, seat) })
}
