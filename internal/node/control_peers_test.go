package node

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/spanlanding/spanlanding/internal/fleet"
)

func TestWantsAreTheSameAfterTheWire(t *testing.T) {
	wants := []fleet.Want{
		{Model: fleet.ModelVersion{Model: "m", Version: "v"}, Adapter: "danish", Regions: "north,south", Node: "n", Zone: "z",
			Waiting: 3, Priority: 2, Deadline: time.Unix(5, 6), Arrivals: 4},
		{Model: fleet.ModelVersion{Model: "m", Version: "v"}, Node: "n", Zone: "z", Deadline: time.Unix(1, 0)},
	}
	if difference := cmp.Diff(wants, decodeWants(encodeWants(wants))); difference != "" {
		t.Error(difference)
	}
}

// TestRefusalsAreThoseOfTheWant guards against mixing refusals of wants for the same model
// that differ in their regions.
func TestRefusalsAreThoseOfTheWant(t *testing.T) {
	model := fleet.ModelVersion{Model: "m", Version: "v"}
	refusals := []fleet.LoadRefusal{
		{Model: model, Reason: "no-memory"},
		{Model: model, Regions: "north", Reason: "no-allotment"},
	}
	for _, want := range []struct {
		regions fleet.Regions
		reason  string
	}{{"", "no-memory"}, {"north", "no-allotment"}, {"south", ""}} {
		encoded := encodeRefusals(refusals, fleet.Want{Model: model, Regions: want.regions})
		if got := len(encoded); got != min(1, len(want.reason)) || got == 1 && (encoded[0].GetReason() != want.reason || encoded[0].GetRegions() != string(want.regions)) {
			t.Errorf("%q: %v", want.regions, encoded)
		}
	}
}
