package retrybudget

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

func options() Options { return Options{Ratio: 0.2, Extra: 54, Window: 10 * time.Second} }

// TestAllNodesTogetherKeepTheBound simulates requests and retries of seven nodes, one of which
// restarts, and checks every window.
func TestAllNodesTogetherKeepTheBound(t *testing.T) {
	const nodes, step, length = 7, 50 * time.Millisecond, 60 * time.Second
	random := rand.New(rand.NewPCG(1, 2))
	budgets := make([]*Budget, nodes)
	startedAt := make([]time.Duration, nodes)
	for i := range budgets {
		budgets[i] = New(options())
		budgets[i].SetNodes(nodes, true)
	}
	var requests, retries []int
	for now := time.Duration(0); now < length; now += step {
		requestCount, retryCount := 0, 0
		for i := range budgets {
			for range random.IntN(3) {
				budgets[i].CountRequest("s")
				requestCount++
			}
			for range 4 {
				if budgets[i].Take(now-startedAt[i], "s") {
					retryCount++
				}
			}
		}
		if now == 25*time.Second {
			budgets[0] = New(options())
			budgets[0].SetNodes(nodes, true)
		}
		requests, retries = append(requests, requestCount), append(retries, retryCount)
		window := int(10 * time.Second / step)
		if len(requests) >= window {
			sumRequests, sumRetries := sum(requests[len(requests)-window:]), sum(retries[len(retries)-window:])
			if limit := 0.2*float64(sumRequests) + 54; float64(sumRetries) > limit {
				t.Fatalf("at %v: %d retries within a window, limit %.1f", now, sumRetries, limit)
			}
		}
	}
	if sum(retries) < 500 {
		t.Errorf("%d retries in total: too few to reach the limit", sum(retries))
	}
}

func sum(numbers []int) int {
	total := 0
	for _, number := range numbers {
		total += number
	}
	return total
}

// newSingle is the budget of a single node.
func newSingle() *Budget {
	budget := New(options())
	budget.SetNodes(1, true)
	return budget
}

// takeAll takes all retries that are left and returns their number.
func takeAll(budget *Budget, now time.Duration, service string) int {
	taken := 0
	for budget.Take(now, service) {
		taken++
	}
	return taken
}

func TestServicesDoNotShare(t *testing.T) {
	budget := newSingle()
	for range 10 {
		budget.CountRequest("a")
		budget.CountRequest("b")
	}
	if taken := takeAll(budget, 0, "a"); taken != 2 {
		t.Errorf("%d retries for 10 requests, want 2", taken)
	}
	if !budget.Take(0, "b") {
		t.Error("a service without retries has no retry left")
	}
}

// Guards against a run that sends again what an earlier run of the process may have sent within the window.
func TestStartHasNoRetriesThatNoRequestAllows(t *testing.T) {
	budget := newSingle()
	if taken := takeAll(budget, 9*time.Second, "a"); taken != 0 {
		t.Errorf("%d retries within the first window, without a request", taken)
	}
	if taken := takeAll(budget, 12*time.Second, "a"); taken != 27 {
		t.Errorf("%d retries after the first window, want the 27 of the share that no request has to allow", taken)
	}
}

func TestRepeatsComeBackAfterTheWindow(t *testing.T) {
	budget := newSingle()
	takeAll(budget, 20*time.Second, "a")
	if budget.Take(29*time.Second, "a") {
		t.Error("used retries are available again within the window")
	}
	if !budget.Take(32*time.Second, "a") {
		t.Error("no retry available after the window")
	}
}

// Guards against retries beyond what may be saved, or none at all, whatever the settings and peers say.
func TestSettingsAndNodesOfAnyValue(t *testing.T) {
	infinite, none := math.Inf(1), math.NaN()
	for name, c := range map[string]struct {
		options Options
		nodes   int
		want    int
	}{
		"ordinary":           {Options{Ratio: 0.2, Extra: 54, Window: 10 * time.Second}, 2, 27},
		"ratio 0":            {Options{Extra: 54, Window: 10 * time.Second}, 2, 15},
		"ratio negative":     {Options{Ratio: -1, Extra: 54, Window: 10 * time.Second}, 2, 15},
		"ratio not a number": {Options{Ratio: none, Extra: 54, Window: 10 * time.Second}, 2, 15},
		"extra 0":            {Options{Ratio: 0.2, Window: 10 * time.Second}, 2, 0},
		"extra negative":     {Options{Ratio: 0.2, Extra: -54, Window: 10 * time.Second}, 2, 0},
		"extra infinite":     {Options{Ratio: 0.2, Extra: infinite, Window: 10 * time.Second}, 2, 0},
		"extra not a number": {Options{Ratio: 0.2, Extra: none, Window: 10 * time.Second}, 2, 0},
		"no nodes":           {Options{Ratio: 0.2, Extra: 54, Window: 10 * time.Second}, -3, 54},
		"a node too many":    {Options{Ratio: 0.2, Extra: 54, Window: 10 * time.Second}, 55, 0},
		"huge number":        {Options{Ratio: 0.2, Extra: 54, Window: 10 * time.Second}, math.MaxInt, 0},
	} {
		t.Run(name, func(t *testing.T) {
			budget := New(Options{Ratio: 0.5, Extra: 10, Window: 10 * time.Second})
			for range 1000 {
				budget.CountRequest("a")
			}
			budget.SetOptions(c.options)
			budget.SetNodes(c.nodes, true)
			for range 1000 {
				budget.CountRequest("a")
			}
			if taken := takeAll(budget, time.Minute, "a"); taken != c.want {
				t.Errorf("%d retries, want %d", taken, c.want)
			}
		})
	}
}

func TestWindowThatIsNotPositiveChangesNothing(t *testing.T) {
	budget := newSingle()
	budget.SetOptions(Options{Ratio: 0.2, Extra: 54, Window: -time.Second})
	if takeAll(budget, 9*time.Second, "a") != 0 {
		t.Error("retries within the first window that no request allows")
	}
}

// Guards against credit beyond the share once nodes were added.
func TestAddedNodesTakeTheirShareOfWhatWasSaved(t *testing.T) {
	budget := newSingle()
	for range 1000 {
		budget.CountRequest("a")
	}
	budget.SetNodes(27, true)
	if taken := takeAll(budget, 0, "a"); taken != 1 {
		t.Errorf("%d retries saved by one of 27 nodes that share 54, want 1", taken)
	}
}

func TestReturnedRetryMayBeTakenAgain(t *testing.T) {
	budget := newSingle()
	for range 5 {
		budget.CountRequest("a")
	}
	budget.Take(0, "a")
	budget.Return("a")
	if !budget.Take(0, "a") || budget.Take(0, "a") {
		t.Error("a retry that was given back is not available once")
	}
}

func BenchmarkRequestWithRetry(b *testing.B) {
	budget := newSingle()
	b.ReportAllocs()
	for b.Loop() {
		budget.CountRequest("a")
		budget.Take(time.Minute, "a")
	}
}
