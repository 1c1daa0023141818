package evacuation

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"

	"github.com/spanlanding/spanlanding/internal/restoretest"
	"github.com/spanlanding/spanlanding/internal/storepos"
)

const oldEra, newEra = storepos.FirstEra, storepos.FirstEra + 1

func newPeerTable() *Table {
	table := New()
	table.ExpectPeers()
	return table
}

// TestRetainedZoneIsInForceAtTheStart guards against a starting node that knows of a retained zone
// and does not put its evacuation into force, as no change reported it.
func TestRetainedZoneIsInForceAtTheStart(t *testing.T) {
	changes := New().ApplyPeerSnapshot(begin, Snapshot{Position: storepos.At(newEra, 50), Retained: []string{"a"}, RetainedFor: storepos.RestoreRewriteTime})
	if len(changes) != 1 || changes[0].Zone != "a" || changes[0].Kind != Begun {
		t.Errorf("changes %+v, want the beginning of a's evacuation", changes)
	}
}

// restoreSim draws the history of a store that is restored from a copy, and what a starting node
// may receive of it.
type restoreSim struct {
	draw   restoretest.Draw
	states []map[string]bool
	// uncertain are the zones written after the restore, and those whose evacuation ended in the
	// lost writes: they may be evacuated for longer than necessary.
	uncertain map[string]bool
	// copiedAt is the number of states in the copy, and snapshots are those of peers; the one at the
	// index certain is received in any case.
	copiedAt  int
	snapshots []Snapshot
	certain   int
}

// write draws one change of the store.
func (s *restoreSim) write(isRestored bool) {
	next := maps.Clone(s.states[len(s.states)-1])
	zone := string(rune('a' + s.draw("zone", 3)))
	if next[zone] = s.draw("evacuated", 2) == 1; !next[zone] {
		delete(next, zone)
	}
	if isRestored || s.copiedAt > 0 && !next[zone] {
		s.uncertain[zone] = true
	}
	s.states = append(s.states, next)
}

func (s *restoreSim) list(era int64, index int) Snapshot {
	return Snapshot{Zones: slices.Sorted(maps.Keys(s.states[index])), Position: storepos.At(era, int64(index))}
}

// peerBefore returns the table of a peer that knows the first states of the earlier era.
func (s *restoreSim) peerBefore(last int) *Table {
	table := newPeerTable()
	for index := range last + 1 {
		table.ApplyStoreSnapshot(begin, begin, s.list(oldEra, index))
	}
	s.snapshots = append(s.snapshots, table.SnapshotWithRetained(begin))
	return table
}

// drawIndex draws the state of the new era that a list shows.
func (s *restoreSim) drawIndex(name string) int {
	return s.copiedAt + s.draw(name, len(s.states)-s.copiedAt)
}

// follow lets a peer read lists of the new era.
func (s *restoreSim) follow(table *Table, name string) {
	for index := s.drawIndex(name); index < len(s.states); index += 1 + s.draw("step", 2) {
		table.ApplyStoreSnapshot(begin, begin, s.list(newEra, index))
		s.snapshots = append(s.snapshots, table.SnapshotWithRetained(begin))
	}
}

// run draws a history and compares tables that receive the same in drawn orders. It returns a
// description of the first violation; empty means none.
func (s *restoreSim) run(defect string) string {
	s.states, s.uncertain = []map[string]bool{{}}, make(map[string]bool)
	for range 2 + s.draw("before the copy", 4) {
		s.write(false)
	}
	s.copiedAt = len(s.states) - 1
	for range s.draw("lost", 5) {
		s.write(false)
	}
	lost := s.states[len(s.states)-1]
	informed, laggard := s.peerBefore(len(s.states)-1), s.peerBefore(s.draw("laggard up to", len(s.states)))
	s.states = s.states[:s.copiedAt+1]
	for range s.draw("written after", 3) {
		s.write(true)
	}
	s.follow(informed, "informed from")
	s.certain = restoretest.DrawInformed(s.draw, len(s.snapshots))
	s.follow(laggard, "laggard from")
	s.follow(newPeerTable(), "started from")

	own := s.list(newEra, s.drawIndex("own list"))
	messages := []restoretest.Message[*Table]{{Name: "own list", Apply: func(table *Table) { table.ApplyStoreSnapshot(begin, begin, own) }}}
	for i, snapshot := range s.snapshots {
		if i != s.certain && s.draw("received", 2) == 0 {
			continue
		}
		switch defect {
		case "prior is not told":
			snapshot.Prior = storepos.Position{}
		case "an earlier era is ignored":
			if snapshot.Position.Era == oldEra {
				continue
			}
		}
		messages = append(messages, restoretest.Message[*Table]{
			Name: fmt.Sprintf("%+v", snapshot), Apply: func(table *Table) { table.ApplyPeerSnapshot(begin, snapshot) },
		})
	}
	return s.compare(messages, lost)
}

func (s *restoreSim) compare(messages []restoretest.Message[*Table], lost map[string]bool) string {
	describe := func(table *Table) string { return fmt.Sprintf("%q", table.Zones()) }
	return restoretest.Compare(s.draw, messages, newPeerTable, describe, func(table *Table) (result, violation string) {
		var compared []string
		for _, zone := range table.Zones() {
			if !s.uncertain[zone] {
				compared = append(compared, zone)
			}
		}
		for zone := range lost {
			if !s.uncertain[zone] && !table.IsEvacuated(zone) {
				return "", "zone " + zone + " was evacuated before the restore and takes work"
			}
		}
		return strings.Join(compared, " "), ""
	})
}

func playRestore(draw restoretest.Draw, defect string) string {
	return (&restoreSim{draw: draw}).run(defect)
}

// TestOrderOfCopyAndPeersDoesNotMatter guards against the order in which a starting node receives
// the restored copy and the lists of peers deciding which zones it takes for evacuated.
func TestOrderOfCopyAndPeersDoesNotMatter(t *testing.T) { restoretest.Check(t, playRestore) }

// TestDefectsOfOrderAreFound checks that the simulation detects injected defects.
func TestDefectsOfOrderAreFound(t *testing.T) {
	restoretest.CheckDefects(t, playRestore, "prior is not told", "an earlier era is ignored")
}

// TestLaterPriorEndsRetention guards against a starting node keeping a zone out of use on the word
// of a peer that missed the end of its evacuation, once another peer knows better.
func TestLaterPriorEndsRetention(t *testing.T) {
	laggard := Snapshot{Position: storepos.At(newEra, 72), Retained: []string{"a"}, RetainedFor: storepos.RestoreRewriteTime, Prior: storepos.At(oldEra, 51)}
	informed := Snapshot{Position: storepos.At(newEra, 70), Prior: storepos.At(oldEra, 69)}
	for name, order := range map[string][]Snapshot{"laggard first": {laggard, informed}, "informed first": {informed, laggard}} {
		table := newPeerTable()
		table.ApplyStoreSnapshot(begin, begin, Snapshot{Position: storepos.At(newEra, 71)})
		for _, snapshot := range order {
			table.ApplyPeerSnapshot(begin, snapshot)
		}
		if table.IsEvacuated("a") {
			t.Errorf("%s: a is evacuated", name)
		}
	}
}
