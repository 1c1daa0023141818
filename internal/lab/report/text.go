package report

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"

	"github.com/spanlanding/spanlanding/internal/lab/check"
)

// maxFindings is how many findings of one rule the text shows; the JSON has all.
const maxFindings = 5

// Text writes the summary as text.
func (s Summary) Text(output io.Writer) error {
	var text strings.Builder
	fmt.Fprintf(&text, "requests     %d (profile %s, seed %d)\n", s.Requests, s.Profile, s.Seed)
	for _, kind := range slices.Sorted(maps.Keys(s.Outcomes)) {
		fmt.Fprintf(&text, "  %-10s %s\n", kind, countsText(s.Outcomes[kind]))
	}
	for _, line := range []struct{ title, name string }{
		{"cold starts", TimeColdStart},
		{"first token", TimeFirstToken},
		{"next tokens", TimeBetweenTokens},
		{"whole answer", TimeWhole},
		{"plain calls", TimePlainCall},
		{"model loads", TimeLoad},
	} {
		fmt.Fprintf(&text, "%-12s %s\n", line.title, s.Times[line.name])
	}
	fmt.Fprintf(&text, "loads        %d ordered for %d models, %d replicas decided; %d orders refused for their fence\n",
		s.Loads.Ordered, s.Loads.Models, s.Loads.Decided, s.Loads.RefusedOrders)
	fmt.Fprintf(&text, "replicas     ready and idle %.0f s, busy %.0f s\n", s.Loads.IdleSeconds, s.Loads.BusySeconds)
	for _, fault := range s.Faults {
		fmt.Fprintf(&text, "fault        %s %s %s\n", fault.Kind, fault.Target, fault.Detail)
	}
	for _, problem := range slices.Sorted(maps.Keys(s.Problems)) {
		fmt.Fprintf(&text, "not read     %s, %s\n", problem, s.Problems[problem])
	}
	text.WriteString("rules, by the back ends' books\n")
	for _, verdict := range s.Verdicts {
		verdictText(&text, verdict)
	}
	_, err := io.WriteString(output, text.String())
	return err
}

func countsText(counts map[string]int) string {
	parts := make([]string, 0, len(counts))
	for _, name := range slices.Sorted(maps.Keys(counts)) {
		parts = append(parts, fmt.Sprintf("%s %d", name, counts[name]))
	}
	return strings.Join(parts, ", ")
}

func verdictText(text *strings.Builder, verdict check.Verdict) {
	fmt.Fprintf(text, "  %-13s %-37s %d %s\n", verdict.State, verdict.Rule, verdict.Exercised, verdict.Unit)
	for index, finding := range verdict.Findings {
		if index == maxFindings {
			fmt.Fprintf(text, "      and %d more\n", len(verdict.Findings)-maxFindings)
			break
		}
		fmt.Fprintf(text, "      %s\n", finding.Detail)
	}
	for _, note := range verdict.Notes {
		fmt.Fprintf(text, "      note: %s\n", note)
	}
}
