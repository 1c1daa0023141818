package catalog

import (
	"encoding/json"
	"slices"
	"testing"

	"github.com/spanlanding/spanlanding/internal/objectstore"
	"github.com/spanlanding/spanlanding/internal/spec"
)

func TestEvacuationsComeAndGoWithTheirDeclarations(t *testing.T) {
	compiler := NewCompiler()
	evacuation := object(t, spec.KindEvacuation, "oslo-b", nil, spec.Evacuation{})
	other := object(t, spec.KindEvacuation, "oslo-a", nil, spec.Evacuation{Reason: "power"})
	gone := evacuation
	gone.Deleted = true
	for step, test := range []struct {
		change objectstore.Object
		want   []string
	}{
		{evacuation, []string{"oslo-b"}},
		{other, []string{"oslo-a", "oslo-b"}},
		{gone, []string{"oslo-a"}},
		{evacuation, []string{"oslo-a", "oslo-b"}},
	} {
		compiler.Apply([]objectstore.Object{test.change})
		snapshot, problems := compiler.Snapshot(uint64(step + 1))
		if len(problems) > 0 {
			t.Fatalf("step %d: %v", step, problems)
		}
		if got := snapshot.Evacuations().Zones; !slices.Equal(got, test.want) {
			t.Errorf("step %d: evacuated %v, want %v", step, got, test.want)
		}
	}
}

// TestUnreadableEvacuationHolds checks that an evacuation with an invalid spec is in force: the
// apply command rejects one, but other writers may store it.
func TestUnreadableEvacuationHolds(t *testing.T) {
	broken := objectstore.Object{Kind: string(spec.KindEvacuation), Name: "oslo-a", Version: 1, Spec: json.RawMessage(`{"reason":7}`)}
	snapshot, problems := Compile(1, []objectstore.Object{broken})
	if len(problems) != 1 {
		t.Errorf("problems: %v", problems)
	}
	if got := snapshot.Evacuations().Zones; !slices.Equal(got, []string{"oslo-a"}) {
		t.Errorf("evacuated %v", got)
	}
}
