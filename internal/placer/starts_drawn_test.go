package placer

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"pgregory.net/rapid"

	"github.com/spanlanding/spanlanding/internal/inventory"
	"github.com/spanlanding/spanlanding/internal/storepos"
	_ "github.com/spanlanding/spanlanding/internal/testseed"
)

// startsWorld simulates one server that restarts repeatedly under its ID, and a leader that
// learns of it by store entries and reports, which may arrive late and out of order.
type startsWorld struct {
	core *Core
	// current is the server's present state; reports and entries hold what was recorded of it so
	// far.
	current  Report
	reports  []Report
	entries  []inventory.Server
	revision int64
	// lastDelivered is the index of the latest report delivered.
	lastDelivered int
	// newestStart is the latest start that the leader was informed of.
	newestStart int64
	defect      startsDefect
}

// startsDefect is a defect that the test injects.
type startsDefect string

const (
	noStartsDefect  startsDefect = ""
	keepsSequence   startsDefect = "sequence number kept across starts"
	oldListRestores startsDefect = "old list that restores an earlier start"
)

// newStartsWorld returns a world whose leader knows the first entry of the server.
func newStartsWorld(defect startsDefect) *startsWorld {
	w := &startsWorld{core: New(Options{Window: window, Overage: overage}), defect: defect}
	w.core.SetTable(simTable())
	w.restart()
	w.deliverEntry(w.entries[0])
	w.core.ConfirmReservation()
	return w
}

func (w *startsWorld) restart() {
	w.current = Report{StartedAtMs: w.current.StartedAtMs + 1}
	w.recordState()
}

// recordState adds the current state to the entries and reports that can be delivered.
func (w *startsWorld) recordState() {
	w.revision++
	w.entries = append(w.entries, inventory.Server{ID: "s", StartedAtMs: w.current.StartedAtMs, Service: serviceName, Position: storepos.At(0, w.revision)})
	w.reports = append(w.reports, w.current)
}

func (w *startsWorld) server() *server { return w.core.servers["s"] }

func (w *startsWorld) deliverEntry(entry inventory.Server) {
	if known := w.server(); known != nil && w.defect == oldListRestores {
		entry.Position, known.isStartUnconfirmed = storepos.At(0, known.info.Position.Revision+1), false
	}
	if known := w.server(); known == nil || entry.Position.IsAfter(known.info.Position) {
		w.newestStart = max(w.newestStart, entry.StartedAtMs)
	}
	w.core.SetServers(begin, []inventory.Change{{Server: entry}})
}

func (w *startsWorld) deliverReport(report Report) {
	startedAt, sequence := w.server().info.StartedAtMs, w.server().sequence
	w.newestStart = max(w.newestStart, report.StartedAtMs)
	w.core.HandleReport(begin, "s", report, true)
	if w.defect == keepsSequence && w.server().info.StartedAtMs != startedAt {
		w.server().sequence = max(sequence, w.server().sequence)
	}
}

// step executes one drawn step and returns a description of the violation it caused, or an empty
// string.
func (w *startsWorld) step(draw func(below int) int) string {
	switch draw(5) {
	case 0:
		w.restart()
	case 1:
		w.current.Sequence += int64(1 + draw(3))
		w.recordState()
	case 2:
		w.deliverEntry(w.entries[draw(len(w.entries))])
	case 3:
		// Only one report request is outstanding at a time, so reports arrive late but in order.
		w.lastDelivered += draw(len(w.reports) - w.lastDelivered)
		w.deliverReport(w.reports[w.lastDelivered])
	case 4:
		w.lastDelivered = len(w.reports) - 1
		w.deliverReport(w.current)
		if known := w.server(); known.info.StartedAtMs != w.current.StartedAtMs || known.sequence != w.current.Sequence {
			return fmt.Sprintf("start %d with sequence number %d is current after the report of start %d with sequence number %d",
				known.info.StartedAtMs, known.sequence, w.current.StartedAtMs, w.current.Sequence)
		}
	}
	if startedAt := w.server().info.StartedAtMs; startedAt < w.newestStart {
		return fmt.Sprintf("start %d is current although start %d was delivered", startedAt, w.newestStart)
	}
	return ""
}

const startSteps = 40

// TestStartsUnderDrawnSteps checks over random step sequences that the leader never goes back to
// an earlier start, and that a current report determines the start and the sequence number.
func TestStartsUnderDrawnSteps(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		world := newStartsWorld(noStartsDefect)
		for range startSteps {
			if violation := world.step(func(below int) int { return rapid.IntRange(0, below-1).Draw(t, "draw") }); violation != "" {
				t.Fatal(violation)
			}
		}
	})
}

// TestDrawnStepsFindDefectsOfStarts checks that the steps above detect each of the injected
// defects.
func TestDrawnStepsFindDefectsOfStarts(t *testing.T) {
	for _, defect := range []startsDefect{keepsSequence, oldListRestores} {
		violation := ""
		for seed := uint64(0); seed < 200 && violation == ""; seed++ {
			random := rand.New(rand.NewPCG(seed, seed))
			world := newStartsWorld(defect)
			for step := 0; step < startSteps && violation == ""; step++ {
				violation = world.step(random.IntN)
			}
		}
		if violation == "" {
			t.Errorf("not found: %s", defect)
		}
	}
}
