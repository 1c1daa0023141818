package admission

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/spanlanding/spanlanding/internal/inventory"
	_ "github.com/spanlanding/spanlanding/internal/testseed"
)

// at returns the time that many milliseconds after the beginning.
func at(milliseconds int) time.Time { return begin.Add(time.Duration(milliseconds) * time.Millisecond) }

// observed is the observation from a response to a request sent and answered at these times; a
// negative rate means that it announces no limit.
func observed(perSecond float64, sent, received int) Observation {
	limit := inventory.NewRateLimit(perSecond)
	if perSecond < 0 {
		limit = inventory.RateLimit{Kind: inventory.RateLimitNone}
	}
	return Observation{Limit: limit, SentAt: at(sent), ReceivedAt: at(received)}
}

// TestWhichAnswerIsTheNewest checks which limit is in force after responses that arrive out of
// order.
func TestWhichAnswerIsTheNewest(t *testing.T) {
	cases := []struct {
		name         string
		observations []Observation
		want         float64
	}{
		{"never announced", []Observation{observed(-1, 0, 10)}, -1},
		{"announced", []Observation{observed(1, 0, 10)}, 1},
		{"lower rate applies at once, from an earlier request", []Observation{observed(3, 5, 10), observed(1, 0, 11)}, 1},
		{"higher rate from an earlier request", []Observation{observed(1, 5, 10), observed(3, 0, 11)}, 1},
		{"higher rate from a later request", []Observation{observed(1, 5, 10), observed(3, 11, 20)}, 3},
		{"no limit from an earlier request", []Observation{observed(1, 5, 10), observed(-1, 6, 20)}, 1},
		{"no limit from a later request", []Observation{observed(1, 5, 10), observed(-1, 11, 20)}, -1},
		{"announced again since that request was sent", []Observation{observed(1, 5, 10), observed(1, 6, 30), observed(-1, 11, 20)}, 1},
		{"ended, then an old observation from a peer", []Observation{observed(1, 5, 10), observed(-1, 20, 30), observed(1, 4, 15)}, -1},
		{"ended and confirmed, then an old observation from a peer", []Observation{observed(1, 5, 10), observed(-1, 20, 30), observed(-1, 40, 50), observed(1, 4, 35)}, -1},
		{"ended, then announced again", []Observation{observed(1, 5, 10), observed(-1, 20, 30), observed(2, 25, 40)}, 2},
		{"response without a readable limit", []Observation{observed(1, 5, 10), {SentAt: at(20), ReceivedAt: at(30)}}, 1},
		{"rate 0", []Observation{observed(1, 5, 10), observed(0, 11, 20)}, 0},
		{"rate 0 ends", []Observation{observed(0, 5, 10), observed(-1, 11, 20)}, -1},
	}
	for _, c := range cases {
		var limit RateLimit
		for _, observation := range c.observations {
			limit.Observe(observation)
		}
		if got, ok := limit.PerSecond(); ok != (c.want >= 0) || ok && got != c.want {
			t.Errorf("%s: rate %v (set: %v), want %v", c.name, got, ok, c.want)
		}
	}
}

// limitSim simulates a server whose limit changes, and nodes that learn of it from responses and
// from each other.
type limitSim struct {
	now   int
	rate  float64
	nodes [3]RateLimit
	// observations are all observations that each node received, in order of arrival.
	observations [3][]Observation
	// inFlight are the requests in flight.
	inFlight []limitRequest
	// removesOnAnyResponse injects a defect: a response that announces no limit removes the limit,
	// no matter when its request was sent.
	removesOnAnyResponse bool
}

type limitRequest struct {
	node, sent int
	// answered is set once the server has answered; rate is what it announced then.
	answered bool
	rate     float64
}

func (w *limitSim) record(node int, observation Observation) {
	w.observations[node] = append(w.observations[node], observation)
	if w.removesOnAnyResponse && !observation.Limit.IsSet() {
		w.nodes[node] = RateLimit{}
		return
	}
	w.nodes[node].Observe(observation)
}

