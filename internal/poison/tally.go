package poison

import (
	"cmp"
	"slices"
	"time"
)

const (
	// CrashLimit is the number of servers that end under a request until it is barred:
	// with fewer, requests that happened to run on servers that crashed would be.
	CrashLimit = 3
	// sameMoment is the time within which servers that end count once: a rack or a zone
	// that fails takes many servers of one caller's repeats at once, and takes them all
	// in a few milliseconds; poison requests that run side by side take their servers
	// tens of milliseconds apart.
	sameMoment = 20 * time.Millisecond
	// suspectTime is how long a request that is not barred is remembered: callers repeat
	// within their deadlines, which are tens of seconds.
	suspectTime = 2 * time.Minute
	// vouchTime is how long a good end speaks for a request: what ends well now and then
	// does not end each server that runs it. What once ended well and ends servers since a
	// release is barred after it.
	vouchTime = time.Minute
	// firstBar is how long a request is barred at first. What many callers send alike may be
	// barred with a poison request that ran on the same servers, and would never end well
	// again: after firstBar, when the repeats of a caller within its deadline are over, it is
	// tried. One that ends a further server is barred for barTime, then for twice as long each
	// time, up to longestBar. A server's new software may bear what the old one did not.
	firstBar = 20 * time.Second
	// earlyTrial is the time from the last server on after which a request may be tried within
	// its first bar: copies that were under way have ended by then, as a rule.
	earlyTrial = time.Second
	// earlyCopies is how many copies a node refused before it asks for such a trial. What
	// callers send alike comes many times a second; one caller's repeats, of which a trial
	// ends one more server, do not.
	earlyCopies = 5
	barTime     = 10 * time.Minute
	longestBar  = 2 * time.Hour
	// mostSuspects bounds what is remembered, to about 100 KB: one server that crashes
	// makes as many suspects as it had requests, and a caller may send as many different
	// bodies as it likes. Who ended fewest servers longest ago makes way.
	mostSuspects = 512
	// mostEnds bounds the servers remembered for a request, the last ones; those beyond
	// CrashLimit excuse the requests that ran beside it.
	mostEnds = 8
)

// Status is what is known of a request.
type Status int

const (
	// StatusClear requests have ended no server.
	StatusClear Status = iota
	// StatusSuspect ones ran on servers that ended.
	StatusSuspect
	// StatusOnTrial ones were barred until lately: one node may send them once, after it
	// claimed that (Tally.ClaimTrial).
	StatusOnTrial
	// StatusBarred ones ended CrashLimit servers and are sent to none.
	StatusBarred
)

// Report is one server that ended under a request, or, where Acquitted is set, that a
// suspect ended well.
type Report struct {
	Fingerprint Fingerprint
	// ServerID is empty where the report tells of a bar alone.
	ServerID string
	// Age is the time since then.
	Age time.Duration
	// RanFor is for how long the server had the request when it ended; 0 where that is not
	// known. One that got it after a server of its ID had ended is another start of it.
	RanFor    time.Duration
	Acquitted bool
	// BarredFor is how long the request is barred yet; 0 where it is not. A node that did
	// not see the servers end goes by it.
	BarredFor time.Duration
	// Lifted is set where an operator ended the bar: what was known of the request is
	// forgotten. Nothing speaks for it, so that it is barred again as any other.
	Lifted bool
}

// end is a server that ended under a request.
type end struct {
	serverID string
	at       time.Time
	// ran is for how long it had the request; 0 where that is not known.
	ran time.Duration
	// isShared is set where a request that is barred ran there, too: which of them the
	// server ended under cannot be told.
	isShared bool
}

// Points that a server counts: one that ended under a barred request as well counts less,
// so that a request is barred for four servers where it shared some of them. With nothing
// for those, poison requests that run side by side would excuse each other: of twelve, each
// coming every 0.3 s, one ended 8 servers even with half. With all for them callers beside
// a poison request would be barred with it.
const (
	fullPoints   = 4
	sharedPoints = 3
	limitPoints  = CrashLimit * fullPoints
)

