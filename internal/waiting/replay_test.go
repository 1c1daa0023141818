package waiting

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

// readTrace reads a recorded trace: the arrivals that nodes of a deployment logged (a
// sample of about a seventh of all), without callers' second attempts.
func readTrace(t *testing.T, name string) *trace {
	t.Helper()
	file, err := os.Open(filepath.Join("testdata", name+".trace"))
	if err != nil {
		t.Fatal(err)
	}
	defer file.Close()
	read, findings := parseTrace(file)
	if len(findings) > 0 {
		t.Fatalf("%s: %v", name, findings)
	}
	return read
}

// flooded adds the requests of a tenant that sends twenty times what another kind does, in
// the times given; its priority is the least.
func flooded(t *trace, like string, from, to time.Duration) *trace {
	flood := *t.kinds[like]
	flood.name, flood.priority = "flood", 3
	with := &trace{kinds: t.kinds}
	for _, arrival := range t.arrivals {
		with.arrivals = append(with.arrivals, arrival)
		if arrival.kind.name != like || arrival.at < from || arrival.at >= to {
			continue
		}
		for range 20 {
			with.arrivals = append(with.arrivals, traceArrival{at: arrival.at, kind: &flood, model: arrival.model})
		}
	}
	return with
}

// pattern is one time of high load, and what callers get in it at the least.
type pattern struct {
	name    string
	trace   func(t *testing.T) *trace
	options worldOptions
	// inTime is the least share in time, by kind.
	inTime map[string]float64
	// refusedLater bounds the share that is refused after waiting, and gaveUp the one that
	// is held to the end, of each kind.
	refusedLater, gaveUp float64
	// behind bounds by how much a kind is served less than a less urgent one.
	behind float64
}

func recorded(name string) func(t *testing.T) *trace {
	return func(t *testing.T) *trace { return readTrace(t, name) }
}

func patterns() []pattern {
	return []pattern{
		{
			name: "burst of one kind", trace: recorded("burst"), options: worldOptions{servers: 24},
			inTime: map[string]float64{"note": 0.72, "batch": 0.66, "draft": 0.61}, refusedLater: 0.02, behind: 0.26,
		},
		{
			name: "demand moves", trace: recorded("shift"), options: worldOptions{servers: 24},
			inTime: map[string]float64{"note": 0.78, "batch": 0.83, "draft": 0.74}, behind: 0.14,
		},
		{
			name: "a third of the servers gone", trace: recorded("calm"), options: worldOptions{servers: 30, loseAt: 2 * time.Second},
			inTime: map[string]float64{"note": 0.54, "batch": 0.64, "draft": 0.44}, refusedLater: 0.23, behind: 0.21,
		},
		{
			name: "all cold at once", trace: recorded("calm"),
			options: worldOptions{servers: 30, coldAt: 2 * time.Second, coldFor: 3 * time.Second, coldPerS: 3},
			inTime:  map[string]float64{"note": 0.42, "batch": 0.77, "draft": 0.34}, behind: 0.50,
		},
		{
			// Callers get no less than where those servers are gone.
			name: "a third of the servers limited", trace: recorded("calm"),
			options: worldOptions{servers: 30, limitAt: 2 * time.Second, limitFor: 6 * time.Second, limitPerS: 1},
			inTime:  map[string]float64{"note": 0.54, "batch": 0.64, "draft": 0.44}, refusedLater: 0.05, behind: 0.21,
		},
		{
			name: "a zone alone", trace: recorded("cut"), options: worldOptions{servers: 8},
			inTime: map[string]float64{"note": 0.57, "batch": 0.65, "draft": 0.73}, behind: 0.36,
		},
		{
			name: "a tenant's flood", options: worldOptions{servers: 30},
			trace: func(t *testing.T) *trace {
				return flooded(readTrace(t, "calm"), "draft", 2*time.Second, 4*time.Second)
			},
			inTime: map[string]float64{"note": 0.69, "batch": 0.77, "draft": 0.49}, refusedLater: 0.08, gaveUp: 0.02, behind: 0.21,
		},
	}
}

