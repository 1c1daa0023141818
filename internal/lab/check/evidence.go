package check

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/spanlanding/spanlanding/internal/fleet"
	"github.com/spanlanding/spanlanding/internal/lab/history"
	"github.com/spanlanding/spanlanding/internal/standin/books"
)

// Evidence is all that is known of a run.
type Evidence struct {
	Records []history.Record
	Faults  []history.Fault
	// Books has the newest sample of each back end and incarnation.
	Books []BookSample
	// Decisions are the decided replicas in the order of their making.
	Decisions []Decision
	// MaxReplicas are the declared bounds of each model version.
	MaxReplicas map[fleet.ModelVersion]int
	// ConfigSamples tell the version that nodes had in force.
	ConfigSamples []ConfigSample
	// ConfigChanges are the changes that the store accepted.
	ConfigChanges []ConfigChange
	// Answers knows the right text of an answer; nil if nobody does.
	Answers Answers
	// Started and Ended bound the run.
	Started time.Time
	Ended   time.Time
}

// BookSample is the newest sample of one incarnation of a back end.
type BookSample struct {
	books.Book
	SampledAt time.Time
	// Final is set if it was taken at the end of the run, so that the book is
	// whole; a killed back end's is not.
	Final bool
}

// Decision is the number of replicas decided for each model version, as the
// store had it from At on.
type Decision struct {
	At       time.Time
	Version  uint64
	Replicas map[fleet.ModelVersion]int
}

// ConfigSample is the configuration version that one start of a node had in
// force.
type ConfigSample struct {
	At      time.Time
	Node    string
	BootID  uint64
	Version uint64
}

// ConfigChange is one accepted change of the declarations.
type ConfigChange struct {
	At      time.Time
	Version uint64
}

// Answers knows what an engine has to answer.
type Answers interface {
	// Expected returns the whole text that the target answers to a body.
	Expected(target history.Target, body string, maxTokens int) string
}

// Tolerances are the times that the rules allow for.
type Tolerances struct {
	// Deadline is added to each request's deadline, for the way to the caller.
	Deadline time.Duration
	// Leaving is how long a leaving back end may still get new work.
	Leaving time.Duration
	// Config is how soon an accepted change must be in force everywhere.
	Config time.Duration
	// Decision is how late the time noted of a decision may be.
	Decision time.Duration
}

// DefaultTolerances are used by spanlab load.
func DefaultTolerances() Tolerances {
	return Tolerances{
		Deadline: time.Second,
		Leaving:  2 * time.Second,
		Config:   5 * time.Second,
		Decision: 100 * time.Millisecond,
	}
}

// execution is one run of a request at a back end.
type execution struct {
	books.Execution
	backend fleet.BackendName
}

// executions are all runs in all books, in the order of their start.
func (e Evidence) executions() []execution {
	var all []execution
	for _, book := range e.Books {
		for _, entry := range book.Executions {
			all = append(all, execution{Execution: entry, backend: book.Backend.Name})
		}
	}
	slices.SortStableFunc(all, func(a, b execution) int {
		return cmp.Or(a.Started.Compare(b.Started), cmp.Compare(a.backend, b.backend))
	})
	return all
}

// executionsByRequest groups all runs by the request that they belong to.
func (e Evidence) executionsByRequest() map[fleet.RequestID][]execution {
	byRequest := make(map[fleet.RequestID][]execution)
	for _, run := range e.executions() {
		byRequest[run.caller()] = append(byRequest[run.caller()], run)
	}
	return byRequest
}

// attemptMark divides the identity that a caller chose from what a node adds to
// tell two requests with one identity apart. Callers' identities don't have it.
const attemptMark = "~"

// caller is the identity that the caller knows the run by.
func (e execution) caller() fleet.RequestID {
	id, _, _ := strings.Cut(string(e.RequestID), attemptMark)
	return fleet.RequestID(id)
}

// stay is one model's stay on one engine with a known end.
type stay struct {
	books.Residency
	backend fleet.BackendName
	until   time.Time
}

// stays lists every stay. One without an end lasts to the engine's death, if
// it was killed, and else beyond the run.
func (e Evidence) stays() []stay {
	var all []stay
	for _, book := range e.Books {
		end := e.endOf(book)
		for _, residency := range book.Residencies {
			until := residency.To
			if until.IsZero() {
				until = end
			}
			all = append(all, stay{Residency: residency, backend: book.Backend.Name, until: until})
		}
	}
	slices.SortStableFunc(all, func(a, b stay) int {
		return cmp.Or(a.From.Compare(b.From), cmp.Compare(a.backend, b.backend))
	})
	return all
}

// endOf is when the sampled incarnation of a back end ceased to be.
func (e Evidence) endOf(book BookSample) time.Time {
	if book.Final {
		return e.Ended.Add(time.Hour)
	}
	for _, fault := range e.Faults {
		killed := fault.Kind == history.EngineKilled && fault.Target == string(book.Backend.Name)
		if killed && !fault.At.Before(book.SampledAt.Add(-time.Second)) {
			return fault.At
		}
	}
	return book.SampledAt
}

// faultsAt lists the faults of one kind at one target.
func (e Evidence) faultsAt(kind history.FaultKind, target string) []history.Fault {
	var found []history.Fault
	for _, fault := range e.Faults {
		if fault.Kind == kind && fault.Target == target {
			found = append(found, fault)
		}
	}
	return found
}

// hitByKill reports whether the request's node was killed while it ran.
func (e Evidence) hitByKill(record history.Record) bool {
	for _, fault := range e.faultsAt(history.NodeKilled, record.Node) {
		if !fault.At.After(record.Ended.Add(time.Second)) && record.Outcome != history.Unended {
			return true
		}
	}
	return false
}

// pauseWake is how long a node may take to catch up after a pause.
const pauseWake = 2 * time.Second

// hitByPause reports whether the request's node was paused while it ran, and so
// could not answer in time.
func (e Evidence) hitByPause(record history.Record) bool {
	for _, pause := range e.faultsAt(history.NodePaused, record.Node) {
		end := e.Ended
		for _, resumed := range e.faultsAt(history.NodeContinued, record.Node) {
			if resumed.At.After(pause.At) && resumed.At.Before(end) {
				end = resumed.At
			}
		}
		if record.Ended.After(pause.At) && record.Sent.Before(end.Add(pauseWake)) {
			return true
		}
	}
	return false
}

// RanModels tells the model that ran each request.
func (e Evidence) RanModels() map[fleet.RequestID]fleet.ModelVersion {
	models := make(map[fleet.RequestID]fleet.ModelVersion)
	for request, runs := range e.executionsByRequest() {
		models[request] = runs[0].Model
	}
	return models
}
