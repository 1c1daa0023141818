package waiting

import (
	"slices"
	"time"
)

const (
	// errorWaits is the number of waits that errors are learned from: loads follow each
	// other within seconds, and what is learned of a busy time must not outlast it long.
	errorWaits = 16
	// fewestWaits is the number of waits before anything is taken as learned.
	fewestWaits = 4
	// errorBeyond is the number of waits, of errorWaits, that may take longer than what
	// is expected at worst.
	errorBeyond = 2
	// leastError bounds what is learned: a load takes no less than half of what its
	// model's settings say. mostError is twice the time; what takes longer is overdue.
	leastError = -0.5
	mostError  = 1.0
	// shortestLearned is the least expected time that is learned from: of shorter ones
	// the fixed parts are the most.
	shortestLearned = 300 * time.Millisecond
)

// Errors are by how much expected times are wrong, in parts of them, as waits showed:
// of loads that the leader had announced, and of those that nobody had begun. They are
// not safe for concurrent use.
type Errors struct {
	announced, guessed learned
}

// learned are the errors of the last waits.
type learned struct {
	recent []float64
	// next is where the next one goes.
	next int
	// worst is what follows from them.
	worst float64
}

// NewErrors returns the errors that are taken before any wait ended.
func NewErrors() *Errors {
	return &Errors{announced: learned{worst: announcedError}, guessed: learned{worst: guessedError}}
}

// Of is the error of an expectation.
func (e *Errors) Of(expected Expectation) float64 {
	if expected.Announced {
		return e.announced.worst
	}
	return e.guessed.worst
}

// Ended takes it that what was expected at first came after a wait.
func (e *Errors) Ended(first Expectation, waited time.Duration) {
	if first.ReadyIn < shortestLearned {
		return
	}
	wrong := waited.Seconds()/first.ReadyIn.Seconds() - 1
	if first.Announced {
		e.announced.take(wrong)
	} else {
		e.guessed.take(wrong)
	}
}

func (l *learned) take(wrong float64) {
	if len(l.recent) < errorWaits {
		l.recent = append(l.recent, wrong)
	} else {
		l.recent[l.next] = wrong
	}
	l.next = (l.next + 1) % errorWaits
	if len(l.recent) < fewestWaits {
		return
	}
	sorted := slices.Clone(l.recent)
	slices.Sort(sorted)
	beyond := errorBeyond * len(sorted) / errorWaits
	l.worst = min(mostError, max(leastError, sorted[len(sorted)-1-beyond]))
}