// suspect is a request under which servers ended.
type suspect struct {
	ends []end
	// clearedAt is when it last ended well: servers that ended before do not count.
	clearedAt time.Time
	// barredUntil is zero until it is barred; barred is for how long it was last.
	barredUntil time.Time
	barred      time.Duration
	// trialAt is when the last trial was claimed, zero where none was since the last
	// bar, and trials the number of those that told nothing.
	trialAt time.Time
	trials  int
	// earlyAt is when a trial within the first bar was claimed here; refused counts the copies
	// that this node refused in that bar.
	earlyAt time.Time
	refused int
	// triedUntil is until when the outcome of a trial that was claimed here is waited for.
	triedUntil time.Time
	// liftedAt is when an operator ended its bar.
	liftedAt time.Time
}

// Tracker is what a node knows of the requests under which servers ended, by its own
// requests and by what other nodes report. Reports may come often and in any order: a
// server counts once for each request. It is not safe for concurrent use.
type Tracker struct {
	suspects map[Fingerprint]*suspect
}

// NewTracker returns a tally that suspects nobody.
func NewTracker() *Tracker { return &Tracker{suspects: make(map[Fingerprint]*suspect)} }

// Size is the number of requests remembered.
func (t *Tracker) Size() int { return len(t.suspects) }

// Status is what is known of a request.
func (t *Tracker) Status(now time.Time, fingerprint Fingerprint) Status {
	known, ok := t.suspects[fingerprint]
	switch {
	case !ok || known.isForgotten(now) || known.isVouched(now):
		return StatusClear
	case now.Before(known.barredUntil) && (known.refused < earlyCopies || !t.mayTryEarly(now, known)):
		return StatusBarred
	case known.barred > 0:
		return StatusOnTrial
	case known.points() > 0:
		return StatusSuspect
	default:
		return StatusClear
	}
}

// Record takes a report. It returns false where it says nothing new.
func (t *Tracker) Record(now time.Time, report Report) bool {
	at := now.Add(-report.Age)
	switch {
	case report.Lifted:
		return t.lift(now, at, report.Fingerprint)
	case report.Acquitted:
		return t.acquit(now, at, report.Fingerprint)
	}
	if report.Age > suspectTime && report.BarredFor <= 0 {
		return false
	}
	known := t.entry(now, report.Fingerprint)
	wasBarred := now.Before(known.barredUntil)
	isNew := report.ServerID != "" && known.add(end{serverID: report.ServerID, at: at, ran: report.RanFor, isShared: t.isShared(report.Fingerprint, report.ServerID)})
	if at.After(known.forgivenAt()) {
		known.hearBar(now, report.BarredFor)
	}
	if isNew {
		known.endTrial(at)
		t.judge(now, at, known)
	}
	return isNew || !wasBarred && now.Before(known.barredUntil)
}

// entry is what is remembered of the request, from now on.
func (t *Tracker) entry(now time.Time, fingerprint Fingerprint) *suspect {
	known, ok := t.suspects[fingerprint]
	if ok && !known.isForgotten(now) {
		return known
	}
	delete(t.suspects, fingerprint)
	t.makeRoom(now)
	known = &suspect{}
	t.suspects[fingerprint] = known
	return known
}

// isVouched reports whether the request ended well lately.
func (s *suspect) isVouched(now time.Time) bool {
	return !s.clearedAt.IsZero() && now.Sub(s.clearedAt) < vouchTime
}

