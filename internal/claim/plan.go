package claim

import (
	"slices"

	"github.com/spanlanding/spanlanding/internal/fleet"
)

// PlanInput is what the planner of the table knows of the seats.
type PlanInput struct {
	// Usable are the members that may have a seat.
	Usable []fleet.Member
	// Settled names the seats that said they are settled, by slot index, at
	// the slot's present version.
	Settled map[int][]Seat
	// HasEnded reports whether the process has ended for good.
	HasEnded func(Seat) bool
}

// NewTable returns the first table of a fleet in which no key was ever granted.
func NewTable(usable []fleet.Member) Table {
	table := Table{Slots: make([]Slot, SlotCount)}
	for index := range table.Slots {
		table.Slots[index] = Slot{Index: index, Version: 1, Seats: seatsOf(SelectVoters(index, nil, usable))}
	}
	return table
}

// Plan returns the table with unusable seats replaced, and whether anything
// changed. A slot changes only if enough of its seats to overlap every majority
// are settled or have ended for good.
func Plan(table Table, evidence PlanInput) (Table, bool) {
	planned := Table{Slots: slices.Clone(table.Slots)}
	changed := false
	for index, slot := range planned.Slots {
		if next, differs := planSlot(slot, evidence); differs {
			planned.Slots[index] = next
			changed = true
		}
	}
	return planned, changed
}

func planSlot(slot Slot, evidence PlanInput) (Slot, bool) {
	seats := seatsOf(SelectVoters(slot.Index, kept(slot, evidence.Usable), evidence.Usable))
	if len(seats) == 0 || sameSeats(seats, slot.Seats) {
		return slot, false
	}
	next := Slot{Index: slot.Index, Version: slot.Version + 1, Seats: seats}
	settled := evidence.Settled[slot.Index]
	if closable(slot.Seats, settled, evidence.HasEnded) < Overlap(slot.Seats) {
		return slot, false
	}
	if len(settled) > 0 {
		next.Previous = [][]Seat{slot.Seats}
	} else {
		next.Previous = append(slices.Clone(slot.Previous), slot.Seats)
	}
	return next, true
}

// kept returns the members whose seats stay. A second seat in one zone is
// given up where another zone has none.
func kept(slot Slot, usable []fleet.Member) []fleet.Member {
	var members []fleet.Member
	for _, seat := range slot.Seats {
		position := slices.IndexFunc(usable, func(member fleet.Member) bool {
			return member.Name == seat.Name && member.BootID == seat.Boot
		})
		if position < 0 {
			continue
		}
		member := usable[position]
		if inZone(members, member.Zone) && zoneWithout(slot, usable) {
			continue
		}
		members = append(members, member)
	}
	return members
}

// zoneWithout reports whether there is a usable member of a zone in which the
// slot has no usable seat.
func zoneWithout(slot Slot, usable []fleet.Member) bool {
	seated := make(map[fleet.Zone]bool)
	for _, member := range usable {
		if contains(slot.Seats, Seat{Name: member.Name, Boot: member.BootID}) {
			seated[member.Zone] = true
		}
	}
	return slices.ContainsFunc(usable, func(member fleet.Member) bool { return !seated[member.Zone] })
}

// closable counts the seats that can hand over or have ended for good.
func closable(seats, settled []Seat, gone func(Seat) bool) int {
	count := 0
	for _, seat := range seats {
		if contains(settled, seat) || gone(seat) {
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
	return !slices.ContainsFunc(first, func(seat Seat) bool { return !contains(second, seat) })
}
