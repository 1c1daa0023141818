package check

import (
	"fmt"
	"time"

	"github.com/spanlanding/spanlanding/internal/fleet"
)

// judgeReplicas compares, at each accepted load, the replicas in the engines'
// books with the largest number that was decided and may still have been in
// use. Between loads the number can only fall.
func judgeReplicas(evidence Evidence, tolerances Tolerances) Verdict {
	verdict := Verdict{Rule: RuleReplicas, Unit: "loads"}
	stays := evidence.stays()
	if len(evidence.Decisions) == 0 && len(stays) > 0 {
		verdict.note("no decision was seen; judged by the declared bounds only")
	}
	for _, load := range stays {
		verdict.Exercised++
		resident := residentAt(stays, load.Model, load.From)
		if limit, known := evidence.decidedAround(load.Model, load.From, tolerances.Decision); known && resident > limit {
			verdict.find(load.From, "%s: %d replicas after the load %s on %s, decided %d",
				load.Model, resident, load.OrderID, load.backend, limit)
		}
		if bound, declared := evidence.MaxReplicas[load.Model]; declared && resident > bound {
			verdict.find(load.From, "%s: %d replicas after the load %s on %s, declared at most %d",
				load.Model, resident, load.OrderID, load.backend, bound)
		}
	}
	return verdict
}

// residentAt counts the replicas at the moment when a load was accepted.
func residentAt(stays []stay, model fleet.ModelVersion, at time.Time) int {
	count := 0
	for _, other := range stays {
		if other.Model == model && !other.From.After(at) && other.until.After(at) {
			count++
		}
	}
	return count
}

// decidedAround is the largest number in force from the moment to the tolerance
// after it, since a decision's time is noted as the store takes it. The record
// lowers a decided number only when no one may load up to it any more, so
// nothing is allowed for the time before. It is not known where no decision was
// seen at all.
func (e Evidence) decidedAround(model fleet.ModelVersion, at time.Time, tolerance time.Duration) (int, bool) {
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

// judgeMemory compares each engine's own peak, and the sum of what its book
// holds at one time, with its memory.
func judgeMemory(evidence Evidence, _ Tolerances) Verdict {
	verdict := Verdict{Rule: RuleMemory, Unit: "engines that held a model"}
	stays := evidence.stays()
	for _, book := range evidence.Books {
		if book.Backend.Kind != fleet.KindEngine || len(book.Residencies) == 0 {
			continue
		}
		verdict.Exercised++
		if book.PeakBytes > book.MemoryBytes {
			verdict.find(time.Time{}, "%s held %s of %s", book.Backend.Name, gibibytes(book.PeakBytes), gibibytes(book.MemoryBytes))
		}
		for _, load := range stays {
			if load.backend != book.Backend.Name {
				continue
			}
			if held := bytesAt(stays, load); held > book.MemoryBytes {
				verdict.find(load.From, "%s held %s of models in %s after the load of %s",
					load.backend, gibibytes(held), gibibytes(book.MemoryBytes), load.Model)
			}
		}
	}
	return verdict
}

// bytesAt adds up what an engine held when it accepted a load.
func bytesAt(stays []stay, load stay) int64 {
	var held int64
	for _, other := range stays {
		sameEngine := other.backend == load.backend
		if sameEngine && !other.From.After(load.From) && other.until.After(load.From) {
			held += other.Bytes
		}
	}
	return held
}

func gibibytes(bytes int64) string {
	return fmt.Sprintf("%.1f GiB", float64(bytes)/(1<<30))
}

// judgeLeaving looks for work that a leaving back end got too late.
func judgeLeaving(evidence Evidence, tolerances Tolerances) Verdict {
	verdict := Verdict{Rule: RuleLeaving, Unit: "leaving back ends"}
	for _, book := range evidence.Books {
		if book.LeavingSince.IsZero() {
			continue
		}
		verdict.Exercised++
		limit := book.LeavingSince.Add(tolerances.Leaving)
		for _, run := range book.Executions {
			if run.Started.After(limit) {
				verdict.find(run.Started, "%s got request %s %s after it said that it leaves",
					book.Backend.Name, run.RequestID, run.Started.Sub(book.LeavingSince))
			}
		}
		for _, refused := range book.TurnedAway {
			if refused.At.After(limit) {
				verdict.find(refused.At, "%s had to refuse request %q order %q %s after it said that it leaves",
					book.Backend.Name, refused.RequestID, refused.OrderID, refused.At.Sub(book.LeavingSince))
			}
		}
		for _, load := range book.Residencies {
			if load.From.After(limit) {
				verdict.find(load.From, "%s got a load of %s %s after it said that it leaves",
					book.Backend.Name, load.Model, load.From.Sub(book.LeavingSince))
			}
		}
	}
	return verdict
}
