package storelease

import (
	"math"
	"testing"
	"time"

	"github.com/spanlanding/spanlanding/internal/storepos"
)

var begin = time.Date(2026, 12, 2, 9, 0, 0, 0, time.UTC)

func options(holder string) Options {
	return Options{
		Holder: holder, Duration: 2 * time.Second, RenewInterval: 700 * time.Millisecond,
		Margin: 300 * time.Millisecond, QuietPeriod: 3 * time.Second,
	}
}

func at(offset time.Duration) time.Time { return begin.Add(offset) }

func TestFreeLeaseIsTakenAndOrdersAtOnce(t *testing.T) {
	core := New(options("a"))
	if core.CanAcquire(begin) {
		t.Error("a lease that nobody read can be taken")
	}
	core.ObserveAbsent(begin, begin, 0)
	if !core.CanAcquire(begin) {
		t.Fatal("a free lease cannot be taken")
	}
	core.NextRecord(begin)
	core.WriteSucceeded(begin, at(4*time.Millisecond), storepos.At(0, 7))
	if core.Term() != 7 || !core.MayIssueOrders(at(5*time.Millisecond)) {
		t.Errorf("term %d, may order %v; want 7 and true", core.Term(), core.MayIssueOrders(at(5*time.Millisecond)))
	}
	if core.MayIssueOrders(at(2 * time.Second)) {
		t.Error("orders after its duration, counted from before the write was sent")
	}
}

func TestSuccessorWaitsForTheLeaseAndThenForQuiet(t *testing.T) {
	core := New(options("b"))
	core.Observe(begin, begin, Record{Holder: "a", Position: storepos.At(0, 5)})
	core.Observe(at(2*time.Second), at(2*time.Second), Record{Holder: "a", Position: storepos.At(0, 5)})
	if core.CanAcquire(at(2299 * time.Millisecond)) {
		t.Error("taken within duration and margin")
	}
	if !core.CanAcquire(at(2301 * time.Millisecond)) {
		t.Fatal("not to be taken after duration and margin")
	}
	sent := at(2400 * time.Millisecond)
	core.NextRecord(sent)
	core.WriteSucceeded(sent, sent, storepos.At(0, 6))
	if core.MayIssueOrders(at(4 * time.Second)) {
		t.Error("orders within the quiet time")
	}
	for renewed := sent; renewed.Before(at(6 * time.Second)); renewed = renewed.Add(700 * time.Millisecond) {
		core.WriteSucceeded(renewed, renewed, storepos.At(0, 7))
	}
	if core.MayIssueOrders(at(5299*time.Millisecond)) || !core.MayIssueOrders(at(5301*time.Millisecond)) {
		t.Error("first order is not duration, margin and quiet after the last sight")
	}
}

func TestSameMachineGoesOnAtOnce(t *testing.T) {
	core := New(options("a"))
	core.Observe(begin, begin, Record{Holder: "a", Position: storepos.At(0, 9), Loads: map[string][]time.Duration{"llm": {time.Second}}})
	core.NextRecord(begin)
	core.WriteSucceeded(begin, begin, storepos.At(0, 10))
	if !core.MayIssueOrders(at(time.Millisecond)) {
		t.Error("a machine waits for itself")
	}
	loads := core.PastLoads()["llm"]
	if len(loads) != 1 || !loads[0].Equal(at(-time.Second)) {
		t.Errorf("past loads %v, want one a second ago", loads)
	}
}

// TestRestartKeepsTheQuietTime is a machine that took the lease of another, and
// died before its first order.
func TestRestartKeepsTheQuietTime(t *testing.T) {
	core := New(options("b"))
	core.Observe(begin, begin, Record{Holder: "b", Position: storepos.At(0, 9), QuietPeriod: 2 * time.Second})
	core.NextRecord(begin)
	core.WriteSucceeded(begin, begin, storepos.At(0, 10))
	if core.MayIssueOrders(at(1900 * time.Millisecond)) {
		t.Error("a restart cut the quiet time short")
	}
}

func TestHeardRevisionStartsTheWait(t *testing.T) {
	core := New(options("b"))
	core.ObserveWrite(begin, "a", storepos.At(0, 5))
	if core.CanAcquire(at(3 * time.Second)) {
		t.Error("taken without a read of the store")
	}
	core.Observe(at(2400*time.Millisecond), at(2400*time.Millisecond), Record{Holder: "a", Position: storepos.At(0, 5)})
	if !core.CanAcquire(at(2400 * time.Millisecond)) {
		t.Error("the wait does not count from when the revision was heard")
	}
}

func TestOlderReadsChangeNothing(t *testing.T) {
	core := New(options("b"))
	core.Observe(begin, begin, Record{Holder: "a", Position: storepos.At(0, 8)})
	core.Observe(begin, at(time.Second), Record{Holder: "c", Position: storepos.At(0, 7)})
	if core.Record().Holder != "a" {
		t.Errorf("holder %q from an older read", core.Record().Holder)
	}
}

