package admission

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/spanlanding/spanlanding/internal/inventory"
	_ "github.com/spanlanding/spanlanding/internal/testseed"
)

// at is a moment some milliseconds after the beginning.
func at(milliseconds int) time.Time { return begin.Add(time.Duration(milliseconds) * time.Millisecond) }

// said is an answer to a request that left and was answered at these moments; below 0 it names none.
func said(perSecond float64, sent, heard int) Observation {
	limit := inventory.NewRateLimit(perSecond)
	if perSecond < 0 {
		limit = inventory.RateLimit{Kind: inventory.RateLimitNone}
	}
	return Observation{Limit: limit, SentAt: at(sent), ReceivedAt: at(heard)}
}

// TestWhichAnswerIsTheNewest: on which a limit goes where answers come out of order.
func TestWhichAnswerIsTheNewest(t *testing.T) {
	cases := []struct {
		name string
		told []Observation
		want float64
	}{
		{"never named", []Observation{said(-1, 0, 10)}, -1},
		{"named", []Observation{said(1, 0, 10)}, 1},
		{"a lower one at once, from a request that left before", []Observation{said(3, 5, 10), said(1, 0, 11)}, 1},
		{"a higher one from a request that left before", []Observation{said(1, 5, 10), said(3, 0, 11)}, 1},
		{"a higher one from a request that left after", []Observation{said(1, 5, 10), said(3, 11, 20)}, 3},
		{"none from a request that left before", []Observation{said(1, 5, 10), said(-1, 6, 20)}, 1},
		{"none from a request that left after", []Observation{said(1, 5, 10), said(-1, 11, 20)}, -1},
		{"named again since that request left", []Observation{said(1, 5, 10), said(1, 6, 30), said(-1, 11, 20)}, 1},
		{"ended, and an old word comes by another node", []Observation{said(1, 5, 10), said(-1, 20, 30), said(1, 4, 15)}, -1},
		{"ended, and the end is confirmed later than the old word", []Observation{said(1, 5, 10), said(-1, 20, 30), said(-1, 40, 50), said(1, 4, 35)}, -1},
		{"ended, and named again", []Observation{said(1, 5, 10), said(-1, 20, 30), said(2, 25, 40)}, 2},
		{"an answer that cannot be read", []Observation{said(1, 5, 10), {SentAt: at(20), ReceivedAt: at(30)}}, 1},
		{"nought", []Observation{said(1, 5, 10), said(0, 11, 20)}, 0},
		{"nought ends", []Observation{said(0, 5, 10), said(-1, 11, 20)}, -1},
	}
	for _, c := range cases {
		var limit RateLimit
		for _, told := range c.told {
			limit.Observe(told)
		}
		if got, ok := limit.PerSecond(); ok != (c.want >= 0) || ok && got != c.want {
			t.Errorf("%s: %v %v, want %v", c.name, got, ok, c.want)
		}
	}
}

// limitWorld is a server whose limit changes, and nodes that hear of it by its answers and by each
// other.
type limitWorld struct {
	now   int
	rate  float64
	nodes [3]RateLimit
	// heard are all observations that a node took, in any order.
	heard [3][]Observation
	// flights are requests under way, by node.
	flights []limitFlight
	// liftsByAnyAnswer plants a defect: an answer that names none ends a limit, whenever its request
	// left.
	liftsByAnyAnswer bool
}

type limitFlight struct {
	node, sent int
	// answered is set once the server has answered, with what it named then.
	answered bool
	named    float64
}

func (w *limitWorld) take(node int, told Observation) {
	w.heard[node] = append(w.heard[node], told)
	if w.liftsByAnyAnswer && !told.Limit.IsSet() {
		w.nodes[node] = RateLimit{}
		return
	}
	w.nodes[node].Observe(told)
}

