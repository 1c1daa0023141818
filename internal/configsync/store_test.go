package configsync

import (
	"slices"
	"strings"
	"time"

	"github.com/spanlanding/spanlanding/internal/objectstore"
)

// testStore is the store as the schedules see it. Its history is the judge.
type testStore struct {
	version uint64
	history []objectstore.Object
	down    bool
	// shown is the revision that reads show; 0 shows the newest.
	shown uint64
	// compacted is the revision before which events are gone.
	compacted uint64
	// machines is the machine list after each change, by the time of it.
	machines []objectstore.MachineList
}

// setMachine changes one machine's state; an empty state takes it off.
func (s *testStore) setMachine(now time.Time, name string, state objectstore.MachineState) {
	list := objectstore.MachineList{AsOfUnixMilli: now.UnixMilli()}
	if len(s.machines) > 0 {
		list.Machines = slices.Clone(s.machines[len(s.machines)-1].Machines)
	}
	list.Machines = slices.DeleteFunc(list.Machines, func(machine objectstore.Machine) bool { return machine.Name == name })
	if state != "" {
		list.Machines = append(list.Machines, objectstore.Machine{Role: "engine", Name: name, State: state})
	}
	slices.SortFunc(list.Machines, func(a, b objectstore.Machine) int { return strings.Compare(a.Name, b.Name) })
	s.machines = append(s.machines, list)
}

// machinesAt is the machine list as it was at a time.
func (s *testStore) machinesAt(unixMilli int64) objectstore.MachineList {
	shown := objectstore.MachineList{AsOfUnixMilli: unixMilli}
	for _, list := range s.machines {
		if list.AsOfUnixMilli <= unixMilli {
			shown.Machines = list.Machines
		}
	}
	return shown
}

func (s *testStore) write(kind, name string, deleted bool) {
	s.version++
	s.history = append(s.history, objectstore.Object{Kind: kind, Name: name, Version: s.version, Deleted: deleted})
}

func (s *testStore) visible() uint64 {
	if s.shown > 0 {
		return s.shown
	}
	return s.version
}

// at returns the last change of each key up to a revision.
func (s *testStore) at(version uint64) map[objectstore.Key]objectstore.Object {
	state := make(map[objectstore.Key]objectstore.Object)
	for _, change := range s.history {
		if change.Version <= version {
			state[change.Key()] = change
		}
	}
	return state
}

func (s *testStore) list() objectstore.ObjectList {
	list := objectstore.ObjectList{Version: s.visible()}
	for _, object := range s.at(s.visible()) {
		if !object.Deleted {
			list.Objects = append(list.Objects, object)
		}
	}
	sortObjects(list.Objects)
	return list
}
