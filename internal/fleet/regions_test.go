package fleet

import (
	"testing"

	"github.com/spanlanding/spanlanding/internal/locality"
)

func TestRegionsNameTheirSet(t *testing.T) {
	for _, set := range []locality.Regions{
		{}, locality.Only(), locality.Only("north"), locality.Only("south", "north"),
	} {
		if got := RegionsOf(set).Set(); got != set {
			t.Errorf("round trip of %s gave %s", set, got)
		}
	}
	if RegionsOf(locality.Only()) == RegionsOf(locality.Regions{}) {
		t.Error("the sets that allow no region and any region have the same form")
	}
}
