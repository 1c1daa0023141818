package claim

import (
	"cmp"
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/spanlanding/spanlanding/internal/fleet"
)

const (
	// SeatsPerSlot is the number of keepers of a slot if there are enough nodes.
	SeatsPerSlot = 3
	// SlotCount is the number of slots of a new table.
	SlotCount = 32
)

// Seat identifies a keeper's process by node name and boot ID: a process that
// restarts has lost its records and is a different seat.
type Seat struct {
	Name    fleet.NodeName `json:"name"`
	Boot    uint64         `json:"boot"`
	Address string         `json:"address"`
}

// SameProcess reports whether both seats are the same process.
func (s Seat) SameProcess(other Seat) bool {
	return s.Name == other.Name && s.Boot == other.Boot
}

// Slot names the keepers of the keys of one slot. Each change increases Version by one.
type Slot struct {
	Index   int    `json:"index"`
	Version uint64 `json:"version"`
	Seats   []Seat `json:"seats"`
	// Previous are the earlier keepers that may still grant or hold records,
	// newest last: the seats of the preceding version, and of earlier versions as
	// long as no seat of the version after them was known to be settled. It is
	// empty only in the first version.
	Previous [][]Seat `json:"previous,omitempty"`
}

// Table is the set of all slots; its object in the store is the only source of
// truth.
type Table struct {
	Slots []Slot `json:"slots"`
}

// SlotOf returns the index of the key's slot.
func (t Table) SlotOf(key string) int {
	return int(xxhash.Sum64String(key) % uint64(len(t.Slots)))
}

// Hash returns a hash of the slots' versions, to tell tables apart.
func (t Table) Hash() uint64 {
	digest := xxhash.New()
	var fixed [8]byte
	for _, slot := range t.Slots {
		binary.LittleEndian.PutUint64(fixed[:], slot.Version)
		_, _ = digest.Write(fixed[:])
	}
	return digest.Sum64()
}

// Majority returns the smallest number of seats such that any two sets of that
// size intersect.
func Majority(seats []Seat) int {
	return len(seats)/2 + 1
}

// Overlap returns the smallest number of seats such that any set of that size
// intersects every majority. Together such seats know everything that a majority
// ever granted, and while they grant nothing no majority can.
func Overlap(seats []Seat) int {
	return len(seats) - Majority(seats) + 1
}

// containsProcess reports whether one of the seats is the seat's process.
func containsProcess(seats []Seat, seat Seat) bool {
	return slices.ContainsFunc(seats, seat.SameProcess)
}

// SelectVoters adds candidates to the kept members up to SeatsPerSlot, ranked by
// rendezvous hashing. Candidates in zones without a seat go first.
func SelectVoters(slot int, kept []fleet.Member, candidates []fleet.Member) []fleet.Member {
	chosen := slices.Clone(kept)
	ranked := slices.Clone(candidates)
	slices.SortFunc(ranked, func(first, second fleet.Member) int {
		return cmp.Or(
			cmp.Compare(rendezvousWeight(slot, second.Name), rendezvousWeight(slot, first.Name)),
			cmp.Compare(first.Name, second.Name),
		)
	})
	for len(chosen) < SeatsPerSlot {
		next := slices.IndexFunc(ranked, func(member fleet.Member) bool {
			return !containsName(chosen, member.Name) && !containsZone(chosen, member.Zone)
		})
		if next < 0 {
			next = slices.IndexFunc(ranked, func(member fleet.Member) bool { return !containsName(chosen, member.Name) })
		}
		if next < 0 {
			break
		}
		chosen = append(chosen, ranked[next])
	}
	return chosen
}

func rendezvousWeight(slot int, name fleet.NodeName) uint64 {
	buffer := binary.LittleEndian.AppendUint64(nil, uint64(slot))
	return xxhash.Sum64(append(buffer, name...))
}

func containsName(members []fleet.Member, name fleet.NodeName) bool {
	return slices.ContainsFunc(members, func(member fleet.Member) bool { return member.Name == name })
}

func containsZone(members []fleet.Member, zone fleet.Zone) bool {
	return slices.ContainsFunc(members, func(member fleet.Member) bool { return member.Zone == zone })
}

// coordinatorIndex is the slot index that is hashed to choose the coordinator; no
// slot has it.
const coordinatorIndex = -1

// Coordinator returns the member that maintains the table, so that usually only one
// node reads and writes its object. Correctness does not depend on there being one.
func Coordinator(usable []fleet.Member) (fleet.Member, bool) {
	chosen := SelectVoters(coordinatorIndex, nil, usable)
	if len(chosen) == 0 {
		return fleet.Member{}, false
	}
	return chosen[0], true
}

// Merge returns the table with the newer version of each slot, and the slots of
// other that were newer.
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
