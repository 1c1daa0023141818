package poison

import "time"

// successSlots bounds the successes remembered, to 24 KB; a later one overwrites the one in its slot.
const successSlots = 1024

// RecentSuccesses remembers the requests that recently succeeded at one node. Callers that send the same
// request over and over, such as a ping, share a fingerprint: some copies run on every server that
// crashes, whatever the cause, and only the success of others distinguishes them from a poison request.
// It is not safe for concurrent use.
type RecentSuccesses struct {
	slots [successSlots]success
}

// success is the last success that fell into a slot.
type success struct {
	key uint64
	at  time.Time
}

// Add records that a request succeeded.
func (r *RecentSuccesses) Add(now time.Time, fingerprint Fingerprint) {
	key := fingerprint.Key()
	r.slots[key%successSlots] = success{key: key, at: now}
}

// Acquittals returns an acquitting report for each reported request that recently succeeded here, unless
// the tracker already knows of a success.
func (r *RecentSuccesses) Acquittals(now time.Time, tracker *Tracker, reports []Report) []Report {
	var acquittals []Report
	for _, report := range reports {
		age, isRecent := r.Age(now, report.Fingerprint)
		if !report.Acquitted && isRecent && !tracker.SucceededRecently(now, report.Fingerprint) {
			acquittals = append(acquittals, Report{Fingerprint: report.Fingerprint, Age: age, Acquitted: true})
		}
	}
	return acquittals
}

// Age is how long ago the request succeeded; ok is false where that is unknown, or too long ago to
// acquit it.
func (r *RecentSuccesses) Age(now time.Time, fingerprint Fingerprint) (age time.Duration, ok bool) {
	key := fingerprint.Key()
	slot := r.slots[key%successSlots]
	if slot.key != key {
		return 0, false
	}
	age = now.Sub(slot.at)
	return age, age < successTTL
}
