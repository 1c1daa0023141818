package sim

import (
	"encoding/binary"
	"fmt"
	"io"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Report is the result of one run.
type Report struct {
	Seed uint64 `json:"seed"`
	// Hash is the hash of the event history.
	Hash   uint64            `json:"hash"`
	Events uint64            `json:"events"`
	Faults map[FaultKind]int `json:"faults"`
	Rules  []RuleResult      `json:"rules"`
	// Counters are further counts by name, such as decisions made.
	Counters map[string]uint64 `json:"counters,omitempty"`
	// Plan holds the faults of the run.
	Plan Plan `json:"-"`
}

// Violated returns the names of the rules that were violated.
func (r Report) Violated() []RuleName {
	var names []RuleName
	for _, rule := range r.Rules {
		if rule.Violated > 0 {
			names = append(names, rule.Name)
		}
	}
	return names
}

// Summary is the total over the reports of a batch.
type Summary struct {
	Seeds  int
	Hash   uint64
	Events uint64
	Faults map[FaultKind]int
	Rules  map[RuleName]RuleResult
	// Counters are summed over the runs.
	Counters map[string]uint64
	// Failed holds the reports with a violation, in the order of the batch.
	Failed []Report
	// Took is the wall-clock time.
	Took time.Duration
}

// Summarize totals the reports. The hash of the batch depends on their order.
func Summarize(reports []Report) Summary {
	summary := Summary{
		Seeds:    len(reports),
		Faults:   make(map[FaultKind]int),
		Rules:    make(map[RuleName]RuleResult),
		Counters: make(map[string]uint64),
	}
	digest := xxhash.New()
	for _, report := range reports {
		pair := binary.LittleEndian.AppendUint64(nil, report.Seed)
		_, _ = digest.Write(binary.LittleEndian.AppendUint64(pair, report.Hash))
		summary.add(report)
	}
	summary.Hash = digest.Sum64()
	return summary
}

func (s *Summary) add(report Report) {
	s.Events += report.Events
	for kind, count := range report.Faults {
		s.Faults[kind] += count
	}
	for name, count := range report.Counters {
		s.Counters[name] += count
	}
	for _, rule := range report.Rules {
		total := s.Rules[rule.Name]
		total.Name = rule.Name
		total.Exercised += rule.Exercised
		total.Violated += rule.Violated
		s.Rules[rule.Name] = total
	}
	if len(report.Violated()) > 0 {
		s.Failed = append(s.Failed, report)
	}
}

// NeverExercised returns the rules that no run of the batch checked. For such a
// rule the batch gives no evidence that it holds.
func (s Summary) NeverExercised() []RuleName {
	var names []RuleName
	for _, name := range slices.Sorted(maps.Keys(s.Rules)) {
		if s.Rules[name].Exercised == 0 {
			names = append(names, name)
		}
	}
	return names
}

// Passed reports whether no rule was violated and every rule was exercised.
func (s Summary) Passed() bool {
	return len(s.Failed) == 0 && len(s.NeverExercised()) == 0
}

// Write prints the summary.
func (s Summary) Write(out io.Writer) error {
	printer := &linePrinter{out: out}
	printer.line("seeds=%d hash=%016x events=%d", s.Seeds, s.Hash, s.Events)
	for _, kind := range slices.Sorted(maps.Keys(s.Faults)) {
		printer.line("fault kind=%s injected=%d", kind, s.Faults[kind])
	}
	for _, name := range slices.Sorted(maps.Keys(s.Counters)) {
		printer.line("count name=%s value=%d", name, s.Counters[name])
	}
	for _, name := range slices.Sorted(maps.Keys(s.Rules)) {
		rule := s.Rules[name]
		printer.line("rule name=%s exercised=%d violated=%d", name, rule.Exercised, rule.Violated)
	}
	for _, name := range s.NeverExercised() {
		printer.line("never exercised rule=%s", name)
	}
	for _, report := range s.Failed {
		writeFailure(printer, report)
	}
	return printer.err
}

func writeFailure(printer *linePrinter, report Report) {
	for _, rule := range report.Rules {
		for _, violation := range rule.Violations {
			printer.line("violation seed=%d rule=%s at=%s detail=%q", report.Seed, rule.Name, violation.At, violation.Detail)
		}
	}
}

// linePrinter writes lines and keeps the first error, so that the caller checks
// for an error once.
type linePrinter struct {
	out io.Writer
	err error
}

func (p *linePrinter) line(format string, arguments ...any) {
	if p.err == nil {
		_, p.err = fmt.Fprintf(p.out, format+"\n", arguments...)
	}
}