// add takes a server that ended; it returns false where it is known or does not count.
// Of several times at which one server ended the earliest counts, in whichever order they
// are heard.
func (s *suspect) add(added end) bool {
	if !added.at.After(s.forgivenAt()) {
		return false
	}
	byTime := func(a, b end) int { return a.at.Compare(b.at) }
	if i := slices.IndexFunc(s.ends, added.isSame); i >= 0 {
		if added.at.Before(s.ends[i].at) {
			s.ends[i].at = added.at
			slices.SortFunc(s.ends, byTime)
		}
		return false
	}
	if len(s.ends) >= mostEnds && added.at.Before(s.ends[0].at) {
		return false
	}
	s.ends = append(s.ends, added)
	slices.SortFunc(s.ends, byTime)
	s.ends = s.ends[max(0, len(s.ends)-mostEnds):]
	return true
}

// restartMargin is by how much later than an end another start of the server must have got its
// request: reports tell times as ages, which grow on their way. Servers take longer to start.
const restartMargin = 200 * time.Millisecond

// isSame reports whether two ends are of one start of a server.
func (e end) isSame(other end) bool {
	if e.serverID != other.serverID {
		return false
	}
	first, last := e, other
	if last.at.Before(first.at) {
		first, last = last, first
	}
	return last.ran == 0 || last.at.Add(-last.ran).Before(first.at.Add(restartMargin))
}

// hearBar takes another node's word that the request is barred.
func (s *suspect) hearBar(now time.Time, barredFor time.Duration) {
	if barredFor <= 0 || s.isVouched(now) || s.isLifted(now) {
		return
	}
	barredFor = min(barredFor, longestBar)
	s.barred = max(s.barred, barredFor)
	if until := now.Add(barredFor); until.After(s.barredUntil) {
		s.barredUntil = until
	}
}

// points are those of the servers that ended, those of one moment as one.
func (s *suspect) points() int {
	total, ofMoment := 0, 0
	var moment time.Time
	for i, e := range s.ends {
		if i == 0 || e.at.Sub(moment) > sameMoment {
			total, ofMoment = total+ofMoment, 0
			moment = e.at
		}
		if e.isShared {
			ofMoment = max(ofMoment, sharedPoints)
		} else {
			ofMoment = fullPoints
		}
	}
	return total + ofMoment
}

// judge bars a suspect that ended too many servers, the last one heard of at endedAt; for
// those that ran there beside it these count less from then on. A server that ended before
// the last bar was over says nothing of a trial after it.
func (t *Tracker) judge(now, endedAt time.Time, known *suspect) {
	if known.isVouched(now) {
		return
	}
	isAgain := known.barred > 0 && (endedAt.After(known.barredUntil) || known.isTried(endedAt))
	switch {
	case isAgain:
		known.barred = min(max(barTime, 2*known.barred), longestBar)
	case known.barred == 0 && known.points() >= limitPoints:
		known.barred = firstBar
	case known.barred == 0:
		return
	}
	if isAgain || known.barredUntil.IsZero() {
		known.barredUntil = now.Add(known.barred)
		known.trialAt, known.trials = time.Time{}, 0
	}
	for _, other := range t.suspects {
		if other == known || other.barred > 0 {
			continue
		}
		for i := range other.ends {
			other.ends[i].isShared = other.ends[i].isShared || known.has(other.ends[i].serverID)
		}
	}
}

func (s *suspect) has(serverID string) bool {
	return slices.ContainsFunc(s.ends, func(e end) bool { return e.serverID == serverID })
}

// isShared reports whether the server ended under another request that is barred.
func (t *Tracker) isShared(fingerprint Fingerprint, serverID string) bool {
	for other, known := range t.suspects {
		if known.barred > 0 && other != fingerprint && known.has(serverID) {
			return true
		}
	}
	return false
}

// acquit takes it that a request ended well at that time. It returns false where that was
// known, about.
func (t *Tracker) acquit(now, at time.Time, fingerprint Fingerprint) bool {
	if now.Sub(at) >= vouchTime {
		return false
	}
	known := t.entry(now, fingerprint)
	if at.Sub(known.clearedAt) < vouchTime/2 {
		return false
	}
	known.clearedAt = at
	known.ends = slices.DeleteFunc(known.ends, func(e end) bool { return !e.at.After(at) })
	known.endBar()
	return true
}

