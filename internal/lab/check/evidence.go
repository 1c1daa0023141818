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

// Evidence is the data collected during a run.
type Evidence struct {
	Records []history.Record
	Faults  []history.Fault
	// Books has the latest sample of each back end and incarnation.
	Books []BookSample
	// Decisions are the replica decisions, in the order in which they were made.
	Decisions []Decision
	// MaxReplicas is the declared maximum of replicas for each model version.
	MaxReplicas map[fleet.ModelVersion]int
	// ConfigSamples are the configuration versions in force at nodes.
	ConfigSamples []ConfigSample
	// ConfigChanges are the configuration changes that the store accepted.
	ConfigChanges []ConfigChange
	// Answers computes expected answers. If nil, model answers are not checked.
	Answers Answers
	// Started and Ended are the start and end of the run.
	Started time.Time
	Ended   time.Time
}

// BookSample is the latest copy of the book of one back end incarnation.
type BookSample struct {
	books.Book
	SampledAt time.Time
	// Final is set if the sample was taken at the end of the run, so that the
	// book is complete. The book of a killed back end is not.
	Final bool
}

// Decision is the number of replicas decided for each model version, as stored
// from At on.
type Decision struct {
	At       time.Time
	Version  uint64
	Replicas map[fleet.ModelVersion]int
}

// ConfigSample is the configuration version in force at a node. BootID
// identifies the start of the node process.
type ConfigSample struct {
	At      time.Time
	Node    string
	BootID  uint64
	Version uint64
}

// ConfigChange is one accepted change of the declared configuration.
type ConfigChange struct {
	At      time.Time
	Version uint64
}

// Answers computes the answers expected from engines.
type Answers interface {
	// Expected returns the complete text with which the target answers a request
	// body.
	Expected(target history.Target, body string, maxTokens int) string
}

// Tolerances are the delays that the rules allow for.
type Tolerances struct {
	// Deadline is added to each request's deadline to allow for transmission to
	// the caller.
	Deadline time.Duration
	// Leaving is how long a back end may still get new work after it announced
	// that it leaves.
	Leaving time.Duration
	// Config is the time within which an accepted change must be in force at
	// every node.
	Config time.Duration
	// Decision is how much later than the decision itself its recorded time may
	// be.
	Decision time.Duration
}

// DefaultTolerances returns the tolerances used by spanlab load.
func DefaultTolerances() Tolerances {
	return Tolerances{
		Deadline: time.Second,
		Leaving:  2 * time.Second,
		Config:   5 * time.Second,
		Decision: 100 * time.Millisecond,
	}
}

// execution is one execution of a request by a back end.
type execution struct {
	books.Execution
	backend fleet.BackendName
}

// executions lists the executions of all books by start time.
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

// executionsByRequest groups all executions by the caller's request ID.
func (e Evidence) executionsByRequest() map[fleet.RequestID][]execution {
	byRequest := make(map[fleet.RequestID][]execution)
	for _, run := range e.executions() {
		byRequest[run.callerRequestID()] = append(byRequest[run.callerRequestID()], run)
	}
	return byRequest
}

// attemptSeparator separates the request ID chosen by the caller from the suffix
// that a node adds to distinguish two requests with the same ID. IDs chosen by
// callers don't contain it.
const attemptSeparator = "~"

// callerRequestID returns the request ID as the caller sent it, without the
// suffix added by a node.
func (e execution) callerRequestID() fleet.RequestID {
	id, _, _ := strings.Cut(string(e.RequestID), attemptSeparator)
	return fleet.RequestID(id)
}

// residentInterval is the time during which a model was loaded on an engine,
// with a resolved end.
type residentInterval struct {
	books.Residency
	backend fleet.BackendName
	until   time.Time
}

// residentIntervals lists the intervals of all books by start time. An interval
// without a recorded end lasts until the incarnation of the engine ended.
func (e Evidence) residentIntervals() []residentInterval {
	var all []residentInterval
	for _, book := range e.Books {
		end := e.endOfIncarnation(book)
		for _, residency := range book.Residencies {
			until := residency.To
			if until.IsZero() {
				until = end
			}
			all = append(all, residentInterval{Residency: residency, backend: book.Backend.Name, until: until})
		}
	}
	slices.SortStableFunc(all, func(a, b residentInterval) int {
		return cmp.Or(a.From.Compare(b.From), cmp.Compare(a.backend, b.backend))
	})
	return all
}

// endOfIncarnation returns when the sampled incarnation of a back end ended:
// beyond the run for a final sample, the time of the kill if it was killed, and
// the time of the last sample otherwise.
func (e Evidence) endOfIncarnation(book BookSample) time.Time {
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

// faultsAt lists the faults of the given kind at a target.
func (e Evidence) faultsAt(kind history.FaultKind, target string) []history.Fault {
	var found []history.Fault
	for _, fault := range e.Faults {
		if fault.Kind == kind && fault.Target == target {
			found = append(found, fault)
		}
	}
	return found
}

// affectedByKill reports whether the request's node was killed before the
// request ended or within a second after. Requests without an end are never
// exempt.
func (e Evidence) affectedByKill(record history.Record) bool {
	for _, fault := range e.faultsAt(history.NodeKilled, record.Node) {
		if !fault.At.After(record.Ended.Add(time.Second)) && record.Outcome != history.Unended {
			return true
		}
	}
	return false
}

// pauseRecovery is how long a node may take to recover after a pause.
const pauseRecovery = 2 * time.Second

// affectedByPause reports whether the request's node was paused while the
// request was in progress, so that it could not answer in time.
func (e Evidence) affectedByPause(record history.Record) bool {
	for _, pause := range e.faultsAt(history.NodePaused, record.Node) {
		end := e.Ended
		for _, resumed := range e.faultsAt(history.NodeContinued, record.Node) {
			if resumed.At.After(pause.At) && resumed.At.Before(end) {
				end = resumed.At
			}
		}
		if record.Ended.After(pause.At) && record.Sent.Before(end.Add(pauseRecovery)) {
			return true
		}
	}
	return false
}

// RanModels returns the model that executed each request.
func (e Evidence) RanModels() map[fleet.RequestID]fleet.ModelVersion {
	models := make(map[fleet.RequestID]fleet.ModelVersion)
	for request, runs := range e.executionsByRequest() {
		models[request] = runs[0].Model
	}
	return models
}
