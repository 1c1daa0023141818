package spec

import (
	"fmt"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

const evacuationOfOsloA = "kind: Evacuation\nmetadata: {name: oslo-a}\nspec: {reason: power}\n"

func TestEvacuationIsDeclaredByItsZone(t *testing.T) {
	set, findings := Options{Zones: []string{"oslo-a"}}.Parse("e.yaml", []byte(evacuationOfOsloA))
	if err := findings.Err(); err != nil {
		t.Fatal(err)
	}
	want := []Declared{{Kind: KindEvacuation, Name: "oslo-a", Spec: []byte(`{"reason":"power"}`)}}
	if difference := cmp.Diff(want, set.Objects()); difference != "" {
		t.Errorf("declared (-want +got):\n%s", difference)
	}
}

func TestUnknownZoneIsFoundOnlyWhereZonesAreGiven(t *testing.T) {
	for name, test := range map[string]struct {
		zones []string
		found bool
	}{
		"no zones given": {},
		"known":          {zones: []string{"oslo-b", "oslo-a"}},
		"unknown":        {zones: []string{"oslo-b"}, found: true},
	} {
		t.Run(name, func(t *testing.T) {
			_, findings := Options{Zones: test.zones}.Parse("e.yaml", []byte(evacuationOfOsloA))
			if test.found != (len(findings) == 1 && strings.HasPrefix(findings[0].String(), "e.yaml:2:18: ")) {
				t.Errorf("findings: %v", findings)
			}
		})
	}
}

func TestReasonOfAnEvacuationIsBounded(t *testing.T) {
	content := fmt.Sprintf("kind: Evacuation\nmetadata: {name: oslo-a}\nspec: {reason: %s}\n", strings.Repeat("x", maxReasonBytes+1))
	_, findings := Options{}.Parse("e.yaml", []byte(content))
	if len(findings) != 1 || !strings.HasPrefix(findings[0].String(), "e.yaml:3:16: ") {
		t.Errorf("findings: %v", findings)
	}
}