// behind is by how much a kind is served less than a less urgent one, at the most.
func behind(t *trace, got map[string]*tally) (most float64, kinds string) {
	priorities := make(map[string]int)
	for _, arrival := range t.arrivals {
		priorities[arrival.kind.name] = arrival.kind.priority
	}
	for urgent, a := range got {
		for other, b := range got {
			if less := b.served() - a.served(); priorities[urgent] < priorities[other] && less > most {
				most, kinds = less, urgent+" behind "+other
			}
		}
	}
	return most, kinds
}

// TestPatternsOfHighLoad replays each pattern through the decisions and looks what callers
// get. Where a kind is served less than a less urgent one, its callers' patience is shorter
// than a load: none of them is put behind others.
func TestPatternsOfHighLoad(t *testing.T) {
	for _, p := range patterns() {
		t.Run(p.name, func(t *testing.T) {
			read := p.trace(t)
			got := play(read, p.options)
			for kind, least := range p.inTime {
				if share := got[kind].inTimeShare(); share < least {
					t.Errorf("%s: %.3f in time, want %.2f", kind, share, least)
				}
			}
			for kind, tally := range got {
				t.Logf("%s: %v", kind, tally)
				if ended := tally.inTime + tally.late + tally.refusedAtOnce + tally.refusedLater + tally.gaveUp; ended != tally.sent {
					t.Errorf("%s: %d sent, %d ended", kind, tally.sent, ended)
				}
				if later := float64(tally.refusedLater) / float64(tally.sent); later > p.refusedLater {
					t.Errorf("%s: %.3f refused after waiting, want %.2f at the most", kind, later, p.refusedLater)
				}
				if held := float64(tally.gaveUp) / float64(tally.sent); held > p.gaveUp {
					t.Errorf("%s: %.3f held to the end, want %.2f at the most", kind, held, p.gaveUp)
				}
			}
			if most, kinds := behind(read, got); most > p.behind {
				t.Errorf("%s by %.3f, want %.2f at the most", kinds, most, p.behind)
			}
		})
	}
}

// TestReplaysRepeat: the same arrivals end alike.
func TestReplaysRepeat(t *testing.T) {
	p := patterns()[1]
	first, second := play(p.trace(t), p.options), play(p.trace(t), p.options)
	for kind, tally := range first {
		if *tally != *second[kind] {
			t.Errorf("%s: %v, and then %v", kind, tally, second[kind])
		}
	}
}

// TestNobodyArrives: a trace without arrivals ends.
func TestNobodyArrives(t *testing.T) {
	if got := play(&trace{}, worldOptions{servers: 3}); len(got) != 0 {
		t.Errorf("callers got %v", got)
	}
}

