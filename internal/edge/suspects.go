package edge

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/spanlanding/spanlanding/internal/clock"
	"github.com/spanlanding/spanlanding/internal/gossip"
	"github.com/spanlanding/spanlanding/internal/peer"
	"github.com/spanlanding/spanlanding/internal/peer/peerpb"
	"github.com/spanlanding/spanlanding/internal/poison"
	"github.com/spanlanding/spanlanding/internal/relay"
)

const (
	// reportTransmissions is the number of periods in which a report is sent, the first time
	// immediately. Two datagrams of it may be lost.
	reportTransmissions = 3
	// reportsPerDatagram bounds the reports of one datagram to about 1,000 bytes.
	reportsPerDatagram = 16
	// maxGreetingReports bounds the reports sent to a node that has just started, to about 3 KB.
	maxGreetingReports = 64
	// maxPendingRepeats bounds the reports that wait to be repeated.
	maxPendingRepeats = 256
	// barsBroadcastPeriod is the interval at which a node sends the barred requests, for nodes
	// that have just started, were suspended or were partitioned.
	barsBroadcastPeriod = time.Second
	// broadcastCrashCount is the number of servers that must have crashed under a request before
	// all nodes are notified of it, in fleets of more than maxLoadSharingNodes. Below it, only
	// the coordinators aggregate the nodes' reports.
	broadcastCrashCount = 2
)

// suspects tracks the requests under which servers crashed, as reported by all nodes. It is safe
// for concurrent use.
type suspects struct {
	node *Node
	// nonEmpty is true while any request is tracked; otherwise lookups are skipped.
	nonEmpty atomic.Bool
	// Counters for metrics.
	reportedCrashes, barred atomic.Int64

	mu        sync.Mutex
	tally     *poison.Tracker
	successes poison.RecentSuccesses
	// partSuccesses are those of parts of prompts.
	partSuccesses poison.RecentSuccesses
	repeats       []repeatedReport
	// barsSentAt is when the barred requests were last sent, and nextBar is the next one to
	// send. Only the node's ticks use them.
	barsSentAt time.Time
	nextBar    int
	// pendingTrials holds this node's trial requests to coordinators.
	pendingTrials *pendingCalls[bool]
}

// repeatedReport is a report that is to be sent again, as of the time when it was first sent.
type repeatedReport struct {
	report poison.Report
	at     time.Time
	sends  int
}

func newSuspects(node *Node) *suspects {
	return &suspects{node: node, tally: poison.NewTracker(), pendingTrials: newPendingCalls[bool]()}
}

var _ relay.Suspects = (*suspects)(nil)

// Any implements relay.Suspects.
func (s *suspects) Any() bool { return s.nonEmpty.Load() }

// Status implements relay.Suspects.
func (s *suspects) Status(fingerprint poison.Fingerprint) poison.Status {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.tally.Status(clock.Now(), fingerprint)
}

// ReportCrash implements relay.Suspects. It records that a server crashed while running a request with
// the parts, except for those that ran well lately.
func (s *suspects) ReportCrash(crash relay.Crash) {
	s.reportedCrashes.Add(1)
	now := clock.Now()
	reports := []poison.Report{{Fingerprint: crash.Request, ServerID: crash.ServerID, RanFor: crash.RanFor}}
	for _, part := range crash.Parts {
		reports = append(reports, poison.Report{Fingerprint: part, Request: crash.Request.Key(), ServerID: crash.ServerID, RanFor: crash.RanFor})
	}
	acquittals := s.acquit(now, reports)
	s.mu.Lock()
	reports = slices.DeleteFunc(reports, func(report poison.Report) bool {
		isAcquitted := slices.ContainsFunc(acquittals, func(a poison.Report) bool { return a.Fingerprint == report.Fingerprint })
		return isAcquitted || report.Request != 0 && s.tally.SucceededRecently(now, report.Fingerprint)
	})
	s.mu.Unlock()
	s.send(now, s.recordReports(now, "", append(acquittals, reports...)))
}

