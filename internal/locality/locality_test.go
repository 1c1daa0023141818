package locality

import (
	"slices"
	"testing"
)

func TestDistance(t *testing.T) {
	places := NewMap(map[string]string{"n1": "north", "n2": "north", "s1": "south"})
	cases := []struct {
		name        string
		places      Map
		zone, other string
		want        Distance
	}{
		{"a zone and itself", places, "n1", "n1", SameZone},
		{"two zones of a region", places, "n1", "n2", SameRegion},
		{"two regions", places, "n1", "s1", OtherRegion},
		{"a zone without a region", places, "x", "s1", OtherRegion},
		{"two zones without a region", places, "x", "y", SameRegion},
		{"an unknown zone and itself", places, "x", "x", SameZone},
		{"no regions at all", Map{}, "n1", "s1", SameRegion},
	}
	for _, c := range cases {
		if got := c.places.Distance(c.zone, c.other); got != c.want {
			t.Errorf("%s: %v, want %v", c.name, got, c.want)
		}
		if got := c.places.Distance(c.other, c.zone); got != c.want {
			t.Errorf("%s, the other way round: %v, want %v", c.name, got, c.want)
		}
	}
	if !places.HasMultipleRegions() || !places.HasRegion("south") || places.HasRegion("east") || places.HasRegion("") {
		t.Error("the regions are not those of the zones")
	}
	if (Map{}).HasMultipleRegions() || NewMap(map[string]string{"a": "r", "b": "r"}).HasMultipleRegions() {
		t.Error("one region, or none, is taken for several")
	}
}

func TestRegions(t *testing.T) {
	cases := []struct {
		name    string
		set     Regions
		allowed []string
		text    string
		isNone  bool
	}{
		{"without a bound", Regions{}, []string{"", "a", "b", "ab"}, "any", false},
		{"nothing", Only(), nil, "none", true},
		{"an empty name", Only(""), nil, "none", true},
		{"one", Only("a"), []string{"a"}, "a", false},
		{"two, in any order, twice", Only("b", "a", "b"), []string{"a", "b"}, "a,b", false},
		{"any and some", Regions{}.Intersect(Only("a")), []string{"a"}, "a", false},
		{"some and any", Only("a").Intersect(Regions{}), []string{"a"}, "a", false},
		{"both bind", Only("a", "b").Intersect(Only("b", "ab")), []string{"b"}, "b", false},
		{"sets that do not meet", Only("a").Intersect(Only("b")), nil, "none", true},
		{"nothing and any", Only().Intersect(Regions{}), nil, "none", true},
	}
	for _, c := range cases {
		for _, region := range []string{"", "a", "b", "ab"} {
			if got, want := c.set.Allows(region), slices.Contains(c.allowed, region); got != want {
				t.Errorf("%s allows %q: %v, want %v", c.name, region, got, want)
			}
		}
		if c.set.String() != c.text || c.set.IsEmpty() != c.isNone {
			t.Errorf("%s is %q, none: %v", c.name, c.set, c.set.IsEmpty())
		}
	}
	if Only("a", "b") != Only("b", "", "a") || Only("a") == Only("a", "b") || (Regions{}) == Only() {
		t.Error("sets are not equal where, and only where, they hold the same")
	}
	if Only("a\nb").Allows("a") {
		t.Error("a name with a separator is taken for two")
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
