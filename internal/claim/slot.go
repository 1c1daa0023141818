package claim

import (
	"cmp"
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/spanlanding/spanlanding/internal/fleet"
)

const (
	// SeatsPerSlot is how many keepers a slot has where there are enough nodes.
	SeatsPerSlot = 3
	// SlotCount is the number of slots of a new table.
	SlotCount = 32
)

// Seat is one start of one node: a process that restarts has lost its records
// and is another seat.
type Seat struct {
	Name    fleet.NodeName `json:"name"`
	Boot    uint64         `json:"boot"`
	Address string         `json:"address"`
}

// SameProcess reports whether both are the same process.
func (s Seat) SameProcess(other Seat) bool {
	return s.Name == other.Name && s.Boot == other.Boot
}

// Slot says who keeps the keys of one slot. Versions grow by one.
type Slot struct {
	Index   int    `json:"index"`
	Version uint64 `json:"version"`
	Seats   []Seat `json:"seats"`
	// Previous are the earlier keepers that may still grant or hold records,
	// the newest last: the seats of the version before, and of versions before
	// that as long as no seat of the version after was known to be settled.
	// Empty in the first version only.
	Previous [][]Seat `json:"previous,omitempty"`
}

// Table is the record of all slots; its object in the store is its only
// source.
type Table struct {
	Slots []Slot `json:"slots"`
}

// SlotOf returns the slot's index for a key.
func (t Table) SlotOf(key string) int {
	return int(xxhash.Sum64String(key) % uint64(len(t.Slots)))
}

// Hash tells tables apart by their versions.
func (t Table) Hash() uint64 {
	digest := xxhash.New()
	var fixed [8]byte
	for _, slot := range t.Slots {
		binary.LittleEndian.PutUint64(fixed[:], slot.Version)
		_, _ = digest.Write(fixed[:])
	}
	return digest.Sum64()
}

// Majority is the least number of seats of which any two sets of that size
// share one.
func Majority(seats []Seat) int {
	return len(seats)/2 + 1
}

// Overlap is the least number of seats that shares one with every majority:
// what these know together is all that a majority ever granted, and while
// these grant nothing no majority can.
func Overlap(seats []Seat) int {
	return len(seats) - Majority(seats) + 1
}

// contains reports whether the process has one of the seats.
func contains(seats []Seat, seat Seat) bool {
	return slices.ContainsFunc(seats, seat.SameProcess)
}

// SelectVoters fills the kept seats up to SeatsPerSlot from the candidates, by
// rendezvous hash, taking a zone that has no seat yet before one that has.
func SelectVoters(slot int, kept []fleet.Member, candidates []fleet.Member) []fleet.Member {
	chosen := slices.Clone(kept)
	ranked := slices.Clone(candidates)
	slices.SortFunc(ranked, func(first, second fleet.Member) int {
		return cmp.Or(
			cmp.Compare(weight(slot, second.Name), weight(slot, first.Name)),
			cmp.Compare(first.Name, second.Name),
		)
	})
	for len(chosen) < SeatsPerSlot {
		next := slices.IndexFunc(ranked, func(member fleet.Member) bool {
			return !named(chosen, member.Name) && !inZone(chosen, member.Zone)
		})
		if next < 0 {
			next = slices.IndexFunc(ranked, func(member fleet.Member) bool { return !named(chosen, member.Name) })
		}
		if next < 0 {
			break
		}
		chosen = append(chosen, ranked[next])
	}
	return chosen
}

func weight(slot int, name fleet.NodeName) uint64 {
	buffer := binary.LittleEndian.AppendUint64(nil, uint64(slot))
	return xxhash.Sum64(append(buffer, name...))
}

func named(members []fleet.Member, name fleet.NodeName) bool {
	return slices.ContainsFunc(members, func(member fleet.Member) bool { return member.Name == name })
}

func inZone(members []fleet.Member, zone fleet.Zone) bool {
	return slices.ContainsFunc(members, func(member fleet.Member) bool { return member.Zone == zone })
}

// noSlot is the index by which the coordinator is ranked.
const noSlot = -1

// Coordinator returns the member that keeps the table, so that usually one
// node alone reads and writes its object. Nothing rests on its being one.
func Coordinator(usable []fleet.Member) (fleet.Member, bool) {
	chosen := SelectVoters(noSlot, nil, usable)
	if len(chosen) == 0 {
		return fleet.Member{}, false
	}
	return chosen[0], true
}

// Merge returns the table with each slot at the newer of both versions, and
// the slots in which other was newer.
func (t Table) Merge(other []Slot) (Table, []Slot) {
	merged := Table{Slots: slices.Clone(t.Slots)}
	var newer []Slot
	for _, slot := range other {
		for len(merged.Slots) <= slot.Index {
			merged.Slots = append(merged.Slots, Slot{Index: len(merged.Slots)})
		}
		if slot.Index >= 0 && slot.Version > merged.Slots[slot.Index].Version {
			merged.Slots[slot.Index] = slot
			newer = append(newer, slot)
		}
	}
	return merged, newer
}
