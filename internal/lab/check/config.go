package check

import (
	"cmp"
	"slices"
	"time"
)

// checkConfig checks that the configuration version in force never decreases
// between two restarts of a node, and that each accepted change is in force at
// every node within the tolerance. A node without a sample after that time is
// not checked.
func checkConfig(evidence Evidence, tolerances Tolerances) Verdict {
	verdict := Verdict{Rule: RuleConfig, Unit: "changes seen at nodes"}
	byStart := make(map[nodeStart][]ConfigSample)
	for _, sample := range evidence.ConfigSamples {
		start := nodeStart{node: sample.Node, bootID: sample.BootID}
		byStart[start] = append(byStart[start], sample)
	}
	for _, start := range sortedStarts(byStart) {
		samples := byStart[start]
		slices.SortStableFunc(samples, func(a, b ConfigSample) int { return a.At.Compare(b.At) })
		findReverts(&verdict, samples)
		for _, change := range evidence.ConfigChanges {
			checkChange(&verdict, samples, change, tolerances.Config)
		}
	}
	return verdict
}

// nodeStart identifies one start of a node process.
type nodeStart struct {
	node   string
	bootID uint64
}

func sortedStarts(byStart map[nodeStart][]ConfigSample) []nodeStart {
	starts := make([]nodeStart, 0, len(byStart))
	for start := range byStart {
		starts = append(starts, start)
	}
	slices.SortFunc(starts, func(a, b nodeStart) int {
		return cmp.Or(cmp.Compare(a.node, b.node), cmp.Compare(a.bootID, b.bootID))
	})
	return starts
}

func findReverts(verdict *Verdict, samples []ConfigSample) {
	for index := 1; index < len(samples); index++ {
		before, after := samples[index-1], samples[index]
		if after.Version < before.Version {
			verdict.addFinding(after.At, "node %s went back from version %d to %d", after.Node, before.Version, after.Version)
		}
	}
}

// checkChange checks one change against the first sample after the allowed time.
func checkChange(verdict *Verdict, samples []ConfigSample, change ConfigChange, allowed time.Duration) {
	due := change.At.Add(allowed)
	for _, sample := range samples {
		if sample.At.Before(due) {
			continue
		}
		verdict.Exercised++
		if sample.Version < change.Version {
			verdict.addFinding(sample.At, "node %s has version %d in force %s after version %d was accepted",
				sample.Node, sample.Version, sample.At.Sub(change.At), change.Version)
		}
		return
	}
}