// step draws one thing that happens.
func (w *limitWorld) step(t *rapid.T) {
	w.now += rapid.IntRange(1, 20).Draw(t, "later")
	switch rapid.IntRange(0, 4).Draw(t, "what") {
	case 0:
		w.rate = rapid.SampledFrom([]float64{-1, 0, 1, 2, 5}).Draw(t, "rate")
	case 1:
		w.flights = append(w.flights, limitFlight{node: rapid.IntRange(0, 2).Draw(t, "node"), sent: w.now})
	case 2, 3:
		w.answer(t)
	case 4:
		from, to := rapid.IntRange(0, 2).Draw(t, "from"), rapid.IntRange(0, 2).Draw(t, "to")
		if from != to && w.nodes[from].HasBeenSet() {
			w.take(to, w.nodes[from].Latest())
		}
	}
}

// answer lets the server answer a request that is under way, or the answer arrive.
func (w *limitWorld) answer(t *rapid.T) {
	if len(w.flights) == 0 {
		return
	}
	index := rapid.IntRange(0, len(w.flights)-1).Draw(t, "flight")
	flight := &w.flights[index]
	if !flight.answered {
		flight.answered, flight.named = true, w.rate
		return
	}
	w.take(flight.node, said(flight.named, flight.sent, w.now))
	w.flights = append(w.flights[:index], w.flights[index+1:]...)
}

// exceeds is a naming that a node took, above which its limit lies though nothing later came: no
// request left after it was heard whose answer told more. Empty where there is none.
func (w *limitWorld) exceeds(node int) (above Observation, found bool) {
	for _, named := range w.heard[node] {
		superseded := false
		for _, other := range w.heard[node] {
			superseded = superseded || rateOf(other.Limit) > rateOf(named.Limit) && other.SentAt.After(named.ReceivedAt)
		}
		if named.Limit.IsSet() && !superseded && rateOf(w.nodes[node].limit) > rateOf(named.Limit) {
			return named, true
		}
	}
	return above, false
}

// TestNoNodeGoesAboveWhatMayBeInForce draws schedules of a server whose limit falls, rises and ends,
// of answers that come late and in any order, and of words between nodes. At the end all nodes that
// ask once more know what the server says.
func TestNoNodeGoesAboveWhatMayBeInForce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &limitWorld{rate: -1}
		for range rapid.IntRange(5, 80).Draw(t, "steps") {
			w.step(t)
			for node := range w.nodes {
				if named, found := w.exceeds(node); found {
					t.Fatalf("node %d goes by %+v, though it heard %+v and nothing later", node, w.nodes[node].limit, named)
				}
			}
		}
		for node := range w.nodes {
			w.now += 100
			w.take(node, said(w.rate, w.now, w.now+10))
			w.now += 10
			if got, ok := w.nodes[node].PerSecond(); ok != (w.rate >= 0) || ok && got != w.rate {
				t.Fatalf("node %d goes by %v %v, and the server says %v to a request that leaves now", node, got, ok, w.rate)
			}
		}
	})
}

// TestLimitThatAnyAnswerEndsIsFound plants that defect.
func TestLimitThatAnyAnswerEndsIsFound(t *testing.T) {
	w := &limitWorld{rate: 1, liftsByAnyAnswer: true}
	w.take(0, said(1, 5, 10))
	w.take(0, said(-1, 0, 11))
	if _, found := w.exceeds(0); !found {
		t.Error("a limit that an older answer ended is not found")
	}
}

// TestGrantsAreBelowTheLimit: what an old and a new coordinator, or those of two halves, grant in a
// window is below what may reach a server, for whatever it names.
func TestGrantsAreBelowTheLimit(t *testing.T) {
	const halves = 1.1
	for _, perSecond := range []float64{0, 0.01, 0.2, 0.25, 1, 2, 12, 100, 1e6} {
		limit := RateLimitBound{PerSecond: perSecond}
		granted, length := limit.Quota(), RateLimitTolerance().Window.Seconds()
		if sum := halves * (granted.PerSecond*length + granted.Burst); sum > limit.MaxRequests() {
			t.Errorf("%v a second: %.1f of %.1f", perSecond, sum, limit.MaxRequests())
		}
		if granted.PerSecond < perSecond || granted.PerSecond > max(perSecond, probeRate) {
			t.Errorf("%v a second: %v granted", perSecond, granted.PerSecond)
		}
	}
}
