package placer

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"pgregory.net/rapid"

	"github.com/spanlanding/spanlanding/internal/inventory"
	"github.com/spanlanding/spanlanding/internal/storepos"
)

// startsWorld is one server that starts again and again under its ID, and a leader that hears of
// it by entries and reports, which may come late and out of order.
type startsWorld struct {
	core *Core
	// present is the server's own count, and reports and entries what was said of it so far.
	present  Report
	reports  []Report
	entries  []inventory.Server
	revision int64
	// heard is the last of the reports that came.
	heard int
	// newest is the latest start that the leader was told of.
	newest  int64
	planted startsDefect
}

type startsDefect string

const (
	soundStarts     startsDefect = ""
	keepsSequence   startsDefect = "a count kept across starts"
	oldListRestores startsDefect = "an old list that brings back an earlier start"
)

func newStartsWorld(planted startsDefect) *startsWorld {
	w := &startsWorld{core: New(Options{Window: window, Overage: overage}), planted: planted}
	w.core.SetTable(simTable())
	w.startAgain()
	w.hearEntry(w.entries[0])
	w.core.ConfirmReservation()
	return w
}

func (w *startsWorld) startAgain() {
	w.present = Report{StartedAtMs: w.present.StartedAtMs + 1}
	w.write()
}

// write lets the server write its entry and answer a question for its report.
func (w *startsWorld) write() {
	w.revision++
	w.entries = append(w.entries, inventory.Server{ID: "s", StartedAtMs: w.present.StartedAtMs, Service: serviceName, Position: storepos.At(0, w.revision)})
	w.reports = append(w.reports, w.present)
}

func (w *startsWorld) known() *server { return w.core.servers["s"] }

func (w *startsWorld) hearEntry(entry inventory.Server) {
	if known := w.known(); known != nil && w.planted == oldListRestores {
		entry.Position, known.isTold = storepos.At(0, known.info.Position.Revision+1), false
	}
	if known := w.known(); known == nil || entry.Position.IsAfter(known.info.Position) {
		w.newest = max(w.newest, entry.StartedAtMs)
	}
	w.core.SetServers(begin, []inventory.Change{{Server: entry}})
}

func (w *startsWorld) hearReport(report Report) {
	before, count := w.known().info.StartedAtMs, w.known().sequence
	w.newest = max(w.newest, report.StartedAtMs)
	w.core.HandleReport(begin, "s", report, true)
	if w.planted == keepsSequence && w.known().info.StartedAtMs != before {
		w.known().sequence = max(count, w.known().sequence)
	}
}

// step plays one drawn step and says what is wrong then; empty is nothing.
func (w *startsWorld) step(draw func(below int) int) string {
	switch draw(5) {
	case 0:
		w.startAgain()
	case 1:
		w.present.Sequence += int64(1 + draw(3))
		w.write()
	case 2:
		w.hearEntry(w.entries[draw(len(w.entries))])
	case 3:
		// One question follows the answer of the other: reports come late, but in order.
		w.heard += draw(len(w.reports) - w.heard)
		w.hearReport(w.reports[w.heard])
	case 4:
		w.heard = len(w.reports) - 1
		w.hearReport(w.present)
		if known := w.known(); known.info.StartedAtMs != w.present.StartedAtMs || known.sequence != w.present.Sequence {
			return fmt.Sprintf("start %d with count %d is believed after the report of start %d with count %d",
				known.info.StartedAtMs, known.sequence, w.present.StartedAtMs, w.present.Sequence)
		}
	}
	if born := w.known().info.StartedAtMs; born < w.newest {
		return fmt.Sprintf("start %d is believed though %d was told", born, w.newest)
	}
	return ""
}

const startSteps = 40

func TestStartsUnderDrawnSteps(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		world := newStartsWorld(soundStarts)
		for range startSteps {
			if wrong := world.step(func(below int) int { return rapid.IntRange(0, below-1).Draw(t, "draw") }); wrong != "" {
				t.Fatal(wrong)
			}
		}
	})
}

// TestDrawnStepsFindDefectsOfStarts: the steps above would show each of them.
func TestDrawnStepsFindDefectsOfStarts(t *testing.T) {
	for _, planted := range []startsDefect{keepsSequence, oldListRestores} {
		found := ""
		for seed := uint64(0); seed < 200 && found == ""; seed++ {
			random := rand.New(rand.NewPCG(seed, seed))
			world := newStartsWorld(planted)
			for step := 0; step < startSteps && found == ""; step++ {
				found = world.step(random.IntN)
			}
		}
		if found == "" {
			t.Errorf("not found: %s", planted)
		}
	}
}
