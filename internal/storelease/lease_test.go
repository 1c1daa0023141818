package storelease

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/spanlanding/spanlanding/internal/storepos"
)

var startTime = time.Date(2026, 12, 2, 9, 0, 0, 0, time.UTC)

func options(holder string) Options {
	return Options{
		Holder: holder, Duration: 2 * time.Second, RenewInterval: 700 * time.Millisecond,
		Margin: 300 * time.Millisecond, QuietPeriod: 3 * time.Second,
	}
}

func at(offset time.Duration) time.Time { return startTime.Add(offset) }

func TestFreeLeaseIsTakenAndOrdersAtOnce(t *testing.T) {
	core := New(options("a"))
	if core.CanAcquire(startTime) {
		t.Error("CanAcquire is true before the object was read")
	}
	core.ObserveAbsent(startTime, startTime, 0)
	if !core.CanAcquire(startTime) {
		t.Fatal("CanAcquire is false for a free lease")
	}
	core.NextRecord(startTime)
	core.WriteSucceeded(startTime, at(4*time.Millisecond), storepos.At(0, 7))
	if core.Term() != 7 || !core.MayIssueOrders(at(5*time.Millisecond)) {
		t.Errorf("term %d, may issue orders %v; want 7 and true", core.Term(), core.MayIssueOrders(at(5*time.Millisecond)))
	}
	if core.MayIssueOrders(at(2 * time.Second)) {
		t.Error("orders allowed after Duration, counted from before the write was sent")
	}
}

func TestSuccessorWaitsForTheLeaseAndThenForQuiet(t *testing.T) {
	core := New(options("b"))
	core.Observe(startTime, startTime, Record{Holder: "a", Position: storepos.At(0, 5)})
	core.Observe(at(2*time.Second), at(2*time.Second), Record{Holder: "a", Position: storepos.At(0, 5)})
	if core.CanAcquire(at(2299 * time.Millisecond)) {
		t.Error("CanAcquire is true before Duration and Margin have passed")
	}
	if !core.CanAcquire(at(2301 * time.Millisecond)) {
		t.Fatal("CanAcquire is false after Duration and Margin")
	}
	sent := at(2400 * time.Millisecond)
	core.NextRecord(sent)
	core.WriteSucceeded(sent, sent, storepos.At(0, 6))
	if core.MayIssueOrders(at(4 * time.Second)) {
		t.Error("orders allowed within the quiet period")
	}
	for renewed := sent; renewed.Before(at(6 * time.Second)); renewed = renewed.Add(700 * time.Millisecond) {
		core.WriteSucceeded(renewed, renewed, storepos.At(0, 7))
	}
	if core.MayIssueOrders(at(5299*time.Millisecond)) || !core.MayIssueOrders(at(5301*time.Millisecond)) {
		t.Error("the first order is not Duration, Margin and QuietPeriod after the position was first seen")
	}
}

func TestSameMachineGoesOnAtOnce(t *testing.T) {
	core := New(options("a"))
	core.Observe(startTime, startTime, Record{Holder: "a", Position: storepos.At(0, 9), Loads: map[string][]time.Duration{"llm": {time.Second}}})
	core.NextRecord(startTime)
	core.WriteSucceeded(startTime, startTime, storepos.At(0, 10))
	if !core.MayIssueOrders(at(time.Millisecond)) {
		t.Error("a restarted holder waits for its own earlier lease")
	}
	loads := core.PastLoads()["llm"]
	if len(loads) != 1 || !loads[0].Equal(at(-time.Second)) {
		t.Errorf("past loads %v, want one started a second ago", loads)
	}
}

// A node acquires the lease of another node and restarts before its first order: the
// rest of the quiet period still applies.
func TestRestartKeepsTheQuietTime(t *testing.T) {
	core := New(options("b"))
	core.Observe(startTime, startTime, Record{Holder: "b", Position: storepos.At(0, 9), QuietPeriod: 2 * time.Second})
	core.NextRecord(startTime)
	core.WriteSucceeded(startTime, startTime, storepos.At(0, 10))
	if core.MayIssueOrders(at(1900 * time.Millisecond)) {
		t.Error("a restart shortened the quiet period")
	}
}

