package placer

import (
	"math"
	"testing"
	"time"
)

// weightStore is a store that so many loads at once share at full speed.
type weightStore struct {
	atOnce float64
	full   time.Duration
	// slowOne makes every nth load take four times as long; 0 is none.
	slowOne int
}

// play keeps as many loads under way as the limit allows, for so long, and
// returns the time that the loads took on the average.
func (w weightStore) play(limit *storeLimit, lasts time.Duration) time.Duration {
	type underWay struct {
		run  *loadRun
		left float64
	}
	const step = 50 * time.Millisecond
	var running []*underWay
	begun, ended, total := 0, 0, time.Duration(0)
	for now := begin; now.Sub(begin) < lasts; now = now.Add(step) {
		for len(running) < limit.allowed() {
			begun++
			left := w.full.Seconds()
			if w.slowOne > 0 && begun%w.slowOne == 0 {
				left *= 4
			}
			running = append(running, &underWay{run: newLoadRun(now, w.full), left: left})
		}
		var kept []*underWay
		var overdue []*loadRun
		for _, load := range running {
			load.left -= step.Seconds() * min(1, w.atOnce/float64(len(running)))
			load.run.ranBeside(now.Add(step), len(running))
			if load.left <= -reportLag.Seconds() {
				limit.ended(load.run)
				ended++
				total += load.run.took()
				continue
			}
			if load.run.isLate() {
				overdue = append(overdue, load.run)
			}
			kept = append(kept, load)
		}
		limit.overdue(overdue)
		running = kept
	}
	return total / time.Duration(max(1, ended))
}

// TestLimitIsLearned: from no knowledge, at stores of unlike widths and loads of
// unlike lengths.
func TestLimitIsLearned(t *testing.T) {
	for _, width := range []float64{1, 2, 4, 7, 13, 30} {
		for _, full := range []time.Duration{1500 * time.Millisecond, 3 * time.Second, 6 * time.Second} {
			limit := newStoreLimit(0)
			weightStore{atOnce: width, full: full}.play(limit, 12*full)
			if off := math.Abs(limit.atOnce - width); off > max(1.2, 0.25*width) {
				t.Errorf("width %v, loads of %v: learned %.2f", width, full, limit.atOnce)
			}
		}
	}
}

// TestLimitHoldsBesideSlowServers: one server whose loads take long says little
// of the store.
func TestLimitHoldsBesideSlowServers(t *testing.T) {
	limit := newStoreLimit(0)
	weightStore{atOnce: 8, full: 3 * time.Second, slowOne: 7}.play(limit, time.Minute)
	if limit.atOnce < 5 {
		t.Errorf("learned %.2f of a store that bears 8", limit.atOnce)
	}
}

// TestLimitFollowsASlowedStore: what was learned is learned anew.
func TestLimitFollowsASlowedStore(t *testing.T) {
	limit := newStoreLimit(0)
	weightStore{atOnce: 8, full: 3 * time.Second}.play(limit, time.Minute)
	weightStore{atOnce: 2, full: 3 * time.Second}.play(limit, time.Minute)
	if limit.atOnce > 3.5 {
		t.Errorf("learned %.2f of a store that bears 2 by now", limit.atOnce)
	}
	weightStore{atOnce: 8, full: 3 * time.Second}.play(limit, time.Minute)
	if limit.atOnce < 5 {
		t.Errorf("learned %.2f of a store that bears 8 again", limit.atOnce)
	}
}

// TestLimitIsHandedOn: a later leader does not search in great steps again.
func TestLimitIsHandedOn(t *testing.T) {
	limit := newStoreLimit(5)
	limit.takeInTime(5)
	if limit.atOnce < 5.1 || limit.atOnce > 5.3 {
		t.Errorf("limit %.2f after one load in time, want 5.2", limit.atOnce)
	}
}

func TestLoadForetellsItsEnd(t *testing.T) {
	run := newLoadRun(begin, 6*time.Second)
	run.ranBeside(begin.Add(2*time.Second), 4)
	run.ranBeside(begin.Add(6*time.Second), 8)
	if left := run.left(4, 4); left != 2*time.Second {
		t.Errorf("%v left, want 2 s: 2 s at full speed and 4 s at half are done", left)
	}
	if left := run.left(4, 8); left != 4*time.Second {
		t.Errorf("%v left beside eight, want 4 s", left)
	}
}
