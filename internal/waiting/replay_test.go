package waiting

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

// readTrace reads a recorded trace: the arrivals logged by the nodes of a deployment (a sample
// of about a seventh of all) without retries.
func readTrace(t *testing.T, name string) *trace {
	t.Helper()
	file, err := os.Open(filepath.Join("testdata", name+".trace"))
	if err != nil {
		t.Fatal(err)
	}
	defer file.Close()
	parsed, problems := parseTrace(file)
	if len(problems) > 0 {
		t.Fatalf("%s: %v", name, problems)
	}
	return parsed
}

// withFlood returns the trace with the requests of a tenant of the lowest priority added, which
// sends twenty requests for each one of a kind that arrives in the given interval.
func withFlood(t *trace, kindName string, from, to time.Duration) *trace {
	flood := *t.kinds[kindName]
	flood.name, flood.priority = "flood", 3
	result := &trace{kinds: t.kinds}
	for _, arrival := range t.arrivals {
		result.arrivals = append(result.arrivals, arrival)
		if arrival.kind.name != kindName || arrival.at < from || arrival.at >= to {
			continue
		}
		for range 20 {
			result.arrivals = append(result.arrivals, traceArrival{at: arrival.at, kind: &flood, model: arrival.model})
		}
	}
	return result
}

// scenario is a period of high load with bounds on its results.
type scenario struct {
	name    string
	trace   func(t *testing.T) *trace
	options simOptions
	// minOnTime is the minimum share of requests served within their goal, by kind.
	minOnTime map[string]float64
	// maxRefusedAfterWait bounds the share of each kind that is refused after it waited, and
	// maxTimedOut the share that waits until its deadline.
	maxRefusedAfterWait, maxTimedOut float64
	// maxPriorityInversion bounds the result of priorityInversion.
	maxPriorityInversion float64
}

func fromTestdata(name string) func(t *testing.T) *trace {
	return func(t *testing.T) *trace { return readTrace(t, name) }
}

func scenarios() []scenario {
	return []scenario{
		{
			name: "burst of one kind", trace: fromTestdata("burst"), options: simOptions{servers: 24},
			minOnTime: map[string]float64{"note": 0.72, "batch": 0.66, "draft": 0.61}, maxRefusedAfterWait: 0.02, maxPriorityInversion: 0.26,
		},
		{
			name: "demand shifts between models", trace: fromTestdata("shift"), options: simOptions{servers: 24},
			minOnTime: map[string]float64{"note": 0.78, "batch": 0.83, "draft": 0.74}, maxPriorityInversion: 0.14,
		},
		{
			name: "a third of the servers lost", trace: fromTestdata("calm"), options: simOptions{servers: 30, failAt: 2 * time.Second},
			minOnTime: map[string]float64{"note": 0.54, "batch": 0.64, "draft": 0.44}, maxRefusedAfterWait: 0.23, maxPriorityInversion: 0.21,
		},
		{
			name: "all servers restarted at once", trace: fromTestdata("calm"),
			options:   simOptions{servers: 30, restartAt: 2 * time.Second, coldFor: 3 * time.Second, coldRate: 3},
			minOnTime: map[string]float64{"note": 0.42, "batch": 0.77, "draft": 0.34}, maxPriorityInversion: 0.50,
		},
		{
			// The bounds are at least as strict as if those servers were lost.
			name: "a third of the servers rate limited", trace: fromTestdata("calm"),
			options:   simOptions{servers: 30, limitAt: 2 * time.Second, limitFor: 6 * time.Second, limitRate: 1},
			minOnTime: map[string]float64{"note": 0.54, "batch": 0.64, "draft": 0.44}, maxRefusedAfterWait: 0.05, maxPriorityInversion: 0.21,
		},
		{
			name: "a single zone cut off", trace: fromTestdata("cut"), options: simOptions{servers: 8},
			minOnTime: map[string]float64{"note": 0.57, "batch": 0.65, "draft": 0.73}, maxPriorityInversion: 0.36,
		},
		{
			name: "a flood from one tenant", options: simOptions{servers: 30},
			trace: func(t *testing.T) *trace {
				return withFlood(readTrace(t, "calm"), "draft", 2*time.Second, 4*time.Second)
			},
			minOnTime: map[string]float64{"note": 0.69, "batch": 0.77, "draft": 0.49}, maxRefusedAfterWait: 0.08, maxTimedOut: 0.02, maxPriorityInversion: 0.21,
		},
	}
}

