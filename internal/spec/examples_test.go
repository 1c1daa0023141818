package spec

import (
	"testing"
)

func TestExamplesHaveNoFindings(t *testing.T) {
	for _, folder := range []string{"fjordkurv", "holmgaard"} {
		t.Run(folder, func(t *testing.T) {
			set, findings := Options{ServerMemory: 48 << 30}.Load([]string{"../../examples/" + folder})
			if err := findings.Err(); err != nil {
				t.Fatal(err)
			}
			if len(set.Objects()) < 40 {
				t.Fatalf("only %d objects were read", len(set.Objects()))
			}
		})
	}
}
