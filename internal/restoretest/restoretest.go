package restoretest

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"

	_ "github.com/spanlanding/spanlanding/internal/testseed" // fixes the seed of those who import this
)

// defectSeeds is the number of histories in which a defect has to be found.
const defectSeeds = 500

// Draw draws a number from 0 to below that.
type Draw func(name string, below int) int

// Run plays one drawn history with an injected defect, which may be empty. It returns a description of the
// first violation; empty means none.
type Run func(draw Draw, defect string) string

// Check plays drawn histories without a defect.
func Check(t *testing.T, run Run) {
	t.Helper()
	rapid.Check(t, func(t *rapid.T) {
		if wrong := run(drawFrom(t), ""); wrong != "" {
			t.Fatal(wrong)
		}
	})
}

// CheckDefects checks that each defect is found.
func CheckDefects(t *testing.T, run Run, defects ...string) {
	t.Helper()
	for _, defect := range defects {
		t.Run(defect, func(t *testing.T) {
			history := rapid.Custom(func(t *rapid.T) string { return run(drawFrom(t), defect) })
			for seed := range defectSeeds {
				if history.Example(seed) != "" {
					return
				}
			}
			t.Error("the defect is not detected")
		})
	}
}

func drawFrom(t *rapid.T) Draw {
	return func(name string, below int) int { return rapid.IntRange(0, below-1).Draw(t, name) }
}

// DrawInformed draws one of the lists of an informed peer. Its first one is that before the restore; the
// second list is that of a peer that missed a part.
func DrawInformed(draw Draw, lists int) int {
	if index := draw("informed list", lists); index != 1 {
		return index
	}
	return 0
}

// Message is what a starting node may receive.
type Message[Table any] struct {
	Name  string
	Apply func(table Table)
}

// comparedOrders is the number of orders that are compared.
const comparedOrders = 6

// Compare applies the messages in drawn orders to new tables. judge returns what has to be the same in all
// orders, or a violation. It returns a description of the first violation; empty means none.
func Compare[Table any](
	draw Draw, messages []Message[Table], newTable func() Table, describe func(Table) string, judge func(Table) (result, violation string),
) string {
	results := make(map[string][]string)
	for range comparedOrders {
		order := slices.Clone(messages)
		for i := range order {
			j := i + draw("order", len(order)-i)
			order[i], order[j] = order[j], order[i]
		}
		table, names := newTable(), []string(nil)
		for _, message := range order {
			message.Apply(table)
			names = append(names, message.Name+" → "+describe(table))
		}
		result, violation := judge(table)
		if violation != "" {
			return fmt.Sprintf("%s after %q", violation, names)
		}
		results[result] = names
	}
	if len(results) == 1 {
		return ""
	}
	return fmt.Sprintf("the order decides: %q", results)
}