// priorityInversion returns the largest difference by which the served share of a kind is below
// that of a less urgent kind, and the two kinds.
func priorityInversion(t *trace, results map[string]*outcomes) (largest float64, kinds string) {
	priorities := make(map[string]int)
	for _, arrival := range t.arrivals {
		priorities[arrival.kind.name] = arrival.kind.priority
	}
	for urgent, a := range results {
		for other, b := range results {
			if difference := b.servedShare() - a.servedShare(); priorities[urgent] < priorities[other] && difference > largest {
				largest, kinds = difference, urgent+" behind "+other
			}
		}
	}
	return largest, kinds
}

// TestPatternsOfHighLoad replays each scenario through Decide and checks its results. A kind can
// be served less than a less urgent one if its callers' MaxWait is shorter than a model load;
// this is not a fault of the order.
func TestPatternsOfHighLoad(t *testing.T) {
	for _, scenario := range scenarios() {
		t.Run(scenario.name, func(t *testing.T) {
			input := scenario.trace(t)
			results := replay(input, scenario.options)
			for kind, minimum := range scenario.minOnTime {
				if share := results[kind].onTimeShare(); share < minimum {
					t.Errorf("%s: %.3f served on time, want at least %.2f", kind, share, minimum)
				}
			}
			for kind, result := range results {
				t.Logf("%s: %v", kind, result)
				if total := result.onTime + result.late + result.refusedImmediately + result.refusedAfterWait + result.timedOut; total != result.sent {
					t.Errorf("%s: %d sent, %d ended", kind, result.sent, total)
				}
				if refusedShare := float64(result.refusedAfterWait) / float64(result.sent); refusedShare > scenario.maxRefusedAfterWait {
					t.Errorf("%s: %.3f refused after waiting, want at most %.2f", kind, refusedShare, scenario.maxRefusedAfterWait)
				}
				if timedOutShare := float64(result.timedOut) / float64(result.sent); timedOutShare > scenario.maxTimedOut {
					t.Errorf("%s: %.3f waited until the deadline, want at most %.2f", kind, timedOutShare, scenario.maxTimedOut)
				}
			}
			if inversion, kinds := priorityInversion(input, results); inversion > scenario.maxPriorityInversion {
				t.Errorf("priority inversion: %s by %.3f, want at most %.2f", kinds, inversion, scenario.maxPriorityInversion)
			}
		})
	}
}

// TestReplaysRepeat: replays of the same trace give the same results.
func TestReplaysRepeat(t *testing.T) {
	scenario := scenarios()[1]
	firstRun, secondRun := replay(scenario.trace(t), scenario.options), replay(scenario.trace(t), scenario.options)
	for kind, result := range firstRun {
		if *result != *secondRun[kind] {
			t.Errorf("%s: first run %v, second run %v", kind, result, secondRun[kind])
		}
	}
}

// TestNobodyArrives: the replay of an empty trace terminates.
func TestNobodyArrives(t *testing.T) {
	if got := replay(&trace{}, simOptions{servers: 3}); len(got) != 0 {
		t.Errorf("results %v, want none", got)
	}
}

