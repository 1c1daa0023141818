package poison

import (
	"slices"
	"time"
)

// addCrash adds a crash; it returns false where the crash is already known or does not count. Of several
// reported times of one crash the earliest counts, in whatever order the reports come.
func (s *suspect) addCrash(added crash) bool {
	if !added.at.After(s.resetAt()) {
		return false
	}
	byTime := func(a, b crash) int { return a.at.Compare(b.at) }
	if i := slices.IndexFunc(s.crashes, added.isSameCrash); i >= 0 {
		if added.at.Before(s.crashes[i].at) {
			s.crashes[i].at = added.at
			slices.SortFunc(s.crashes, byTime)
		}
		return false
	}
	if len(s.crashes) >= maxCrashes && added.at.Before(s.crashes[0].at) {
		return false
	}
	if len(s.crashes) == 0 || added.at.Sub(s.lastCrashAt()) > evidenceGap {
		s.evidenceSince = added.at
	}
	if len(s.crashes) == 0 || added.at.Sub(s.lastCrashAt()) >= minPartEvidence {
		s.bursts++
	}
	s.crashes = append(s.crashes, added)
	slices.SortFunc(s.crashes, byTime)
	s.crashes = s.crashes[max(0, len(s.crashes)-maxCrashes):]
	return true
}

// reportDelayMargin is the time after a crash from which a request counts as running on a later start of
// that server: reports carry ages, which grow in transit. Servers take longer than this to start.
const reportDelayMargin = 200 * time.Millisecond

// isSameCrash reports whether both are crashes of the same start of a server.
func (c crash) isSameCrash(other crash) bool {
	if c.serverID != other.serverID {
		return false
	}
	first, last := c, other
	if last.at.Before(first.at) {
		first, last = last, first
	}
	return last.ranFor == 0 || last.at.Add(-last.ranFor).Before(first.at.Add(reportDelayMargin))
}

// points adds up the crashes, counting those within sameEventWindow as one. For a part they count no more
// than one for each request that had it: a request that crashes every server is barred by itself, and its
// repeats tell nothing about the parts that it shares.
func (s *suspect) points() int {
	points := s.pointsOfEvents()
	if requests := s.countRequests(); requests > 0 {
		points = min(points, fullPoints*requests)
	}
	return points
}

// countRequests counts the requests that had the part when servers crashed; 0 for a request itself.
func (s *suspect) countRequests() int {
	var requests []uint64
	for _, c := range s.crashes {
		if c.request != 0 && !slices.Contains(requests, c.request) {
			requests = append(requests, c.request)
		}
	}
	return len(requests)
}

// hadTimeToRunWell reports whether requests with the part, if they are harmless, had time to run well
// elsewhere since servers began to crash. A request itself needs none: it is barred by its own repeats.
func (s *suspect) hadTimeToRunWell() bool {
	return s.countRequests() == 0 || s.lastCrashAt().Sub(s.evidenceSince) >= minPartEvidence || s.bursts >= CrashLimit
}

// countBursts counts the crashes, those that follow each other within minPartEvidence as one.
func countBursts(crashes []crash) (bursts int) {
	for i, c := range crashes {
		if i == 0 || c.at.Sub(crashes[i-1].at) >= minPartEvidence {
			bursts++
		}
	}
	return bursts
}

// awaitsTrial reports whether servers crashed under a part often enough to bar it, but in so short a time that
// none of its requests could run well, and none has since: one more tells.
func (s *suspect) awaitsTrial(now time.Time) bool {
	if len(s.crashes) < CrashLimit || s.countRequests() == 0 || now.Sub(s.lastCrashAt()) < minPartEvidence {
		return false
	}
	latest := suspect{crashes: slices.DeleteFunc(slices.Clone(s.crashes), func(c crash) bool { return c.at.Before(s.evidenceSince) })}
	return latest.points() >= limitPoints
}

func (s *suspect) pointsOfEvents() int {
	total, ofEvent := 0, 0
	var eventStart time.Time
	for i, c := range s.crashes {
		if i == 0 || c.at.Sub(eventStart) > sameEventWindow {
			total, ofEvent = total+ofEvent, 0
			eventStart = c.at
		}
		if c.isShared {
			ofEvent = max(ofEvent, sharedPoints)
		} else {
			ofEvent = fullPoints
		}
	}
	return total + ofEvent
}