func TestHeardRevisionStartsTheWait(t *testing.T) {
	core := New(options("b"))
	core.ObserveWrite(startTime, "a", "", storepos.At(0, 5))
	if core.CanAcquire(at(3 * time.Second)) {
		t.Error("CanAcquire is true without a read of the store")
	}
	core.Observe(at(2400*time.Millisecond), at(2400*time.Millisecond), Record{Holder: "a", Position: storepos.At(0, 5)})
	if !core.CanAcquire(at(2400 * time.Millisecond)) {
		t.Error("the wait is not counted from when the peer reported the revision")
	}
}

func TestOlderReadsChangeNothing(t *testing.T) {
	core := New(options("b"))
	core.Observe(startTime, startTime, Record{Holder: "a", Position: storepos.At(0, 8)})
	core.Observe(startTime, at(time.Second), Record{Holder: "c", Position: storepos.At(0, 7)})
	if core.Record().Holder != "a" {
		t.Errorf("holder %q, taken from an older read", core.Record().Holder)
	}
}

// The observed LoadsAtOnce reach the next holder through the stored record.
// TestNodeOfTheSameNameIsAnotherHolder guards against two leaders where a node takes the place, and the name, of
// one whose process has not ended: it waits for the lease to expire as for that of any other node, and the former
// holder's term ends once the other one has the lease.
func TestNodeOfTheSameNameIsAnotherHolder(t *testing.T) {
	former, replacement := options("a"), options("a")
	former.Address, replacement.Address = "10.0.0.1:7380", "10.0.0.2:7380"
	holder, successor := New(former), New(replacement)
	holder.ObserveAbsent(startTime, startTime, 0)
	written := holder.NextRecord(startTime)
	holder.WriteSucceeded(startTime, startTime, storepos.At(0, 5))
	written.Position = storepos.At(0, 5)
	for _, observe := range map[string]func(){
		"read":     func() { successor.Observe(startTime, startTime, written) },
		"reported": func() { successor.ObserveWrite(startTime, "a", former.Address, storepos.At(0, 5)) },
	} {
		successor = New(replacement)
		observe()
		if successor.CanAcquire(at(time.Second)) || successor.IsOwn() {
			t.Fatal("takes the lease of a node of its name while that may hold it")
		}
	}
	expired := at(former.Duration + former.Margin + time.Millisecond)
	successor.Observe(expired, expired, written)
	if !successor.CanAcquire(expired) {
		t.Fatal("does not take the lease once it has expired")
	}
	taken := successor.NextRecord(expired)
	successor.WriteSucceeded(expired, expired, storepos.At(0, 6))
	if first := successor.FirstOrderAt(); first.Before(at(former.Duration + former.QuietPeriod)) {
		t.Errorf("the first order may go %v after the last of the former holder may have", first.Sub(at(former.Duration)))
	}
	taken.Position = storepos.At(0, 6)
	holder.Observe(expired, expired, taken)
	if holder.Term() != 0 || !successor.IsOwn() {
		t.Errorf("term %d of the former holder, want none", holder.Term())
	}
	restarted := New(replacement)
	restarted.Observe(expired, expired, taken)
	if !restarted.CanAcquire(expired) {
		t.Error("a process that restarts on the holder's node waits for its own lease")
	}
}

func TestWhatHoldersLearnedIsHandedOn(t *testing.T) {
	core := New(options("b"))
	learned := map[string]float64{"svc": 4.2}
	core.Observe(startTime, startTime, Record{Holder: "a", Position: storepos.At(0, 5), LoadsAtOnce: learned})
	core.Observe(at(2400*time.Millisecond), at(2400*time.Millisecond), Record{Holder: "a", Position: storepos.At(0, 5), LoadsAtOnce: learned})
	core.NextRecord(at(2400 * time.Millisecond))
	core.WriteSucceeded(at(2400*time.Millisecond), at(2400*time.Millisecond), storepos.At(0, 6))
	if got := core.PastLoadsAtOnce()["svc"]; got != 4.2 {
		t.Errorf("LoadsAtOnce %v from earlier holders, want 4.2", got)
	}
}

