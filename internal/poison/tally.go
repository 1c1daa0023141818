package poison

import (
	"cmp"
	"slices"
	"time"
)

const (
	// CrashLimit is the number of servers that crash under a request until it is barred: with fewer,
	// requests that happened to run on crashing servers would be barred.
	CrashLimit = 3
	// sameEventWindow is the time within which several crashes count as one: a failing rack or zone takes
	// many servers of one caller's retries within a few milliseconds, while poison requests that run in
	// parallel crash their servers tens of milliseconds apart.
	sameEventWindow = 20 * time.Millisecond
	// suspectTTL is how long a suspect that is not barred is remembered: callers retry within their
	// deadlines, which are tens of seconds.
	suspectTTL = 2 * time.Minute
	// successTTL is how long a success clears a request: a request that succeeds now and then does not
	// crash every server. One that once succeeded and crashes servers since a new release is barred after
	// this time.
	successTTL = time.Minute
	// firstBarTime is how long a request is barred at first. A request that many callers send identically
	// may be barred along with a poison request that ran on the same servers, and could never succeed
	// again: after firstBarTime, when a caller's retries within its deadline are over, it gets a trial. A
	// request that crashes another server is barred for repeatBarTime, then for twice as long each time, up
	// to maxBarTime. It is never barred for good, since a new release of the server may withstand it.
	firstBarTime = 20 * time.Second
	// earlyTrialDelay is the time after the last crash from which a request may be tried within its first
	// bar: copies that were in flight have usually ended by then.
	earlyTrialDelay = time.Second
	// earlyTrialRefusals is the number of copies that a node refuses before it asks for such a trial.
	// Requests that many callers send identically come many times a second; the retries of one caller,
	// whose trial would crash one more server, do not.
	earlyTrialRefusals = 5
	repeatBarTime      = 10 * time.Minute
	maxBarTime         = 2 * time.Hour
	// maxSuspects bounds the suspects remembered, to about 100 KB: each crashed server makes as many
	// suspects as it had requests, and a caller may send any number of different bodies. The suspect with
	// the fewest crashes, and among these the oldest, is evicted first.
	maxSuspects = 512
	// maxCrashes bounds the crashes remembered for a request, the latest ones; those beyond CrashLimit
	// serve to excuse the requests that ran on the same servers.
	maxCrashes = 8
	// minPartEvidence is the time over which servers must have crashed until a part is barred: requests
	// that share it run well meanwhile, if it is harmless. Crashes that follow each other by more than
	// evidenceGap are judged apart, unless they are CrashLimit bursts: the time between those was enough.
	minPartEvidence = 600 * time.Millisecond
	evidenceGap     = 10 * time.Second
	// partSuspectTTL is how long a part that is not barred is remembered. Requests that share it come from
	// many callers, at any pace; one of them that runs well clears it.
	partSuspectTTL = 10 * time.Minute
	// recentCrash is the time after a crash within which that server is expected to be down.
	recentCrash = 10 * time.Second
)

// Status is what is known of a request.
type Status int

const (
	// StatusClear requests have crashed no server, or were cleared by a success.
	StatusClear Status = iota
	// StatusSuspect requests were running on servers that crashed.
	StatusSuspect
	// StatusOnTrial requests were barred until recently, and parts crashed CrashLimit servers in one moment: one
	// node may send them once, after claiming the trial (Tracker.ClaimTrial).
	StatusOnTrial
	// StatusBarred requests crashed CrashLimit servers and are not sent to any.
	StatusBarred
)

// Report says that one server crashed under a request or, if Acquitted is set, that the request
// succeeded.
type Report struct {
	Fingerprint Fingerprint
	// Request is the key of the request in whose prompt the part was, in reports of parts; 0 in those of
	// requests.
	Request uint64
	// ServerID is empty where the report tells of a bar only.
	ServerID string
	// Age is the time since the event.
	Age time.Duration
	// RanFor is how long the server had been running the request when it crashed; 0 if unknown. If the
	// request reached it after a server of the same ID had crashed, this is another start of that server.
	RanFor    time.Duration
	Acquitted bool
	// BarredFor is how much longer the request is barred; 0 if it is not. It informs nodes that did not
	// see the crashes.
	BarredFor time.Duration
	// Bar identifies that bar; zero if the reporter does not know.
	Bar Bar
	// Lifted is set where an operator lifted the bar: everything known of the request is forgotten. Unlike
	// a success this does not protect it: new crashes bar it as they would any other request.
	Lifted bool
}

// crash is a server that crashed under a request.
type crash struct {
	serverID string
	at       time.Time
	// ranFor is how long the server had been running the request; 0 if unknown.
	ranFor time.Duration
	// isShared is set where a barred request was running there, too: which of them caused the crash cannot
	// be told.
	isShared bool
	// request is the key of the request that had the part; 0 for a request itself.
	request uint64
}

