package report

import (
	"time"

	"github.com/spanlanding/spanlanding/internal/fleet"
	"github.com/spanlanding/spanlanding/internal/lab/check"
	"github.com/spanlanding/spanlanding/internal/lab/history"
	"github.com/spanlanding/spanlanding/internal/standin/books"
)

// Summary holds the results of one load test.
type Summary struct {
	Profile  string                          `json:"profile"`
	Seed     uint64                          `json:"seed"`
	Requests int                             `json:"requests"`
	Outcomes map[history.Kind]map[string]int `json:"outcomes"`
	Times    map[string]Quantiles            `json:"times"`
	Loads    Loads                           `json:"loads"`
	Faults   []history.Fault                 `json:"faults,omitempty"`
	Verdicts []check.Verdict                 `json:"verdicts"`
	Problems map[string]string               `json:"problems,omitempty"`
	OK       bool                            `json:"ok"`
}

// Names of the distributions in Summary.Times.
const (
	TimeFirstToken    = "firstToken"
	TimeColdStart     = "coldStart"
	TimeBetweenTokens = "betweenTokens"
	TimeWhole         = "whole"
	TimePlainCall     = "plainCall"
	TimeLoad          = "load"
)

// Loads compares the loads that engines were ordered with the decided numbers of
// replicas.
type Loads struct {
	// Ordered counts accepted load orders.
	Ordered int `json:"ordered"`
	// Models counts the model versions that were loaded at any time.
	Models int `json:"models"`
	// Decided is the sum of the largest decided number of replicas of each model
	// version.
	Decided int `json:"decided"`
	// RefusedOrders counts orders that engines refused because of their fence.
	RefusedOrders int `json:"refusedOrders"`
	// IdleSeconds and BusySeconds are the total times for which ready replicas had
	// no request or ran some.
	IdleSeconds float64 `json:"idleSeconds"`
	BusySeconds float64 `json:"busySeconds"`
}

// Summarize computes the summary of a load test from its evidence and the report
// of the checks.
func Summarize(evidence check.Evidence, judged check.Report) Summary {
	return Summary{
		Requests: len(evidence.Records),
		Outcomes: countOutcomes(evidence.Records),
		Times:    measureTimes(evidence),
		Loads:    countLoads(evidence),
		Faults:   evidence.Faults,
		Verdicts: judged.Verdicts,
		OK:       judged.Violations() == 0,
	}
}

// countOutcomes counts the records by kind and outcome; an outcome with a code is
// counted as outcome/code.
func countOutcomes(records []history.Record) map[history.Kind]map[string]int {
	counts := make(map[history.Kind]map[string]int)
	for _, record := range records {
		if counts[record.Kind] == nil {
			counts[record.Kind] = make(map[string]int)
		}
		name := string(record.Outcome)
		if record.Code != "" {
			name += "/" + record.Code
		}
		counts[record.Kind][name]++
	}
	return counts
}

// measureTimes computes the distributions of Summary.Times.
func measureTimes(evidence check.Evidence) map[string]Quantiles {
	firstToken, coldStart, between := newHistogram(), newHistogram(), newHistogram()
	whole, plain, load := newHistogram(), newHistogram(), newHistogram()
	ready := collectReady(evidence.Books)
	models := evidence.RanModels()
	for _, entry := range evidence.Records {
		if entry.Outcome != history.Answered {
			continue
		}
		if !entry.Kind.ForModel() {
			record(plain, entry.Took())
			continue
		}
		record(whole, entry.Took())
		if entry.Kind != history.KindStream {
			continue
		}
		record(firstToken, entry.ToFirstToken())
		if model, known := models[entry.RequestID]; known && !ready.anyReadyAt(model, entry.Sent) {
			record(coldStart, entry.ToFirstToken())
		}
		for _, gap := range entry.TokenGaps {
			record(between, gap)
		}
	}
	for _, book := range evidence.Books {
		for _, residency := range book.Residencies {
			if !residency.ReadyAt.IsZero() {
				record(load, residency.ReadyAt.Sub(residency.From))
			}
		}
	}
	return map[string]Quantiles{
		TimeFirstToken: computeQuantiles(firstToken), TimeColdStart: computeQuantiles(coldStart),
		TimeBetweenTokens: computeQuantiles(between), TimeWhole: computeQuantiles(whole),
		TimePlainCall: computeQuantiles(plain), TimeLoad: computeQuantiles(load),
	}
}

// readyResidencies has the residencies of each model that became ready.
type readyResidencies map[fleet.ModelVersion][]books.Residency

func collectReady(samples []check.BookSample) readyResidencies {
	ready := make(readyResidencies)
	for _, book := range samples {
		for _, residency := range book.Residencies {
			if !residency.ReadyAt.IsZero() {
				ready[residency.Model] = append(ready[residency.Model], residency)
			}
		}
	}
	return ready
}

// anyReadyAt reports whether a replica of the model was ready at the time, so that
// a request sent then was not a cold start.
func (r readyResidencies) anyReadyAt(model fleet.ModelVersion, at time.Time) bool {
	for _, residency := range r[model] {
		if !residency.ReadyAt.After(at) && (residency.To.IsZero() || residency.To.After(at)) {
			return true
		}
	}
	return false
}

func countLoads(evidence check.Evidence) Loads {
	var figures Loads
	models := make(map[fleet.ModelVersion]bool)
	for _, book := range evidence.Books {
		figures.RefusedOrders += book.RefusedOrders
		for _, residency := range book.Residencies {
			figures.Ordered++
			models[residency.Model] = true
			figures.BusySeconds += residency.BusySeconds
			figures.IdleSeconds += idleSeconds(residency, book.SampledAt)
		}
	}
	figures.Models = len(models)
	largest := make(map[fleet.ModelVersion]int)
	for _, decision := range evidence.Decisions {
		for model, replicas := range decision.Replicas {
			largest[model] = max(largest[model], replicas)
		}
	}
	for _, replicas := range largest {
		figures.Decided += replicas
	}
	return figures
}

// idleSeconds returns the time for which a replica was ready without running a
// request.
func idleSeconds(residency books.Residency, sampledAt time.Time) float64 {
	if residency.ReadyAt.IsZero() {
		return 0
	}
	until := residency.To
	if until.IsZero() {
		until = sampledAt
	}
	return max(0, until.Sub(residency.ReadyAt).Seconds()-residency.BusySeconds)
}

// Broken returns the violated rules.
func (s Summary) Broken() []check.Rule {
	return s.rulesWith(check.Violated)
}

// NotExercised returns the rules that no event of the run exercised.
func (s Summary) NotExercised() []check.Rule {
	return s.rulesWith(check.NotExercised)
}

func (s Summary) rulesWith(state check.State) []check.Rule {
	var rules []check.Rule
	for _, verdict := range s.Verdicts {
		if verdict.State == state {
			rules = append(rules, verdict.Rule)
		}
	}
	return rules
}