// TestBadTracesAreFound: with the line, and nothing else of the trace is lost.
func TestBadTracesAreFound(t *testing.T) {
	const kind = "kind a priority=1 goal=1s deadline=2s worth=1 work=100ms\n"
	for text, want := range map[string]string{
		kind + "5 a m\n4 a m\n": "line 3: the time goes back",
		kind + "5 b m\n":        `line 2: unknown kind "b"`,
		kind + "-1 a m\n":       `line 2: "-1" is no time`,
		kind + "x a m\n":        `line 2: "x" is no time`,
		kind + "5 a\n":          "line 2: 2 fields",
		kind + kind:             "line 2: kind a comes twice",
		"kind\n":                "line 1: a kind without a name",
		"kind a priority=1 goal=1s deadline=2s work=1s\n":          "line 1: kind a has no worth",
		"kind a priority=1 goal=1s deadline=2s work=1s worth=0\n":  "line 1: kind a has no worth",
		"kind a priority=1 goal=1s deadline=2s work=1s worth=-1\n": "line 1: kind a has no worth",
		"kind a priority=1 goal=1s deadline=0s work=1s worth=1\n":  "line 1: kind a has no deadline",
		"kind a priority=1 goal=1s deadline=-1s work=1s worth=1\n": "line 1: kind a has no deadline",
		"kind a priority=1 goal=3s deadline=2s work=1s worth=1\n":  "line 1: kind a has the goal",
		"kind a priority=1 goal=1s deadline=2s worth=1\n":          "line 1: kind a takes no time",
		"kind a goal=1s deadline=2s worth=1 work=1s\n":             "line 1: kind a has no priority",
		"kind a priority=x goal=1s deadline=2s worth=1 work=1s\n":  "line 1: kind a, priority",
		"kind a colour=red\n": "line 1: kind a, colour: not known",
	} {
		read, findings := parseTrace(strings.NewReader(text))
		if len(findings) != 1 || !strings.HasPrefix(findings[0], want) {
			t.Errorf("%q: found %q, want %q", text, findings, want)
		}
		play(read, worldOptions{servers: 1})
	}
	read, findings := parseTrace(strings.NewReader("nonsense\n" + kind + "# none\n\n5 a m\n4 a m\n6 a m\n"))
	if len(findings) != 2 || len(read.arrivals) != 2 {
		t.Errorf("%d arrivals and findings %q, want 2 and 2", len(read.arrivals), findings)
	}
}

// TestStrictOrderServesTheUrgentKind: ranks by worth a second or by deadline serve no more
// of it in time, in any pattern.
func TestStrictOrderServesTheUrgentKind(t *testing.T) {
	const tolerated = 0.01
	byWorth := func(r *worldRequest) float64 { return -r.kind.worth / r.kind.work.Seconds() }
	byDeadline := func(r *worldRequest) float64 { return r.first.Add(r.kind.goal).Sub(worldBegin).Seconds() }
	for _, p := range patterns() {
		strict := play(p.trace(t), p.options)["note"].inTimeShare()
		for name, rank := range map[string]func(r *worldRequest) float64{"worth a second": byWorth, "deadline": byDeadline} {
			other := p.options
			other.rank = rank
			if got := play(p.trace(t), other)["note"].inTimeShare(); got > strict+tolerated {
				t.Errorf("%s: %.3f in time by %s, %.3f by strict priority", p.name, got, name, strict)
			}
		}
	}
}

// TestHoldingAllHoldsForNothing: without refusals some of the urgent kind is held to its
// deadline in every pattern, which Decide tells at once.
func TestHoldingAllHoldsForNothing(t *testing.T) {
	for _, p := range patterns() {
		holding := p.options
		holding.keepAll = true
		held := play(p.trace(t), holding)["note"]
		if share := float64(held.gaveUp) / float64(held.sent); share < 0.05 {
			t.Errorf("%s: %.3f held to the end without refusals", p.name, share)
		}
		told := play(p.trace(t), p.options)["note"]
		if share := float64(told.gaveUp) / float64(told.sent); share > 0.02 {
			t.Errorf("%s: %.3f held to the end with them", p.name, share)
		}
	}
}

// TestLimitedCopiesAreReplaced: more is served where what limited servers hold is loaded elsewhere than
// where it counts as copies.
func TestLimitedCopiesAreReplaced(t *testing.T) {
	options := worldOptions{servers: 30, limitAt: 2 * time.Second, limitFor: 6 * time.Second, limitPerS: 1}
	counted := options
	counted.keepsLimited = true
	served := func(options worldOptions) (sum int) {
		for _, tally := range play(readTrace(t, "calm"), options) {
			sum += tally.inTime + tally.late
		}
		return sum
	}
	if replaced, kept := served(options), served(counted); replaced <= kept {
		t.Errorf("%d served with copies elsewhere, %d where limited ones count", replaced, kept)
	} else {
		t.Logf("%d served with copies elsewhere, %d where limited ones count", replaced, kept)
	}
}