// Points per crash: one that was shared with a barred request counts less, so that a request is barred
// after four crashes if some of them were shared. If shared crashes counted nothing, poison requests
// that run in parallel would excuse each other: of twelve such requests, each sent every 0.3 s, one
// crashed 8 servers even when they counted half. If they counted fully, harmless requests next to a
// poison request would be barred along with it.
const (
	fullPoints   = 4
	sharedPoints = 3
	limitPoints  = CrashLimit * fullPoints
)

// suspect is a request, or a part of prompts, under which servers crashed.
type suspect struct {
	crashes []crash
	// evidenceSince is when the first of the crashes happened that followed each other within evidenceGap.
	evidenceSince time.Time
	// bursts counts the crashes, those that followed each other within minPartEvidence as one.
	bursts int
	// succeededAt is when it last succeeded: earlier crashes do not count.
	succeededAt time.Time
	// barredUntil is zero until it is barred; barTime is the length of the current or last bar, barSerial
	// its number and barredFrom its beginning.
	barredUntil time.Time
	barTime     time.Duration
	barSerial   uint32
	barredFrom  time.Time
	// trialAt is when the last trial was claimed, zero if none was since the last bar, and
	// inconclusiveTrials the number of trials without a known result.
	trialAt            time.Time
	inconclusiveTrials int
	// earlyTrialAt is when a trial within the first bar was claimed here; refusals counts the copies that
	// this node refused.
	earlyTrialAt time.Time
	refusals     int
	// trialPendingUntil is until when the result of a trial claimed here is awaited.
	trialPendingUntil time.Time
	// liftedAt is when an operator lifted its bar.
	liftedAt time.Time
}

// Tracker is what a node knows of suspect requests, from its own requests and the reports of other nodes.
// Reports may be repeated and may come in any order: each crash counts once per request. It is not safe
// for concurrent use.
type Tracker struct {
	suspects map[Fingerprint]*suspect
}

// NewTracker returns a tracker without suspects.
func NewTracker() *Tracker { return &Tracker{suspects: make(map[Fingerprint]*suspect)} }

// Size is the number of requests remembered.
func (t *Tracker) Size() int { return len(t.suspects) }

// Status is the current status of a request.
func (t *Tracker) Status(now time.Time, fingerprint Fingerprint) Status {
	entry, ok := t.suspects[fingerprint]
	switch {
	case !ok || entry.isForgotten(now) || entry.succeededRecently(now):
		return StatusClear
	case now.Before(entry.barredUntil) && (entry.refusals < earlyTrialRefusals || !t.isEarlyTrialDue(now, fingerprint, entry)):
		return StatusBarred
	case entry.barTime > 0 || entry.awaitsTrial(now):
		return StatusOnTrial
	case entry.points() > 0:
		return StatusSuspect
	default:
		return StatusClear
	}
}

// Record applies a report. It returns false where the report is not news.
func (t *Tracker) Record(now time.Time, report Report) bool {
	at := now.Add(-report.Age)
	switch {
	case report.Lifted:
		return t.liftBar(now, at, report.Fingerprint)
	case report.Acquitted:
		return t.recordSuccess(now, at, report.Fingerprint)
	}
	if report.Age > suspectTTL && report.BarredFor <= 0 {
		return false
	}
	entry := t.suspectFor(now, report.Fingerprint)
	wasBarred := now.Before(entry.barredUntil)
	isNew := report.ServerID != "" && entry.addCrash(crash{
		serverID: report.ServerID, at: at, ranFor: report.RanFor, isShared: t.isShared(report.Fingerprint, report.ServerID), request: report.Request,
	})
	if at.After(entry.resetAt()) {
		entry.applyBar(now, report)
	}
	if isNew {
		entry.endTrialAt(at)
		t.updateBar(now, at, entry)
	}
	return isNew || !wasBarred && now.Before(entry.barredUntil)
}

// suspectFor returns the entry of the request, creating it if necessary.
func (t *Tracker) suspectFor(now time.Time, fingerprint Fingerprint) *suspect {
	entry, ok := t.suspects[fingerprint]
	if ok && !entry.isForgotten(now) {
		return entry
	}
	delete(t.suspects, fingerprint)
	t.evict(now)
	entry = &suspect{}
	t.suspects[fingerprint] = entry
	return entry
}

// succeededRecently reports whether the request succeeded within successTTL.
func (s *suspect) succeededRecently(now time.Time) bool {
	return !s.succeededAt.IsZero() && now.Sub(s.succeededAt) < successTTL
}

