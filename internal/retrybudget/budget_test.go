package retrybudget

import (
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
	for i := range budgets {
		budgets[i] = New(options())
		budgets[i].SetNodes(nodes)
	}
	var requests, retries []int
	for now := time.Duration(0); now < length; now += step {
		requestCount, retryCount := 0, 0
		for i := range budgets {
			for range random.IntN(3) {
				budgets[i].CountRequest(now, "s")
				requestCount++
			}
			for range 4 {
				if budgets[i].Take(now, "s") {
					retryCount++
				}
			}
		}
		if now == 25*time.Second {
			budgets[0] = New(options())
			budgets[0].SetNodes(nodes)
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

func TestServicesDoNotShare(t *testing.T) {
	budget := New(options())
	for budget.Take(0, "a") {
	}
	if !budget.Take(0, "b") {
		t.Error("a service without retries has no retry left")
	}
}

func TestRepeatsComeBackAfterTheWindow(t *testing.T) {
	budget := New(options())
	for budget.Take(0, "a") {
	}
	if budget.Take(9*time.Second, "a") {
		t.Error("used retries are available again within the window")
	}
	if !budget.Take(12*time.Second, "a") {
		t.Error("no retry available after the window")
	}
}