// A store restored from a backup names a node as the holder although a later node has acquired
// the lease since: the named node must wait like any other.
func TestRestoredRecordIsNobodys(t *testing.T) {
	restored := Record{Holder: "b", Position: storepos.At(3, 5), Era: 2}
	for name, before := range map[string]func(*Core){
		"read": func(*Core) {},
		"read in the era before": func(core *Core) {
			core.Observe(startTime, startTime, Record{Holder: "a", Position: storepos.At(2, 9), Era: 2})
		},
		"reported by a later holder": func(core *Core) { core.ObserveWrite(startTime, "a", "", storepos.At(3, 5)) },
		"held, and expired": func(core *Core) {
			core.ObserveAbsent(at(-time.Hour), at(-time.Hour), 2)
			core.WriteSucceeded(at(-time.Hour), at(-time.Hour), storepos.At(2, 9))
		},
	} {
		t.Run(name, func(t *testing.T) {
			core := New(options("b"))
			before(core)
			core.Observe(startTime, startTime, restored)
			if core.CanAcquire(startTime) || core.Term() != 0 {
				t.Errorf("may be acquired at once: %v, term %d", core.CanAcquire(startTime), core.Term())
			}
			core.Observe(at(2400*time.Millisecond), at(2400*time.Millisecond), restored)
			if !core.CanAcquire(at(2400 * time.Millisecond)) {
				t.Error("may not be acquired after Duration and Margin")
			}
			core.NextRecord(at(2400 * time.Millisecond))
			core.WriteSucceeded(at(2400*time.Millisecond), at(2400*time.Millisecond), storepos.At(3, 6))
			if core.FirstOrderAt().Before(at(5300 * time.Millisecond)) {
				t.Errorf("the first order may be sent %v after the record was seen", core.FirstOrderAt().Sub(startTime))
			}
		})
	}
}

func TestTokensRiseOverEras(t *testing.T) {
	cases := map[string]struct {
		records []Record
		// The token must be above least and below most.
		least, most int64
	}{
		"first ever, no era":            {[]Record{{Position: storepos.At(0, 0)}}, 0, tokensPerEra},
		"first ever, counted from zero": {[]Record{{Position: storepos.At(storepos.EarliestEra, 0)}}, 0, tokensPerEra},
		"first ever, counted from one":  {[]Record{{Position: storepos.At(storepos.FirstEra, 0)}}, tokensPerEra, 2 * tokensPerEra},
		"an older build's":              {[]Record{{Holder: "x", Position: storepos.At(2, 7)}}, 7, tokensPerEra},
		"an older build's, remembered":  {[]Record{{Holder: "x", Position: storepos.At(2, 70)}, {Holder: "x", Position: storepos.At(3, 7)}}, 70, 2 * tokensPerEra},
		"restored":                      {[]Record{{Holder: "x", Position: storepos.At(3, 7), Era: 2}}, tokensPerEra, 2 * tokensPerEra},
		"restored twice":                {[]Record{{Holder: "x", Position: storepos.At(4, 7), Era: 2}}, 2 * tokensPerEra, 3 * tokensPerEra},
		"lost, remembered":              {[]Record{{Holder: "x", Position: storepos.At(3, 70), Era: 3, TokenBase: tokensPerEra}, {Position: storepos.At(4, 0)}}, 2 * tokensPerEra, 4 * tokensPerEra},
		"lost, remembered by nobody":    {[]Record{{Position: storepos.At(4, 0)}}, 3 * tokensPerEra, 4 * tokensPerEra},
		"lost, a lower one remembered":  {[]Record{{Holder: "x", Position: storepos.At(3, 70), Era: 3}, {Position: storepos.At(4, 0)}}, 3 * tokensPerEra, 4 * tokensPerEra},
		"a base below 0":                {[]Record{{Holder: "x", Position: storepos.At(3, 7), Era: 3, TokenBase: -5}}, 0, tokensPerEra},
		"a base that overflows":         {[]Record{{Holder: "x", Position: storepos.At(3, 7), Era: 2, TokenBase: math.MaxInt64}}, 0, math.MaxInt64},
		"an era below 0":                {[]Record{{Holder: "x", Position: storepos.At(3, 7), Era: math.MinInt64}}, 0, math.MaxInt64},
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

// TestTokensRiseWhereverErasBegin guards against a token below one that was used: all processes end as the
// store goes back to before the first lease, any number of times in a row, and nobody remembers a token.
func TestTokensRiseWhereverErasBegin(t *testing.T) {
	for first := range int64(4) {
		t.Run(fmt.Sprint("from ", first), func(t *testing.T) {
			highest := int64(0)
			for restores := range int64(5) {
				era, core := storepos.EraFromStore(first+restores), New(options("b"))
				core.ObserveAbsent(at(0), at(0), era)
				core.NextRecord(at(time.Minute))
				core.WriteSucceeded(at(time.Minute), at(time.Minute), storepos.At(era, 20-restores))
				if token := core.Term(); token <= highest {
					t.Errorf("token %d after %d restores, after %d", token, restores, highest)
				} else {
					highest = token
				}
			}
		})
	}
}
