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
	// reportsTold is in how many periods a report is told, the first time at once: two
	// datagrams of it may be lost.
	reportsTold = 3
	// reportsPerDatagram bounds the reports of one datagram to about 1,000 bytes.
	reportsPerDatagram = 16
	// mostGreeted bounds the reports for a node that has just started, to about 3 KB.
	mostGreeted = 64
	// mostDue bounds the reports that are still to be told.
	mostDue = 256
	// barsPeriod is the time between two times that a node tells of what is barred: for
	// those that have just started, were frozen or cut off.
	barsPeriod = time.Second
	// widelySuspect is the number of servers that ended under a request from which on, in
	// fleets of more than loadedNodes, all nodes are told of it. With fewer, only the
	// coordinators add up what nodes report.
	widelySuspect = 2
)

// suspects are the requests under which servers ended, as all nodes report them. It is
// safe for concurrent use.
type suspects struct {
	node *Node
	// any is set while something is remembered: without, no request is looked up.
	any atomic.Bool
	// Counters for metrics.
	blamed, barred atomic.Int64

	mu    sync.Mutex
	tally *poison.Tracker
	good  poison.RecentSuccesses
	due   []dueReport
	// barsAt is when what is barred was told last, and nextBar the one to be told next;
	// the node's ticks alone use them.
	barsAt  time.Time
	nextBar int
	// trials are those that this node asked coordinators for.
	trials *questions[bool]
}

// dueReport is a report that is still to be told.
type dueReport struct {
	report poison.Report
	at     time.Time
	told   int
}

func newSuspects(node *Node) *suspects {
	return &suspects{node: node, tally: poison.NewTracker(), trials: newQuestions[bool]()}
}

var _ relay.Suspects = (*suspects)(nil)

// Any implements relay.Suspects.
func (s *suspects) Any() bool { return s.any.Load() }

// Status implements relay.Suspects.
func (s *suspects) Status(fingerprint poison.Fingerprint) poison.Status {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.tally.Status(clock.Now(), fingerprint)
}

// ReportCrash implements relay.Suspects: it takes that a server ended under the request.
func (s *suspects) ReportCrash(fingerprint poison.Fingerprint, serverID string, ran time.Duration) {
	s.blamed.Add(1)
	now := clock.Now()
	reports := []poison.Report{{Fingerprint: fingerprint, ServerID: serverID, RanFor: ran}}
	if vouched := s.vouch(now, reports); len(vouched) > 0 {
		reports = vouched
	}
	s.tell(now, s.takeAll(now, "", reports))
}

// ReportSuccess implements relay.Suspects: it acquits a suspect, and remembers that such a
// request ended well.
func (s *suspects) ReportSuccess(fingerprint poison.Fingerprint) {
	now := clock.Now()
	s.mu.Lock()
	s.good.Add(now, fingerprint)
	isSuspect := s.tally.Status(now, fingerprint) != poison.StatusClear
	s.mu.Unlock()
	if isSuspect {
		s.tell(now, s.takeAll(now, "", []poison.Report{{Fingerprint: fingerprint, Acquitted: true}}))
	}
}

// ReportRefusal implements relay.Suspects.
func (s *suspects) ReportRefusal(fingerprint poison.Fingerprint) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.tally.RecordRefusal(fingerprint)
}

// vouch returns a word for each of the requests that others report and that ended well here
// lately, where nobody has said so.
func (s *suspects) vouch(now time.Time, reports []poison.Report) []poison.Report {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.good.Acquittals(now, s.tally, reports)
}

// hear takes what another node reports.
func (s *suspects) hear(from string, reports []*peerpb.CrashReport) {
	if len(reports) == 0 {
		return
	}
	now := clock.Now()
	heard := peer.CrashReportsOf(reports)
	s.tell(now, s.takeAll(now, from, heard))
	s.tell(now, s.takeAll(now, "", s.vouch(now, heard)))
}

// takeAll takes reports, and returns those that this node is to tell at once.
func (s *suspects) takeAll(now time.Time, from string, reports []poison.Report) []poison.Report {
	isOwn := from == ""
	tellsAll := !isOwn && s.isCoordinator(now)
	s.mu.Lock()
	defer s.mu.Unlock()
	var tell []poison.Report
	for _, report := range reports {
		before := s.tally.Status(now, report.Fingerprint)
		if !s.tally.Record(now, report) {
			continue
		}
		after := s.tally.Status(now, report.Fingerprint)
		s.log(report, from, after)
		if after == poison.StatusBarred && before != after {
			s.barred.Add(1)
		}
		switch {
		case isOwn:
			// Who did not grant the trial that ended the server goes by the bar.
			report.BarredFor = s.tally.BarRemaining(now, report.Fingerprint)
			tell = append(tell, report)
		case tellsAll && report.Acquitted:
			tell = append(tell, report)
		case tellsAll && s.tally.CrashCount(report.Fingerprint) >= widelySuspect:
			tell = append(tell, s.tally.Reports(now, report.Fingerprint)...)
		}
	}
	s.any.Store(s.tally.Size() > 0)
	for _, report := range tell {
		s.tellAgain(now, report)
	}
	return tell
}