// updateBar bars a suspect that crashed too many servers, the latest of them at crashedAt. From then on
// these crashes count less for other suspects that ran on the same servers. A crash before the end of
// the last bar says nothing about a trial after it.
func (t *Tracker) updateBar(now, crashedAt time.Time, entry *suspect) {
	if entry.succeededRecently(now) {
		return
	}
	isRepeated := entry.barTime > 0 && (crashedAt.After(entry.barredUntil) || entry.crashedInTrial(crashedAt))
	switch {
	case isRepeated:
		entry.barTime = min(max(repeatBarTime, 2*entry.barTime), maxBarTime)
	case entry.barTime == 0 && entry.points() >= limitPoints && entry.hadTimeToRunWell():
		entry.barTime = firstBarTime
	case entry.barTime == 0:
		return
	}
	if isRepeated || entry.barredUntil.IsZero() {
		entry.beginBar(now, entry.barTime)
		entry.trialAt, entry.inconclusiveTrials = time.Time{}, 0
	}
	for _, other := range t.suspects {
		if other == entry || other.barTime > 0 {
			continue
		}
		for i := range other.crashes {
			other.crashes[i].isShared = other.crashes[i].isShared || entry.crashed(other.crashes[i].serverID)
		}
	}
}

// crashed reports whether the server crashed under the request.
func (s *suspect) crashed(serverID string) bool {
	return slices.ContainsFunc(s.crashes, func(c crash) bool { return c.serverID == serverID })
}

// CrashedRecently returns the servers that are known to have crashed under some request a short time ago,
// sorted.
func (t *Tracker) CrashedRecently(now time.Time) []string {
	var crashed []string
	for _, entry := range t.suspects {
		for _, c := range entry.crashes {
			if now.Sub(c.at) < recentCrash {
				crashed = append(crashed, c.serverID)
			}
		}
	}
	slices.Sort(crashed)
	return slices.Compact(crashed)
}

// isShared reports whether the server also crashed under another request that is barred.
func (t *Tracker) isShared(fingerprint Fingerprint, serverID string) bool {
	for other, entry := range t.suspects {
		if entry.barTime > 0 && other != fingerprint && entry.crashed(serverID) {
			return true
		}
	}
	return false
}

// recordSuccess records that a request succeeded at that time. It returns false where a success of about
// that time is known.
func (t *Tracker) recordSuccess(now, at time.Time, fingerprint Fingerprint) bool {
	if now.Sub(at) >= successTTL {
		return false
	}
	entry := t.suspectFor(now, fingerprint)
	if at.Sub(entry.succeededAt) < successTTL/2 {
		return false
	}
	entry.succeededAt = at
	entry.crashes = slices.DeleteFunc(entry.crashes, func(c crash) bool { return !c.at.After(at) })
	entry.bursts = countBursts(entry.crashes)
	entry.resetBar()
	return true
}

// SucceededRecently reports whether the request is known to have succeeded within successTTL.
func (t *Tracker) SucceededRecently(now time.Time, fingerprint Fingerprint) bool {
	entry, ok := t.suspects[fingerprint]
	return ok && entry.succeededRecently(now)
}

// isForgotten reports whether the entry has expired. A request that was barred is remembered for the
// length of its bar after it, and as long as one that is not at least, so that one more crash bars it again.
func (s *suspect) isForgotten(now time.Time) bool {
	ttl := suspectTTL
	if s.countRequests() > 0 {
		ttl = partSuspectTTL
	}
	if s.barTime > 0 {
		return now.After(s.barredUntil.Add(max(s.barTime, ttl)))
	}
	return now.Sub(s.lastCrashAt()) > ttl
}

// lastCrashAt is when a server last crashed under the request, or when it was last cleared.
func (s *suspect) lastCrashAt() time.Time {
	if len(s.crashes) == 0 {
		return s.resetAt()
	}
	return s.crashes[len(s.crashes)-1].at
}

// evict removes expired entries and, if the table is still full, the least important one.
func (t *Tracker) evict(now time.Time) {
	if len(t.suspects) < maxSuspects {
		return
	}
	var evicted Fingerprint
	var weakest *suspect
	for fingerprint, entry := range t.suspects {
		if entry.isForgotten(now) {
			delete(t.suspects, fingerprint)
			continue
		}
		if weakest == nil || entry.evictBefore(weakest) {
			evicted, weakest = fingerprint, entry
		}
	}
	if len(t.suspects) >= maxSuspects {
		delete(t.suspects, evicted)
	}
}

// evictBefore reports whether the suspect is less important than the other.
func (s *suspect) evictBefore(other *suspect) bool {
	return cmp.Or(cmp.Compare(s.barTime, other.barTime), cmp.Compare(len(s.crashes), len(other.crashes)), s.lastCrashAt().Compare(other.lastCrashAt())) < 0
}

// Sweep removes expired entries.
func (t *Tracker) Sweep(now time.Time) {
	for fingerprint, entry := range t.suspects {
		if entry.isForgotten(now) {
			delete(t.suspects, fingerprint)
		}
	}
}
