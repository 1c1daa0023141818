package poison

import "time"

// goodEndSlots bounds the good ends remembered, to 24 KB; a later one takes the place of
// another that falls on its slot.
const goodEndSlots = 1024

// RecentSuccesses are the requests that ended well lately at one node. Callers that send the same
// thing again and again, as a ping, share a fingerprint: some of them run on each server
// that ends, whatever ended it, and only that others of them end well tells them from a
// poison request. It is not safe for concurrent use.
type RecentSuccesses struct {
	slots [goodEndSlots]goodEnd
}

type goodEnd struct {
	key uint64
	at  time.Time
}

// Add takes a request that ended well.
func (g *RecentSuccesses) Add(now time.Time, fingerprint Fingerprint) {
	key := fingerprint.Key()
	g.slots[key%goodEndSlots] = goodEnd{key: key, at: now}
}

// Acquittals returns a word for each of the requests that are reported and that ended well lately,
// where the tally does not know so.
func (g *RecentSuccesses) Acquittals(now time.Time, tally *Tracker, reports []Report) []Report {
	var vouched []Report
	for _, report := range reports {
		age, isGood := g.Age(now, report.Fingerprint)
		if !report.Acquitted && isGood && !tally.SucceededRecently(now, report.Fingerprint) {
			vouched = append(vouched, Report{Fingerprint: report.Fingerprint, Age: age, Acquitted: true})
		}
	}
	return vouched
}

// Age is how long ago such a request ended well; ok is false where that was too long ago to
// vouch for it, or is not known.
func (g *RecentSuccesses) Age(now time.Time, fingerprint Fingerprint) (age time.Duration, ok bool) {
	key := fingerprint.Key()
	slot := g.slots[key%goodEndSlots]
	if slot.key != key {
		return 0, false
	}
	age = now.Sub(slot.at)
	return age, age < vouchTime
}