// TestWhatHoldersLearnedIsHandedOn to the next one, through the store's record.
func TestWhatHoldersLearnedIsHandedOn(t *testing.T) {
	core := New(options("b"))
	learned := map[string]float64{"svc": 4.2}
	core.Observe(begin, begin, Record{Holder: "a", Position: storepos.At(0, 5), LoadsAtOnce: learned})
	core.Observe(at(2400*time.Millisecond), at(2400*time.Millisecond), Record{Holder: "a", Position: storepos.At(0, 5), LoadsAtOnce: learned})
	core.NextRecord(at(2400 * time.Millisecond))
	core.WriteSucceeded(at(2400*time.Millisecond), at(2400*time.Millisecond), storepos.At(0, 6))
	if got := core.PastLoadsAtOnce()["svc"]; got != 4.2 {
		t.Errorf("learned %v handed on, want 4.2", got)
	}
}

// A copy of the store names a machine as the holder that a later one has taken the lease from.
func TestRestoredRecordIsNobodys(t *testing.T) {
	restored := Record{Holder: "b", Position: storepos.At(3, 5), Era: 2}
	for name, before := range map[string]func(*Core){
		"read":                    func(*Core) {},
		"read in the era before":  func(core *Core) { core.Observe(begin, begin, Record{Holder: "a", Position: storepos.At(2, 9), Era: 2}) },
		"heard of a later holder": func(core *Core) { core.ObserveWrite(begin, "a", storepos.At(3, 5)) },
		"held, and run out": func(core *Core) {
			core.ObserveAbsent(at(-time.Hour), at(-time.Hour), 2)
			core.WriteSucceeded(at(-time.Hour), at(-time.Hour), storepos.At(2, 9))
		},
	} {
		t.Run(name, func(t *testing.T) {
			core := New(options("b"))
			before(core)
			core.Observe(begin, begin, restored)
			if core.CanAcquire(begin) || core.Term() != 0 {
				t.Errorf("may be taken at once: %v, term %d", core.CanAcquire(begin), core.Term())
			}
			core.Observe(at(2400*time.Millisecond), at(2400*time.Millisecond), restored)
			if !core.CanAcquire(at(2400 * time.Millisecond)) {
				t.Error("may not be taken after a lease")
			}
			core.NextRecord(at(2400 * time.Millisecond))
			core.WriteSucceeded(at(2400*time.Millisecond), at(2400*time.Millisecond), storepos.At(3, 6))
			if core.FirstOrderAt().Before(at(5300 * time.Millisecond)) {
				t.Errorf("the first order leaves %v after the record was seen", core.FirstOrderAt().Sub(begin))
			}
		})
	}
}

func TestTokensRiseOverEras(t *testing.T) {
	cases := map[string]struct {
		records []Record
		// least is what the token must be above.
		least, most int64
	}{
		"first ever, counted from one": {[]Record{{Position: storepos.At(storepos.FirstEra, 0)}}, 0, tokenStep},
		"an older build's":             {[]Record{{Holder: "x", Position: storepos.At(2, 7)}}, 7, tokenStep},
		"an older build's, remembered": {[]Record{{Holder: "x", Position: storepos.At(2, 70)}, {Holder: "x", Position: storepos.At(3, 7)}}, 70, 2 * tokenStep},
		"restored":                     {[]Record{{Holder: "x", Position: storepos.At(3, 7), Era: 2}}, tokenStep, 2 * tokenStep},
		"restored twice":               {[]Record{{Holder: "x", Position: storepos.At(4, 7), Era: 2}}, 2 * tokenStep, 3 * tokenStep},
		"lost, remembered":             {[]Record{{Holder: "x", Position: storepos.At(3, 70), Era: 3, TokenBase: tokenStep}, {Position: storepos.At(4, 0)}}, 2 * tokenStep, 3 * tokenStep},
		"lost, remembered by nobody":   {[]Record{{Position: storepos.At(4, 0)}}, 2 * tokenStep, 3 * tokenStep},
		"a base below 0":               {[]Record{{Holder: "x", Position: storepos.At(3, 7), Era: 3, TokenBase: -5}}, 0, tokenStep},
		"a base that overflows":        {[]Record{{Holder: "x", Position: storepos.At(3, 7), Era: 2, TokenBase: math.MaxInt64}}, 0, math.MaxInt64},
		"an era below 0":               {[]Record{{Holder: "x", Position: storepos.At(3, 7), Era: math.MinInt64}}, 0, math.MaxInt64},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			core := New(options("b"))
			var last storepos.Position
			for i, record := range c.records {
				now := at(time.Duration(i) * time.Second)
				if last = record.Position; record.Holder == "" {
					core.ObserveAbsent(now, now, record.Position.Era)
				} else {
					core.Observe(now, now, record)
				}
			}
			core.NextRecord(at(time.Minute))
			core.WriteSucceeded(at(time.Minute), at(time.Minute), storepos.At(last.Era, last.Revision+1))
			if token := core.Term(); token <= c.least || token >= c.most {
				t.Errorf("token %d, want one between %d and %d", token, c.least, c.most)
			}
		})
	}
}
