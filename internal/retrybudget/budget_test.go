package retrybudget

import (
	"math/rand/v2"
	"testing"
	"time"
)

func options() Options { return Options{Ratio: 0.2, Extra: 54, Window: 10 * time.Second} }

// TestAllNodesTogetherKeepTheBound draws requests and repeats of seven nodes,
// restarts among them, and checks every window.
func TestAllNodesTogetherKeepTheBound(t *testing.T) {
	const nodes, step, length = 7, 50 * time.Millisecond, 60 * time.Second
	random := rand.New(rand.NewPCG(1, 2))
	budgets := make([]*Budget, nodes)
	for i := range budgets {
		budgets[i] = New(options())
		budgets[i].SetNodes(nodes)
	}
	var requests, repeats []int
	for now := time.Duration(0); now < length; now += step {
		asked, again := 0, 0
		for i := range budgets {
			for range random.IntN(3) {
				budgets[i].CountRequest(now, "s")
				asked++
			}
			for range 4 {
				if budgets[i].Take(now, "s") {
					again++
				}
			}
		}
		if now == 25*time.Second {
			budgets[0] = New(options())
			budgets[0].SetNodes(nodes)
		}
		requests, repeats = append(requests, asked), append(repeats, again)
		window := int(10 * time.Second / step)
		if len(requests) >= window {
			sumRequests, sumRepeats := sum(requests[len(requests)-window:]), sum(repeats[len(repeats)-window:])
			if limit := 0.2*float64(sumRequests) + 54; float64(sumRepeats) > limit {
				t.Fatalf("at %v: %d repeats within a window, limit %.1f", now, sumRepeats, limit)
			}
		}
	}
	if sum(repeats) < 500 {
		t.Errorf("%d repeats in all: the bound hardly came into play", sum(repeats))
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
		t.Error("a service that sent no repeat has none left")
	}
}

func TestRepeatsComeBackAfterTheWindow(t *testing.T) {
	budget := New(options())
	for budget.Take(0, "a") {
	}
	if budget.Take(9*time.Second, "a") {
		t.Error("repeats are there again within the window")
	}
	if !budget.Take(12*time.Second, "a") {
		t.Error("no repeat after the window")
	}
}
