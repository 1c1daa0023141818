package configsync

import (
	"slices"
	"strings"
	"time"

	"github.com/spanlanding/spanlanding/internal/objectstore"
)

// testStore simulates the store. Its history is the reference for the checks.
type testStore struct {
	version uint64
	history []objectstore.Object
	down    bool
	// visibleVersion is the revision that reads return; 0 means the newest.
	visibleVersion uint64
	// compacted is the revision before which events are gone.
	compacted uint64
	// machines are the machine lists after each change, by timestamp.
	machines []objectstore.MachineList
}

// setMachine changes one machine's state; an empty state removes the machine.
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

// machinesAt returns the machine list as of a time.
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
	if s.visibleVersion > 0 {
		return s.visibleVersion
	}
	return s.version
}

// stateAt returns the last change of each key up to a revision.
func (s *testStore) stateAt(version uint64) map[objectstore.Key]objectstore.Object {
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
	for _, object := range s.stateAt(s.visible()) {
		if !object.Deleted {
			list.Objects = append(list.Objects, object)
		}
	}
	sortObjects(list.Objects)
	return list
}