// crashedRecently returns the servers that crashed under some request a short time ago.
func (s *suspects) crashedRecently() []string {
	if !s.Any() {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.tally.CrashedRecently(clock.Now())
}

// ReportSuccess implements relay.Suspects. It clears what is suspect, and remembers that it ran well.
func (s *suspects) ReportSuccess(request *poison.Fingerprint, parts []poison.Fingerprint) {
	now := clock.Now()
	var acquittals []poison.Report
	clear := func(fingerprint poison.Fingerprint) {
		if s.tally.Status(now, fingerprint) != poison.StatusClear {
			acquittals = append(acquittals, poison.Report{Fingerprint: fingerprint, Acquitted: true})
		}
	}
	s.mu.Lock()
	if request != nil {
		s.successes.Add(now, *request)
		clear(*request)
	}
	for _, part := range parts {
		s.partSuccesses.Add(now, part)
		clear(part)
	}
	s.mu.Unlock()
	if len(acquittals) > 0 {
		s.send(now, s.recordReports(now, "", acquittals))
	}
}

// ReportRefusal implements relay.Suspects.
func (s *suspects) ReportRefusal(fingerprint poison.Fingerprint) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.tally.RecordRefusal(fingerprint)
}

// acquit returns an acquittal for each reported request or part that recently succeeded here and
// that nobody has acquitted yet.
func (s *suspects) acquit(now time.Time, reports []poison.Report) []poison.Report {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append(s.successes.Acquittals(now, s.tally, reports), s.partSuccesses.Acquittals(now, s.tally, reports)...)
}

// receive applies the reports of another node.
func (s *suspects) receive(from string, reports []*peerpb.CrashReport) {
	if len(reports) == 0 {
		return
	}
	now := clock.Now()
	decoded := peer.CrashReportsOf(reports)
	s.send(now, s.recordReports(now, from, decoded))
	s.send(now, s.recordReports(now, "", s.acquit(now, decoded)))
}

// recordReports records reports, and returns those that this node must send immediately.
func (s *suspects) recordReports(now time.Time, from string, reports []poison.Report) []poison.Report {
	isOwn := from == ""
	broadcasts := !isOwn && s.isCoordinator(now)
	s.mu.Lock()
	defer s.mu.Unlock()
	var toSend []poison.Report
	for _, report := range reports {
		before := s.tally.Status(now, report.Fingerprint)
		if !s.tally.Record(now, report) {
			continue
		}
		after := s.tally.Status(now, report.Fingerprint)
		s.logReport(report, from, after)
		if after == poison.StatusBarred && before != after {
			s.barred.Add(1)
		}
		switch {
		case isOwn:
			// Nodes that did not grant the trial during which the server crashed rely on this
			// bar.
			report.BarredFor, report.Bar = s.tally.BarRemaining(now, report.Fingerprint), s.tally.Bar(now, report.Fingerprint)
			toSend = append(toSend, report)
		case broadcasts && report.Acquitted:
			toSend = append(toSend, report)
		case broadcasts && s.tally.CrashCount(report.Fingerprint) >= broadcastCrashCount:
			toSend = append(toSend, s.tally.Reports(now, report.Fingerprint)...)
		}
	}
	s.nonEmpty.Store(s.tally.Size() > 0)
	for _, report := range toSend {
		s.scheduleRepeat(now, report)
	}
	return toSend
}

// scheduleRepeat schedules a sent report for the next periods. s.mu must be held.
func (s *suspects) scheduleRepeat(now time.Time, report poison.Report) {
	if len(s.repeats) < maxPendingRepeats {
		s.repeats = append(s.repeats, repeatedReport{report: report, at: now, sends: 1})
	}
}

// isCoordinator reports whether this node aggregates reports for the others, which is needed in
// fleets where nodes do not report to all.
func (s *suspects) isCoordinator(now time.Time) bool {
	if !s.isLargeFleet(now) {
		return false
	}
	return slices.ContainsFunc(s.node.peers.coordinators(now), func(c gossip.Coordinator) bool { return c.Address == s.node.peers.address })
}

// isLargeFleet reports whether nodes report only to coordinators.
func (s *suspects) isLargeFleet(now time.Time) bool {
	_, nodes := s.node.peers.rank(now)
	return nodes > maxLoadSharingNodes
}

// targets returns the nodes that this one reports to.
func (s *suspects) targets(now time.Time) []string {
	if s.isLargeFleet(now) && !s.isCoordinator(now) {
		return addCoordinators(nil, s.node.peers.coordinators(now))
	}
	return s.node.peers.aliveAddresses(now)
}

