package check

import (
	"fmt"
	"time"

	"github.com/spanlanding/spanlanding/internal/fleet"
)

// checkReplicas compares the number of replicas in the engines' books with the
// decided and the declared maximum at each accepted load. Between loads the
// number can only decrease.
func checkReplicas(evidence Evidence, tolerances Tolerances) Verdict {
	verdict := Verdict{Rule: RuleReplicas, Unit: "loads"}
	intervals := evidence.residentIntervals()
	if len(evidence.Decisions) == 0 && len(intervals) > 0 {
		verdict.addNote("no decision was seen; judged by the declared bounds only")
	}
	for _, load := range intervals {
		verdict.Exercised++
		resident := replicasAt(intervals, load.Model, load.From)
		if limit, known := evidence.maxDecidedAround(load.Model, load.From, tolerances.Decision); known && resident > limit {
			verdict.addFinding(load.From, "%s: %d replicas after the load %s on %s, decided %d",
				load.Model, resident, load.OrderID, load.backend, limit)
		}
		if bound, declared := evidence.MaxReplicas[load.Model]; declared && resident > bound {
			verdict.addFinding(load.From, "%s: %d replicas after the load %s on %s, declared at most %d",
				load.Model, resident, load.OrderID, load.backend, bound)
		}
	}
	return verdict
}

// replicasAt counts the replicas of a model at the given time.
func replicasAt(intervals []residentInterval, model fleet.ModelVersion, at time.Time) int {
	count := 0
	for _, other := range intervals {
		if other.Model == model && !other.From.After(at) && other.until.After(at) {
			count++
		}
	}
	return count
}

// maxDecidedAround returns the largest replica count in force between at and at
// plus the tolerance, because a decision's time is recorded only when the store
// accepts it. Decisions replaced before at are ignored: a decided count is
// lowered only once no node may load up to the old one any more. The result is
// false if no decision was observed.
func (e Evidence) maxDecidedAround(model fleet.ModelVersion, at time.Time, tolerance time.Duration) (int, bool) {
	if len(e.Decisions) == 0 {
		return 0, false
	}
	largest := 0
	for index, decision := range e.Decisions {
		if decision.At.After(at.Add(tolerance)) {
			break
		}
		replaced := index+1 < len(e.Decisions) && e.Decisions[index+1].At.Before(at)
		if !replaced {
			largest = max(largest, decision.Replicas[model])
		}
	}
	return largest, true
}

// checkMemory compares each engine's reported peak, and the total size of the
// models that its book shows loaded at the same time, with its memory.
func checkMemory(evidence Evidence, _ Tolerances) Verdict {
	verdict := Verdict{Rule: RuleMemory, Unit: "engines that held a model"}
	intervals := evidence.residentIntervals()
	for _, book := range evidence.Books {
		if book.Backend.Kind != fleet.KindEngine || len(book.Residencies) == 0 {
			continue
		}
		verdict.Exercised++
		if book.PeakBytes > book.MemoryBytes {
			verdict.addFinding(time.Time{}, "%s held %s of %s", book.Backend.Name, formatGiB(book.PeakBytes), formatGiB(book.MemoryBytes))
		}
		for _, load := range intervals {
			if load.backend != book.Backend.Name {
				continue
			}
			if held := residentBytesAt(intervals, load); held > book.MemoryBytes {
				verdict.addFinding(load.From, "%s held %s of models in %s after the load of %s",
					load.backend, formatGiB(held), formatGiB(book.MemoryBytes), load.Model)
			}
		}
	}
	return verdict
}

// residentBytesAt returns the total size of the models on an engine when it
// accepted a load, including that load.
func residentBytesAt(intervals []residentInterval, load residentInterval) int64 {
	var held int64
	for _, other := range intervals {
		sameEngine := other.backend == load.backend
		if sameEngine && !other.From.After(load.From) && other.until.After(load.From) {
			held += other.Bytes
		}
	}
	return held
}

func formatGiB(bytes int64) string {
	return fmt.Sprintf("%.1f GiB", float64(bytes)/(1<<30))
}

// checkLeaving looks for requests and loads that a back end got after it
// announced that it leaves and the tolerance passed.
func checkLeaving(evidence Evidence, tolerances Tolerances) Verdict {
	verdict := Verdict{Rule: RuleLeaving, Unit: "leaving back ends"}
	for _, book := range evidence.Books {
		if book.LeavingSince.IsZero() {
			continue
		}
		verdict.Exercised++
		limit := book.LeavingSince.Add(tolerances.Leaving)
		for _, run := range book.Executions {
			if run.Started.After(limit) {
				verdict.addFinding(run.Started, "%s got request %s %s after it said that it leaves",
					book.Backend.Name, run.RequestID, run.Started.Sub(book.LeavingSince))
			}
		}
		for _, refused := range book.TurnedAway {
			if refused.At.After(limit) {
				verdict.addFinding(refused.At, "%s had to refuse request %q order %q %s after it said that it leaves",
					book.Backend.Name, refused.RequestID, refused.OrderID, refused.At.Sub(book.LeavingSince))
			}
		}
		for _, load := range book.Residencies {
			if load.From.After(limit) {
				verdict.addFinding(load.From, "%s got a load of %s %s after it said that it leaves",
					book.Backend.Name, load.Model, load.From.Sub(book.LeavingSince))
			}
		}
	}
	return verdict
}
