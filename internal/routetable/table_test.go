package routetable

import (
	"math"
	"math/rand/v2"
	"testing"
)

func table() *Table {
	return New(3, []Route{
		{Name: "short", Host: "a.example", Prefix: "/x/"},
		{Name: "long", Host: "a.example", Prefix: "/x/y/"},
		{Name: "other", Host: "B.example", Prefix: "/x/"},
	}, nil, Limits{})
}

func TestMatch(t *testing.T) {
	cases := []struct{ host, path, want string }{
		{"a.example", "/x/z", "short"},
		{"a.example", "/x/y/z", "long"},
		{"a.example", "/x/y", "short"},
		{"A.EXAMPLE:8080", "/x/y/", "long"},
		{"b.example", "/x/y/z", "other"},
		{"a.example", "/y/", ""},
		{"c.example", "/x/", ""},
		{"a.example", "/x", ""},
	}
	for _, c := range cases {
		route, ok := table().Match(c.host, c.path)
		switch {
		case c.want == "" && ok:
			t.Errorf("%s%s: matched %s, want none", c.host, c.path, route.Name)
		case c.want != "" && (!ok || route.Name != c.want):
			t.Errorf("%s%s: %v, want %s", c.host, c.path, route, c.want)
		}
	}
}

func TestSplitKeepsItsSharesInAnyRun(t *testing.T) {
	route := &Route{Name: "r", Services: []WeightedService{{"a", 90}, {"b", 7}, {"c", 3}}}
	var splitter Splitter
	counts := make(map[string]int)
	for sent := 1; sent <= 1000; sent++ {
		counts[splitter.Next(route)]++
		for _, service := range route.Services {
			wanted := float64(sent) * service.Weight / 100
			if off := float64(counts[service.Service]) - wanted; off > 1.5 || off < -1.5 {
				t.Fatalf("after %d requests %s has %d, want about %.1f", sent, service.Service, counts[service.Service], wanted)
			}
		}
	}
}

func TestSplitOfAChangedRouteStartsAnew(t *testing.T) {
	var splitter Splitter
	splitter.Next(&Route{Name: "r", Services: []WeightedService{{"a", 1}, {"b", 1}}})
	if got := splitter.Next(&Route{Name: "r", Services: []WeightedService{{"c", 1}}}); got != "c" {
		t.Errorf("the changed route went to %q, want c", got)
	}
	if got := splitter.Next(&Route{Name: "r", Services: []WeightedService{{"a", 0}, {"b", 1}, {"c", 0}}}); got != "b" {
		t.Errorf("went to %q, want b: the others have weight 0", got)
	}
}

// splitShare returns the share of service among the next requests that each of the nodes sends.
func splitShare(nodes []Splitter, route *Route, requests int, service string) float64 {
	sent := 0
	for i := range nodes {
		for range requests {
			if nodes[i].Next(route) == service {
				sent++
			}
		}
	}
	return float64(sent) / float64(len(nodes)*requests)
}

// TestSplitHoldsRightAfterAChange guards against credit of former weights, which sent up to fifty requests
// in a row to one service, and against nodes that all begin with the same service.
func TestSplitHoldsRightAfterAChange(t *testing.T) {
	const nodeCount, requests, tolerance = 800, 4, 0.05
	random := rand.New(rand.NewPCG(1, 2))
	nodes := make([]Splitter, nodeCount)
	for i := range nodes {
		nodes[i] = NewSplitter(random)
	}
	for _, share := range []float64{0.99, 0.5, 0.1, 0.5} {
		route := &Route{Name: "r", Services: []WeightedService{{"a", share}, {"b", 1 - share}}}
		if share == 0.5 {
			route.Services = []WeightedService{{"a", 1}, {"b", 1}}
		}
		if got := splitShare(nodes, route, requests, "a"); math.Abs(got-share) > tolerance {
			t.Errorf("share %.2f in the first %d requests of each node, want %.2f", got, requests, share)
		}
		splitShare(nodes, route, 30, "a")
	}
	var alone Splitter
	for range 55 {
		alone.Next(&Route{Name: "r", Services: []WeightedService{{"a", 100}, {"b", 1}}})
	}
	if got := splitShare([]Splitter{alone}, &Route{Name: "r", Services: []WeightedService{{"a", 1}, {"b", 1}}}, requests, "a"); got != 0.5 {
		t.Errorf("share %.2f in the first %d requests after 100:1, want half", got, requests)
	}
}
