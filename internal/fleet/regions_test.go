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
			t.Errorf("%s comes back as %s", set, got)
		}
	}
	if RegionsOf(locality.Only()) == RegionsOf(locality.Regions{}) {
		t.Error("a set that allows nothing has the name of one that allows all")
	}
}