func (s *suspects) logReport(report poison.Report, from string, status poison.Status) {
	name := "request_suspected"
	switch {
	case report.Acquitted:
		name = "request_acquitted"
	case report.Lifted:
		name = "bar_lifted"
	case status == poison.StatusBarred:
		name = "request_barred"
	}
	s.node.options.Logger.Info().Str("fingerprint", report.Fingerprint.String()).Str("server", report.ServerID).
		Str("from", from).Bool("part", report.Request != 0).Int64("age_ms", report.Age.Milliseconds()).Int("servers_ended", s.tally.CrashCount(report.Fingerprint)).Msg(name)
}

// send sends reports to their targets.
func (s *suspects) send(now time.Time, reports []poison.Report) {
	if len(reports) == 0 {
		return
	}
	targets := s.targets(now)
	for batch := range slices.Chunk(reports, reportsPerDatagram) {
		s.node.peers.sendCrashes(targets, peer.EncodeCrashReports(batch))
	}
}

// tick repeats the reports that are due.
func (s *suspects) tick(now time.Time) {
	s.mu.Lock()
	var toSend []poison.Report
	kept := s.repeats[:0]
	for _, repeat := range s.repeats {
		repeat.sends++
		toSend = append(toSend, repeat.report.After(now.Sub(repeat.at)))
		if repeat.sends < reportTransmissions {
			kept = append(kept, repeat)
		}
	}
	s.repeats = kept
	s.mu.Unlock()
	s.send(now, toSend)
}

// encodeDueBars returns one report per barred request, which suffices to bar it, up to the size
// of a datagram; nil if they were sent recently.
func (s *suspects) encodeDueBars(now time.Time) []*peerpb.CrashReport {
	if !s.nonEmpty.Load() || now.Sub(s.barsSentAt) < barsBroadcastPeriod {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.barsSentAt = now
	barred := s.tally.Barred(now)
	count := min(len(barred), reportsPerDatagram)
	reports := make([]poison.Report, 0, count)
	for i := range count {
		reports = append(reports, s.tally.LastReport(now, barred[(s.nextBar+i)%len(barred)]))
	}
	s.nextBar += count
	return peer.EncodeCrashReports(reports)
}

// greetingReports returns the reports on barred requests for a node that has just started.
func (s *suspects) greetingReports(now time.Time) []*peerpb.CrashReport {
	if !s.nonEmpty.Load() {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return peer.EncodeCrashReports(s.tally.ReportsOnBars(now, maxGreetingReports))
}

// maxStoredBars bounds the barred requests kept in the lease, to about 2 KB.
const maxStoredBars = 32

// leaseReporter is the reporter name recorded for bars read from the lease.
const leaseReporter = "lease"

// storedBars returns the barred requests with their remaining times, for the lease. After a
// power failure of all nodes no other copy exists.
func (s *suspects) storedBars(now time.Time) map[string]time.Duration {
	if !s.nonEmpty.Load() {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	bars := make(map[string]time.Duration)
	for _, fingerprint := range s.tally.Barred(now) {
		if len(bars) < maxStoredBars {
			bars[fingerprint.String()] = s.tally.BarRemaining(now, fingerprint)
		}
	}
	return bars
}

// receiveStoredBars applies the barred requests of a lease of the given age, and notifies the others of those
// that were unknown here.
func (s *suspects) receiveStoredBars(now time.Time, bars map[string]time.Duration, age time.Duration) {
	var reports []poison.Report
	for name, stored := range bars {
		remaining := stored - age
		if fingerprint, ok := poison.ParseFingerprint(name); ok && remaining > 0 && s.Status(fingerprint) != poison.StatusBarred {
			reports = append(reports, poison.Report{Fingerprint: fingerprint, BarredFor: remaining})
		}
	}
	if len(reports) > 0 {
		s.recordReports(now, leaseReporter, reports)
		s.send(now, reports)
	}
}

// sweep drops expired records.
func (s *suspects) sweep(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.tally.Sweep(now)
	s.nonEmpty.Store(s.tally.Size() > 0)
}

// count returns the number of currently barred requests.
func (s *suspects) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.tally.Barred(clock.Now()))
}