// TestBadTracesAreFound: each invalid line is reported with its number, and the valid lines of
// the trace are kept.
func TestBadTracesAreFound(t *testing.T) {
	const kind = "kind a priority=1 goal=1s deadline=2s worth=1 work=100ms\n"
	for text, want := range map[string]string{
		kind + "5 a m\n4 a m\n": "line 3: time 4ms is before the previous arrival",
		kind + "5 b m\n":        `line 2: unknown kind "b"`,
		kind + "-1 a m\n":       `line 2: invalid time "-1"`,
		kind + "x a m\n":        `line 2: invalid time "x"`,
		kind + "5 a\n":          "line 2: 2 fields",
		kind + kind:             "line 2: duplicate kind a",
		"kind\n":                "line 1: missing name of kind",
		"kind a priority=1 goal=1s deadline=2s work=1s\n":          "line 1: kind a has no worth",
		"kind a priority=1 goal=1s deadline=2s work=1s worth=0\n":  "line 1: kind a has no worth",
		"kind a priority=1 goal=1s deadline=2s work=1s worth=-1\n": "line 1: kind a has no worth",
		"kind a priority=1 goal=1s deadline=0s work=1s worth=1\n":  "line 1: kind a has no deadline",
		"kind a priority=1 goal=1s deadline=-1s work=1s worth=1\n": "line 1: kind a has no deadline",
		"kind a priority=1 goal=3s deadline=2s work=1s worth=1\n":  "line 1: kind a has goal 3s outside",
		"kind a priority=1 goal=1s deadline=2s worth=1\n":          "line 1: kind a has no work",
		"kind a goal=1s deadline=2s worth=1 work=1s\n":             "line 1: kind a has no priority",
		"kind a priority=x goal=1s deadline=2s worth=1 work=1s\n":  "line 1: kind a, priority",
		"kind a colour=red\n": "line 1: kind a, colour: unknown key",
	} {
		parsed, problems := parseTrace(strings.NewReader(text))
		if len(problems) != 1 || !strings.HasPrefix(problems[0], want) {
			t.Errorf("%q: problems %q, want one starting with %q", text, problems, want)
		}
		replay(parsed, simOptions{servers: 1})
	}
	parsed, problems := parseTrace(strings.NewReader("nonsense\n" + kind + "# none\n\n5 a m\n4 a m\n6 a m\n"))
	if len(problems) != 2 || len(parsed.arrivals) != 2 {
		t.Errorf("%d arrivals and problems %q, want 2 and 2", len(parsed.arrivals), problems)
	}
}

// TestStrictOrderServesTheUrgentKind: in no scenario does an order by worth per second of work
// or by deadline serve more of the most urgent kind on time than the order by priority.
func TestStrictOrderServesTheUrgentKind(t *testing.T) {
	const tolerated = 0.01
	byWorth := func(r *simRequest) float64 { return -r.kind.worth / r.kind.work.Seconds() }
	byDeadline := func(r *simRequest) float64 { return r.firstArrived.Add(r.kind.goal).Sub(simStart).Seconds() }
	for _, scenario := range scenarios() {
		byPriority := replay(scenario.trace(t), scenario.options)["note"].onTimeShare()
		for name, rank := range map[string]func(r *simRequest) float64{"worth per second": byWorth, "deadline": byDeadline} {
			options := scenario.options
			options.rank = rank
			if got := replay(scenario.trace(t), options)["note"].onTimeShare(); got > byPriority+tolerated {
				t.Errorf("%s: %.3f served on time ordered by %s, %.3f by strict priority", scenario.name, got, name, byPriority)
			}
		}
	}
}

// TestWithoutRefusalsRequestsTimeOut: if no request is refused, some of the most urgent kind wait
// until their deadline in every scenario. Decide refuses most of these at once.
func TestWithoutRefusalsRequestsTimeOut(t *testing.T) {
	for _, scenario := range scenarios() {
		neverRefusing := scenario.options
		neverRefusing.neverRefuse = true
		withoutRefusals := replay(scenario.trace(t), neverRefusing)["note"]
		if share := float64(withoutRefusals.timedOut) / float64(withoutRefusals.sent); share < 0.05 {
			t.Errorf("%s: %.3f waited until the deadline without refusals, want at least 0.05", scenario.name, share)
		}
		withRefusals := replay(scenario.trace(t), scenario.options)["note"]
		if share := float64(withRefusals.timedOut) / float64(withRefusals.sent); share > 0.02 {
			t.Errorf("%s: %.3f waited until the deadline with refusals, want at most 0.02", scenario.name, share)
		}
	}
}

// TestLimitedCopiesAreReplaced: more requests are served if the models of rate-limited servers
// are loaded on other servers than if those servers' copies count as available.
func TestLimitedCopiesAreReplaced(t *testing.T) {
	options := simOptions{servers: 30, limitAt: 2 * time.Second, limitFor: 6 * time.Second, limitRate: 1}
	countingLimited := options
	countingLimited.countsLimitedCopies = true
	countServed := func(options simOptions) (sum int) {
		for _, result := range replay(readTrace(t, "calm"), options) {
			sum += result.onTime + result.late
		}
		return sum
	}
	if replaced, notReplaced := countServed(options), countServed(countingLimited); replaced <= notReplaced {
		t.Errorf("%d served with limited copies replaced, %d with them counted", replaced, notReplaced)
	} else {
		t.Logf("%d served with limited copies replaced, %d with them counted", replaced, notReplaced)
	}
}
