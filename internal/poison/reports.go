package poison

import (
	"slices"
	"time"
)

// Reports are the reports that bring another node to the same status of the request.
func (t *Tracker) Reports(now time.Time, fingerprint Fingerprint) []Report {
	entry, ok := t.suspects[fingerprint]
	if !ok {
		return nil
	}
	var reports []Report
	for _, c := range entry.crashes {
		reports = append(reports, Report{
			Fingerprint: fingerprint, Request: c.request, ServerID: c.serverID, Age: now.Sub(c.at), RanFor: c.ranFor,
			BarredFor: t.BarRemaining(now, fingerprint), Bar: t.Bar(now, fingerprint),
		})
	}
	return reports
}

// LastReport is the latest of the request's reports. It carries the bar, so that a node that gets only
// this report bars the request as well.
func (t *Tracker) LastReport(now time.Time, fingerprint Fingerprint) Report {
	reports := t.Reports(now, fingerprint)
	if len(reports) == 0 {
		return t.BarReport(now, fingerprint)
	}
	return reports[len(reports)-1]
}

// ReportsOnBars are the reports that bring a node which knows nothing to the same decisions on barred requests,
// limit of them at most: the last one on each, which bars it, then the others, and then those on requests that
// are not barred and under which the same servers crashed. By these the node tells a request that only looks
// like another one from that one.
func (t *Tracker) ReportsOnBars(now time.Time, limit int) []Report {
	var last, others []Report
	for _, fingerprint := range t.Barred(now) {
		last = append(last, t.LastReport(now, fingerprint))
		if reports := t.Reports(now, fingerprint); len(reports) > 1 {
			others = append(others, reports[:len(reports)-1]...)
		}
	}
	reports := append(last, others...)
	crashed := make(map[string]bool, len(reports))
	for _, report := range reports {
		crashed[report.ServerID] = true
	}
	for _, fingerprint := range t.Unbarred(now) {
		for _, report := range t.Reports(now, fingerprint) {
			if crashed[report.ServerID] {
				reports = append(reports, report)
			}
		}
	}
	return reports[:min(len(reports), limit)]
}

// CrashCount is the number of servers known to have crashed under a request.
func (t *Tracker) CrashCount(fingerprint Fingerprint) int {
	if entry, ok := t.suspects[fingerprint]; ok {
		return len(entry.crashes)
	}
	return 0
}

// BarRemaining is how much longer the request is barred.
func (t *Tracker) BarRemaining(now time.Time, fingerprint Fingerprint) time.Duration {
	if entry, ok := t.suspects[fingerprint]; ok {
		return max(0, entry.barredUntil.Sub(now))
	}
	return 0
}

// Barred are the requests that are barred now, sorted.
func (t *Tracker) Barred(now time.Time) []Fingerprint {
	return t.fingerprints(func(entry *suspect) bool { return now.Before(entry.barredUntil) })
}

// Unbarred are the requests with crashes that are not barred now, sorted.
func (t *Tracker) Unbarred(now time.Time) []Fingerprint {
	return t.fingerprints(func(entry *suspect) bool { return len(entry.crashes) > 0 && !now.Before(entry.barredUntil) })
}

// fingerprints returns the requests whose entry matches, sorted.
func (t *Tracker) fingerprints(matches func(*suspect) bool) []Fingerprint {
	var found []Fingerprint
	for fingerprint, entry := range t.suspects {
		if matches(entry) {
			found = append(found, fingerprint)
		}
	}
	slices.SortFunc(found, func(a, b Fingerprint) int { return slices.Compare(a[:], b[:]) })
	return found
}
