package verify

import (
	"fmt"
	"strings"
	"testing"
)

// transition is one possible step from a state to the next.
type transition[State any] struct {
	name  func() string
	state State
}

// newTransition returns a transition whose name is formatted only when it is printed.
func newTransition[State any](state State, format string, arguments ...any) transition[State] {
	return transition[State]{name: func() string { return fmt.Sprintf(format, arguments...) }, state: state}
}

// searchSpace is the state space that explore searches.
type searchSpace[State any] struct {
	initial State
	// transitions returns all possible transitions; it must not change the state.
	transitions func(State) []transition[State]
	// key identifies a state; what it leaves out must not affect any later behaviour.
	key func(State) uint64
	// violation describes the rule that the state violates, or is empty.
	violation func(State) string
	// limit bounds the number of states visited; 0 means no bound.
	limit int
}

// exploration is the result of a search.
type exploration struct {
	states int
	depth  int
	// complete is set if every state within the model's bounds was visited.
	complete bool
	// violation is the first violation found, and path the shortest way to it.
	violation string
	path      []string
}

func (o exploration) String() string {
	if o.violation == "" {
		return fmt.Sprintf("%d states, depth %d, complete: %v", o.states, o.depth, o.complete)
	}
	return fmt.Sprintf("%s after %d transitions (%d states):\n  %s", o.violation, len(o.path), o.states, strings.Join(o.path, "\n  "))
}

// visit is a state's node in the tree of shortest paths.
type visit struct {
	parent int
	name   func() string
}

// explore searches the state space breadth first.
func explore[State any](space searchSpace[State]) exploration {
	seen := map[uint64]bool{space.key(space.initial): true}
	visits := []visit{{parent: -1}}
	type frontierEntry struct {
		state State
		index int
	}
	frontier := []frontierEntry{{state: space.initial}}
	result := exploration{complete: true}
	for len(frontier) > 0 {
		var next []frontierEntry
		for _, current := range frontier {
			for _, move := range space.transitions(current.state) {
				key := space.key(move.state)
				if seen[key] {
					continue
				}
				seen[key] = true
				visits = append(visits, visit{parent: current.index, name: move.name})
				if violation := space.violation(move.state); violation != "" {
					result.states, result.violation, result.path = len(visits), violation, path(visits)
					return result
				}
				next = append(next, frontierEntry{state: move.state, index: len(visits) - 1})
			}
			if space.limit > 0 && len(visits) >= space.limit {
				result.states, result.complete = len(visits), false
				return result
			}
		}
		frontier = next
		result.depth++
	}
	result.states = len(visits)
	return result
}

// path returns the names of the transitions that lead to the newest state.
func path(visits []visit) []string {
	var names []string
	for index := len(visits) - 1; visits[index].parent >= 0; index = visits[index].parent {
		names = append([]string{visits[index].name()}, names...)
	}
	return names
}

// TestExploreFindsTheShortestWay proves that the search reports a violation with the
// shortest path to it.
func TestExploreFindsTheShortestWay(t *testing.T) {
	counter := searchSpace[int]{
		transitions: func(state int) []transition[int] {
			return []transition[int]{newTransition((state+1)%10, "add"), newTransition(state*2%10, "double")}
		},
		key:       func(state int) uint64 { return uint64(state) },
		violation: func(state int) string { return map[bool]string{true: "eight"}[state == 8] },
	}
	if got := explore(counter); len(got.path) != 4 || got.violation != "eight" {
		t.Errorf("found %v", got)
	}
	counter.violation = func(int) string { return "" }
	if got := explore(counter); got.states != 10 || !got.complete {
		t.Errorf("found %v", got)
	}
}
