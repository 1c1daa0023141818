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
	// reportTransmissions is in how many periods a report is told, the first time at once: two
	// datagrams of it may be lost.
	reportTransmissions = 3
	// reportsPerDatagram bounds the reports of one datagram to about 1,000 bytes.
	reportsPerDatagram = 16
	// maxGreetingReports bounds the reports for a node that has just started, to about 3 KB.
	maxGreetingReports = 64
	// maxPendingRepeats bounds the reports that are still to be told.
	maxPendingRepeats = 256
	// barsBroadcastPeriod is the time between two times that a node tells of what is barred: for
	// those that have just started, were frozen or cut off.
	barsBroadcastPeriod = time.Second
	// broadcastCrashCount is the number of servers that ended under a request from which on, in
	// fleets of more than loadedNodes, all nodes are told of it. With fewer, only the
	// coordinators add up what nodes report.
	broadcastCrashCount = 2
)

// suspects are the requests under which servers ended, as all nodes report them. It is
// safe for concurrent use.
type suspects struct {
	node *Node
	// nonEmpty is set while something is remembered: without, no request is looked up.
	nonEmpty atomic.Bool
	// Counters for metrics.
	reportedCrashes, barred atomic.Int64

	mu        sync.Mutex
	tally     *poison.Tracker
	successes poison.RecentSuccesses
	repeats   []repeatedReport
	// barsSentAt is when what is barred was told last, and nextBar the one to be told next;
	// the node's ticks alone use them.
	barsSentAt time.Time
	nextBar    int
	// pendingTrials are those that this node asked coordinators for.
	pendingTrials *pendingCalls[bool]
}

// repeatedReport is a report that is still to be told.
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

// ReportCrash implements relay.Suspects: it takes that a server ended under the request.
func (s *suspects) ReportCrash(fingerprint poison.Fingerprint, serverID string, ran time.Duration) {
	s.reportedCrashes.Add(1)
	now := clock.Now()
	reports := []poison.Report{{Fingerprint: fingerprint, ServerID: serverID, RanFor: ran}}
	if acquittals := s.acquit(now, reports); len(acquittals) > 0 {
		reports = acquittals
	}
	s.send(now, s.recordReports(now, "", reports))
}

// ReportSuccess implements relay.Suspects: it acquits a suspect, and remembers that such a
// request ended well.
func (s *suspects) ReportSuccess(fingerprint poison.Fingerprint) {
	now := clock.Now()
	s.mu.Lock()
	s.successes.Add(now, fingerprint)
	isSuspect := s.tally.Status(now, fingerprint) != poison.StatusClear
	s.mu.Unlock()
	if isSuspect {
		s.send(now, s.recordReports(now, "", []poison.Report{{Fingerprint: fingerprint, Acquitted: true}}))
	}
}

// ReportRefusal implements relay.Suspects.
func (s *suspects) ReportRefusal(fingerprint poison.Fingerprint) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.tally.RecordRefusal(fingerprint)
}

// acquit returns a word for each of the requests that others report and that ended well here
// lately, where nobody has said so.
func (s *suspects) acquit(now time.Time, reports []poison.Report) []poison.Report {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.successes.Acquittals(now, s.tally, reports)
}

// receive takes what another node reports.
func (s *suspects) receive(from string, reports []*peerpb.CrashReport) {
	if len(reports) == 0 {
		return
	}
	now := clock.Now()
	decoded := peer.CrashReportsOf(reports)
	s.send(now, s.recordReports(now, from, decoded))
	s.send(now, s.recordReports(now, "", s.acquit(now, decoded)))
}

// recordReports takes reports, and returns those that this node is to tell at once.
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
			// Who did not grant the trial that ended the server goes by the bar.
			report.BarredFor = s.tally.BarRemaining(now, report.Fingerprint)
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

// scheduleRepeat keeps a report that was told for the next periods. The lock is held.
func (s *suspects) scheduleRepeat(now time.Time, report poison.Report) {
	if len(s.repeats) < maxPendingRepeats {
		s.repeats = append(s.repeats, repeatedReport{report: report, at: now.Add(-report.Age), sends: 1})
	}
}

// isCoordinator reports whether this node adds up for the others what they report: in a
// fleet where not all tell all.
func (s *suspects) isCoordinator(now time.Time) bool {
	if !s.isLargeFleet(now) {
		return false
	}
	return slices.ContainsFunc(s.node.peers.coordinators(now), func(c gossip.Coordinator) bool { return c.Address == s.node.peers.address })
}

// isLargeFleet reports whether nodes report to coordinators only.
func (s *suspects) isLargeFleet(now time.Time) bool {
	_, nodes := s.node.peers.rank(now)
	return nodes > maxLoadSharingNodes
}

// targets are the nodes that this one reports to.
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
		Str("from", from).Int64("age_ms", report.Age.Milliseconds()).Int("servers_ended", s.tally.CrashCount(report.Fingerprint)).Msg(name)
}

// send sends reports to those who are to know them.
func (s *suspects) send(now time.Time, reports []poison.Report) {
	if len(reports) == 0 {
		return
	}
	targets := s.targets(now)
	for batch := range slices.Chunk(reports, reportsPerDatagram) {
		s.node.peers.sendCrashes(targets, peer.EncodeCrashReports(batch))
	}
}

// tick tells again what is due.
func (s *suspects) tick(now time.Time) {
	s.mu.Lock()
	var toSend []poison.Report
	kept := s.repeats[:0]
	for _, repeat := range s.repeats {
		repeat.sends++
		repeat.report.Age = now.Sub(repeat.at)
		toSend = append(toSend, repeat.report)
		if repeat.sends < reportTransmissions {
			kept = append(kept, repeat)
		}
	}
	s.repeats = kept
	s.mu.Unlock()
	s.send(now, toSend)
}

// encodeDueBars are one report of each request that is barred, which is enough to bar it, as many
// as go into a datagram; none where they were told lately.
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

// greetingReports are the reports of what is barred for a node that has just started.
func (s *suspects) greetingReports(now time.Time) []*peerpb.CrashReport {
	if !s.nonEmpty.Load() {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var reports []poison.Report
	for _, fingerprint := range s.tally.Barred(now) {
		if len(reports) < maxGreetingReports {
			reports = append(reports, s.tally.LastReport(now, fingerprint))
		}
	}
	return peer.EncodeCrashReports(reports)
}

// maxStoredBars bounds what of the barred requests lies in the lease, to about 2 KB.
const maxStoredBars = 32

// leaseReporter is who reports what lies in the lease.
const leaseReporter = "lease"

// storedBars are the barred requests and for how long they are barred yet, for the lease:
// where all nodes lose their power together nobody else knows of them.
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

// receiveStoredBars takes the barred requests of the lease, and tells the others of those that
// this node did not know.
func (s *suspects) receiveStoredBars(now time.Time, bars map[string]time.Duration) {
	var reports []poison.Report
	for name, remaining := range bars {
		if fingerprint, ok := poison.ParseFingerprint(name); ok && s.Status(fingerprint) != poison.StatusBarred {
			reports = append(reports, poison.Report{Fingerprint: fingerprint, BarredFor: remaining})
		}
	}
	if len(reports) > 0 {
		s.recordReports(now, leaseReporter, reports)
		s.send(now, reports)
	}
}

// sweep forgets what is over.
func (s *suspects) sweep(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.tally.Sweep(now)
	s.nonEmpty.Store(s.tally.Size() > 0)
}

// count is the number of requests that are barred now.
func (s *suspects) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.tally.Barred(clock.Now()))
}
