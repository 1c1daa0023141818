package locality

import (
	"slices"
	"testing"
)

func TestDistance(t *testing.T) {
	topology := NewMap(map[string]string{"n1": "north", "n2": "north", "s1": "south"})
	cases := []struct {
		name        string
		topology    Map
		zone, other string
		want        Distance
	}{
		{"same zone", topology, "n1", "n1", SameZone},
		{"two zones of one region", topology, "n1", "n2", SameRegion},
		{"two regions", topology, "n1", "s1", OtherRegion},
		{"one zone without a region", topology, "x", "s1", OtherRegion},
		{"two zones without a region", topology, "x", "y", SameRegion},
		{"same unknown zone", topology, "x", "x", SameZone},
		{"no regions configured", Map{}, "n1", "s1", SameRegion},
	}
	for _, c := range cases {
		if got := c.topology.Distance(c.zone, c.other); got != c.want {
			t.Errorf("%s: %v, want %v", c.name, got, c.want)
		}
		if got := c.topology.Distance(c.other, c.zone); got != c.want {
			t.Errorf("%s, reversed: %v, want %v", c.name, got, c.want)
		}
	}
	if !topology.HasMultipleRegions() || !topology.HasRegion("south") || topology.HasRegion("east") || topology.HasRegion("") {
		t.Error("the map does not contain exactly the regions of its zones")
	}
	if (Map{}).HasMultipleRegions() || NewMap(map[string]string{"a": "r", "b": "r"}).HasMultipleRegions() {
		t.Error("one region, or none, counts as several")
	}
}

func TestRegions(t *testing.T) {
	cases := []struct {
		name    string
		set     Regions
		allowed []string
		text    string
		isEmpty bool
	}{
		{"unbounded", Regions{}, []string{"", "a", "b", "ab"}, "any", false},
		{"empty set", Only(), nil, "none", true},
		{"an empty name", Only(""), nil, "none", true},
		{"one region", Only("a"), []string{"a"}, "a", false},
		{"two regions, unsorted with a duplicate", Only("b", "a", "b"), []string{"a", "b"}, "a,b", false},
		{"unbounded and bounded", Regions{}.Intersect(Only("a")), []string{"a"}, "a", false},
		{"bounded and unbounded", Only("a").Intersect(Regions{}), []string{"a"}, "a", false},
		{"two bounded sets", Only("a", "b").Intersect(Only("b", "ab")), []string{"b"}, "b", false},
		{"sets without a common region", Only("a").Intersect(Only("b")), nil, "none", true},
		{"empty and unbounded", Only().Intersect(Regions{}), nil, "none", true},
	}
	for _, c := range cases {
		for _, region := range []string{"", "a", "b", "ab"} {
			if got, want := c.set.Allows(region), slices.Contains(c.allowed, region); got != want {
				t.Errorf("%s allows %q: %v, want %v", c.name, region, got, want)
			}
		}
		if c.set.String() != c.text || c.set.IsEmpty() != c.isEmpty {
			t.Errorf("%s is %q, empty: %v", c.name, c.set, c.set.IsEmpty())
		}
	}
	if Only("a", "b") != Only("b", "", "a") || Only("a") == Only("a", "b") || (Regions{}) == Only() {
		t.Error("sets are not equal exactly if they allow the same regions")
	}
	if Only("a\nb").Allows("a") {
		t.Error("a name with a separator counts as two")
	}
}

func BenchmarkAllows(b *testing.B) {
	set := Only("north", "south", "west")
	b.ReportAllocs()
	for b.Loop() {
		if !set.Allows("south") {
			b.Fatal("not allowed")
		}
	}
}