// tellAgain keeps a report that was told for the next periods. The lock is held.
func (s *suspects) tellAgain(now time.Time, report poison.Report) {
	if len(s.due) < mostDue {
		s.due = append(s.due, dueReport{report: report, at: now.Add(-report.Age), told: 1})
	}
}

// isCoordinator reports whether this node adds up for the others what they report: in a
// fleet where not all tell all.
func (s *suspects) isCoordinator(now time.Time) bool {
	if !s.isLarge(now) {
		return false
	}
	return slices.ContainsFunc(s.node.peers.coordinators(now), func(c gossip.Coordinator) bool { return c.Address == s.node.peers.address })
}

// isLarge reports whether nodes report to coordinators only.
func (s *suspects) isLarge(now time.Time) bool {
	_, nodes := s.node.peers.rank(now)
	return nodes > loadedNodes
}

// targets are the nodes that this one reports to.
func (s *suspects) targets(now time.Time) []string {
	if s.isLarge(now) && !s.isCoordinator(now) {
		return union(nil, s.node.peers.coordinators(now))
	}
	return s.node.peers.all(now)
}

func (s *suspects) log(report poison.Report, from string, standing poison.Status) {
	name := "request_suspected"
	switch {
	case report.Acquitted:
		name = "request_acquitted"
	case report.Lifted:
		name = "bar_lifted"
	case standing == poison.StatusBarred:
		name = "request_barred"
	}
	s.node.options.Logger.Info().Str("fingerprint", report.Fingerprint.String()).Str("server", report.ServerID).
		Str("from", from).Int64("age_ms", report.Age.Milliseconds()).Int("servers_ended", s.tally.CrashCount(report.Fingerprint)).Msg(name)
}

// tell sends reports to those who are to know them.
func (s *suspects) tell(now time.Time, reports []poison.Report) {
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
	var again []poison.Report
	kept := s.due[:0]
	for _, due := range s.due {
		due.told++
		due.report.Age = now.Sub(due.at)
		again = append(again, due.report)
		if due.told < reportsTold {
			kept = append(kept, due)
		}
	}
	s.due = kept
	s.mu.Unlock()
	s.tell(now, again)
}

// bars are one report of each request that is barred, which is enough to bar it, as many
// as go into a datagram; none where they were told lately.
func (s *suspects) bars(now time.Time) []*peerpb.CrashReport {
	if !s.any.Load() || now.Sub(s.barsAt) < barsPeriod {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.barsAt = now
	barred := s.tally.Barred(now)
	count := min(len(barred), reportsPerDatagram)
	reports := make([]poison.Report, 0, count)
	for i := range count {
		reports = append(reports, s.tally.LastReport(now, barred[(s.nextBar+i)%len(barred)]))
	}
	s.nextBar += count
	return peer.EncodeCrashReports(reports)
}

// greeting are the reports of what is barred for a node that has just started.
func (s *suspects) greeting(now time.Time) []*peerpb.CrashReport {
	if !s.any.Load() {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var reports []poison.Report
	for _, fingerprint := range s.tally.Barred(now) {
		if len(reports) < mostGreeted {
			reports = append(reports, s.tally.LastReport(now, fingerprint))
		}
	}
	return peer.EncodeCrashReports(reports)
}

// mostStored bounds what of the barred requests lies in the lease, to about 2 KB.
const mostStored = 32

// fromStore is who reports what lies in the lease.
const fromStore = "lease"

// stored are the barred requests and for how long they are barred yet, for the lease:
// where all nodes lose their power together nobody else knows of them.
func (s *suspects) stored(now time.Time) map[string]time.Duration {
	if !s.any.Load() {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	stored := make(map[string]time.Duration)
	for _, fingerprint := range s.tally.Barred(now) {
		if len(stored) < mostStored {
			stored[fingerprint.String()] = s.tally.BarRemaining(now, fingerprint)
		}
	}
	return stored
}

// hearStored takes the barred requests of the lease, and tells the others of those that
// this node did not know.
func (s *suspects) hearStored(now time.Time, stored map[string]time.Duration) {
	var reports []poison.Report
	for name, left := range stored {
		if fingerprint, ok := poison.ParseFingerprint(name); ok && s.Status(fingerprint) != poison.StatusBarred {
			reports = append(reports, poison.Report{Fingerprint: fingerprint, BarredFor: left})
		}
	}
	if len(reports) > 0 {
		s.takeAll(now, fromStore, reports)
		s.tell(now, reports)
	}
}

// sweep forgets what is over.
func (s *suspects) sweep(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.tally.Sweep(now)
	s.any.Store(s.tally.Size() > 0)
}

// count is the number of requests that are barred now.
func (s *suspects) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.tally.Barred(clock.Now()))
}