// SucceededRecently reports whether the request is known to have ended well lately.
func (t *Tracker) SucceededRecently(now time.Time, fingerprint Fingerprint) bool {
	known, ok := t.suspects[fingerprint]
	return ok && known.isVouched(now)
}

// isForgotten reports whether nothing is remembered of the request any more. One that
// was barred is remembered as long again, and suspectTime at least, so that one more
// server bars it anew.
func (s *suspect) isForgotten(now time.Time) bool {
	if s.barred > 0 {
		return now.After(s.barredUntil.Add(max(s.barred, suspectTime)))
	}
	return now.Sub(s.latest()) > suspectTime
}

// latest is when something was last heard of the request.
func (s *suspect) latest() time.Time {
	if len(s.ends) == 0 {
		return s.forgivenAt()
	}
	return s.ends[len(s.ends)-1].at
}

// makeRoom forgets what is over and, where the table is full, who counts least.
func (t *Tracker) makeRoom(now time.Time) {
	if len(t.suspects) < mostSuspects {
		return
	}
	var least Fingerprint
	var weakest *suspect
	for fingerprint, known := range t.suspects {
		if known.isForgotten(now) {
			delete(t.suspects, fingerprint)
			continue
		}
		if weakest == nil || known.weakerThan(weakest) {
			least, weakest = fingerprint, known
		}
	}
	if len(t.suspects) >= mostSuspects {
		delete(t.suspects, least)
	}
}

func (s *suspect) weakerThan(other *suspect) bool {
	return cmp.Or(cmp.Compare(s.barred, other.barred), cmp.Compare(len(s.ends), len(other.ends)), s.latest().Compare(other.latest())) < 0
}

// Sweep forgets what is over.
func (t *Tracker) Sweep(now time.Time) {
	for fingerprint, known := range t.suspects {
		if known.isForgotten(now) {
			delete(t.suspects, fingerprint)
		}
	}
}

// Reports are those of the request, which bring another node to the same standing.
func (t *Tracker) Reports(now time.Time, fingerprint Fingerprint) []Report {
	known, ok := t.suspects[fingerprint]
	if !ok {
		return nil
	}
	var reports []Report
	for _, e := range known.ends {
		reports = append(reports, Report{
			Fingerprint: fingerprint, ServerID: e.serverID, Age: now.Sub(e.at), RanFor: e.ran, BarredFor: t.BarRemaining(now, fingerprint),
		})
	}
	return reports
}

// LastReport is the last of the request's reports, which bars it at a node that hears it
// where it is barred here.
func (t *Tracker) LastReport(now time.Time, fingerprint Fingerprint) Report {
	reports := t.Reports(now, fingerprint)
	if len(reports) == 0 {
		return Report{Fingerprint: fingerprint, BarredFor: t.BarRemaining(now, fingerprint)}
	}
	return reports[len(reports)-1]
}

// CrashCount is the number of servers that ended under a request.
func (t *Tracker) CrashCount(fingerprint Fingerprint) int {
	if known, ok := t.suspects[fingerprint]; ok {
		return len(known.ends)
	}
	return 0
}

// BarRemaining is for how long the request is barred yet.
func (t *Tracker) BarRemaining(now time.Time, fingerprint Fingerprint) time.Duration {
	if known, ok := t.suspects[fingerprint]; ok {
		return max(0, known.barredUntil.Sub(now))
	}
	return 0
}

// Barred are the requests that are barred now, in order.
func (t *Tracker) Barred(now time.Time) []Fingerprint {
	var barred []Fingerprint
	for fingerprint, known := range t.suspects {
		if now.Before(known.barredUntil) {
			barred = append(barred, fingerprint)
		}
	}
	slices.SortFunc(barred, func(a, b Fingerprint) int { return slices.Compare(a[:], b[:]) })
	return barred
}
