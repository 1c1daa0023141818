package verify

import (
	"fmt"
	"strings"
	"testing"
)

// move is one thing that may happen next.
type move[State any] struct {
	name  func() string
	state State
}

// named is a move whose name is put together only where it is shown.
func named[State any](state State, format string, arguments ...any) move[State] {
	return move[State]{name: func() string { return fmt.Sprintf(format, arguments...) }, state: state}
}

// space is what explore goes through.
type space[State any] struct {
	initial State
	// moves gives all that may happen next; it must not change the state.
	moves func(State) []move[State]
	// key tells states apart; what it leaves out must not matter.
	key func(State) uint64
	// broken describes the rule that the state breaks; empty for none.
	broken func(State) string
	// limit bounds the states looked at; 0 for all.
	limit int
}

// outcome is what an exploration found.
type outcome struct {
	states int
	depth  int
	// whole is set where every state within the model's bounds was seen.
	whole bool
	// broken is the first rule broken, with the shortest way to it.
	broken string
	path   []string
}

func (o outcome) String() string {
	if o.broken == "" {
		return fmt.Sprintf("%d states, depth %d, whole: %v", o.states, o.depth, o.whole)
	}
	return fmt.Sprintf("%s after %d moves (%d states):\n  %s", o.broken, len(o.path), o.states, strings.Join(o.path, "\n  "))
}

// visit is a state's place in the tree of first ways.
type visit struct {
	parent int
	name   func() string
}

// explore goes through the states breadth first.
func explore[State any](space space[State]) outcome {
	seen := map[uint64]bool{space.key(space.initial): true}
	visits := []visit{{parent: -1}}
	type open struct {
		state State
		index int
	}
	frontier := []open{{state: space.initial}}
	found := outcome{whole: true}
	for len(frontier) > 0 {
		var next []open
		for _, current := range frontier {
			for _, move := range space.moves(current.state) {
				key := space.key(move.state)
				if seen[key] {
					continue
				}
				seen[key] = true
				visits = append(visits, visit{parent: current.index, name: move.name})
				if broken := space.broken(move.state); broken != "" {
					found.states, found.broken, found.path = len(visits), broken, path(visits)
					return found
				}
				next = append(next, open{state: move.state, index: len(visits) - 1})
			}
			if space.limit > 0 && len(visits) >= space.limit {
				found.states, found.whole = len(visits), false
				return found
			}
		}
		frontier = next
		found.depth++
	}
	found.states = len(visits)
	return found
}

// path is the way to the newest state.
func path(visits []visit) []string {
	var names []string
	for index := len(visits) - 1; visits[index].parent >= 0; index = visits[index].parent {
		names = append([]string{visits[index].name()}, names...)
	}
	return names
}

// TestExploreFindsTheShortestWay shows that the search itself can fail a rule.
func TestExploreFindsTheShortestWay(t *testing.T) {
	counter := space[int]{
		moves: func(state int) []move[int] {
			return []move[int]{named((state+1)%10, "add"), named(state*2%10, "double")}
		},
		key:    func(state int) uint64 { return uint64(state) },
		broken: func(state int) string { return map[bool]string{true: "eight"}[state == 8] },
	}
	if got := explore(counter); len(got.path) != 4 || got.broken != "eight" {
		t.Errorf("found %v", got)
	}
	counter.broken = func(int) string { return "" }
	if got := explore(counter); got.states != 10 || !got.whole {
		t.Errorf("found %v", got)
	}
}