// step performs one randomly drawn event.
func (w *limitSim) step(t *rapid.T) {
	w.now += rapid.IntRange(1, 20).Draw(t, "later")
	switch rapid.IntRange(0, 4).Draw(t, "what") {
	case 0:
		w.rate = rapid.SampledFrom([]float64{-1, 0, 1, 2, 5}).Draw(t, "rate")
	case 1:
		w.inFlight = append(w.inFlight, limitRequest{node: rapid.IntRange(0, 2).Draw(t, "node"), sent: w.now})
	case 2, 3:
		w.respond(t)
	case 4:
		from, to := rapid.IntRange(0, 2).Draw(t, "from"), rapid.IntRange(0, 2).Draw(t, "to")
		if from != to && w.nodes[from].HasBeenSet() {
			w.record(to, w.nodes[from].Latest())
		}
	}
}

// respond lets the server answer a request in flight, or lets a response arrive.
func (w *limitSim) respond(t *rapid.T) {
	if len(w.inFlight) == 0 {
		return
	}
	index := rapid.IntRange(0, len(w.inFlight)-1).Draw(t, "flight")
	request := &w.inFlight[index]
	if !request.answered {
		request.answered, request.rate = true, w.rate
		return
	}
	w.record(request.node, observed(request.rate, request.sent, w.now))
	w.inFlight = append(w.inFlight[:index], w.inFlight[index+1:]...)
}

// findExceeded looks for an announced limit that the node received and now exceeds without a
// reason: no response with a higher rate came from a request that was sent after the limit was
// received.
func (w *limitSim) findExceeded(node int) (none Observation, found bool) {
	for _, announced := range w.observations[node] {
		superseded := false
		for _, other := range w.observations[node] {
			superseded = superseded || rateOf(other.Limit) > rateOf(announced.Limit) && other.SentAt.After(announced.ReceivedAt)
		}
		if announced.Limit.IsSet() && !superseded && rateOf(w.nodes[node].limit) > rateOf(announced.Limit) {
			return announced, true
		}
	}
	return none, false
}

// TestNoNodeGoesAboveWhatMayBeInForce draws schedules in which a server's limit falls, rises and
// ends, while responses arrive late and out of order and nodes tell each other what they observed.
// No node may apply a higher limit than the responses justify. At the end, each node that asks once
// more knows the server's current limit.
func TestNoNodeGoesAboveWhatMayBeInForce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &limitSim{rate: -1}
		for range rapid.IntRange(5, 80).Draw(t, "steps") {
			w.step(t)
			for node := range w.nodes {
				if announced, found := w.findExceeded(node); found {
					t.Fatalf("node %d applies %+v, but received %+v and nothing newer", node, w.nodes[node].limit, announced)
				}
			}
		}
		for node := range w.nodes {
			w.now += 100
			w.record(node, observed(w.rate, w.now, w.now+10))
			w.now += 10
			if got, ok := w.nodes[node].PerSecond(); ok != (w.rate >= 0) || ok && got != w.rate {
				t.Fatalf("node %d applies %v (set: %v), but the server answers %v to a request sent now", node, got, ok, w.rate)
			}
		}
	})
}

// TestLimitThatAnyAnswerEndsIsFound checks that the simulation detects the injected defect.
func TestLimitThatAnyAnswerEndsIsFound(t *testing.T) {
	w := &limitSim{rate: 1, removesOnAnyResponse: true}
	w.record(0, observed(1, 5, 10))
	w.record(0, observed(-1, 0, 11))
	if _, found := w.findExceeded(0); !found {
		t.Error("a limit that an older response ended is not detected")
	}
}

// TestGrantsAreBelowTheLimit checks for various rates that what an old and a new coordinator, or
// the coordinators of two partitions, grant in a window is below what the server may receive.
func TestGrantsAreBelowTheLimit(t *testing.T) {
	const halves = 1.1
	for _, perSecond := range []float64{0, 0.01, 0.2, 0.25, 1, 2, 12, 100, 1e6} {
		limit := RateLimitBound{PerSecond: perSecond}
		granted, length := limit.Quota(), RateLimitTolerance().Window.Seconds()
		if sum := halves * (granted.PerSecond*length + granted.Burst); sum > limit.MaxRequests() {
			t.Errorf("limit %v/s: %.1f granted of %.1f", perSecond, sum, limit.MaxRequests())
		}
		if granted.PerSecond < perSecond || granted.PerSecond > max(perSecond, probeRate) {
			t.Errorf("limit %v/s: %v/s granted", perSecond, granted.PerSecond)
		}
	}
}
