package node

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"

	"github.com/spanlanding/spanlanding/internal/fleet"
	"github.com/spanlanding/spanlanding/internal/gateway"
	"github.com/spanlanding/spanlanding/internal/peer"
	"github.com/spanlanding/spanlanding/internal/peer/peerpb"
	"github.com/spanlanding/spanlanding/internal/poison"
	"github.com/spanlanding/spanlanding/internal/views"
)

const (
	// exchangeInterval is the time between two exchanges of reports with a random member. The
	// exchange repairs broadcasts that were lost.
	exchangeInterval = 2 * time.Second
	// startupExchangePeriod is how long after its start a node takes part in exchanges even
	// if it knows of no suspects.
	startupExchangePeriod = 10 * time.Second
	// suspectCallTimeout bounds one call. Claiming a trial takes up to maxCoordinators
	// calls.
	suspectCallTimeout = 300 * time.Millisecond
	// maxExchangedReports bounds the reports in one call, to about 4 KB.
	maxExchangedReports = 64
)

// SuspectsDependencies is what the suspects shell needs.
type SuspectsDependencies struct {
	Self   fleet.Member
	Views  *views.Views
	Peers  *peer.Pool
	Logger *log.Logger
}

// Suspects tracks the requests during which servers crashed, as reported by all nodes. It
// feeds one poison.Tracker from callers' requests and peers' calls. It uses a lock, since a
// lookup takes less time than a trip through an actor's mailbox. It is safe for concurrent
// use.
type Suspects struct {
	dependencies SuspectsDependencies
	lifetime     context.Context
	cancel       context.CancelFunc
	calls        sync.WaitGroup
	// hasReports is set while the tracker holds entries. While it is not set, requests skip
	// the lookup.
	hasReports atomic.Bool

	mutex     sync.Mutex
	tracker   *poison.Tracker
	successes poison.RecentSuccesses
}

var _ gateway.Suspects = (*Suspects)(nil)

// StartSuspects starts the exchange with peers; Stop ends it.
func StartSuspects(dependencies SuspectsDependencies) *Suspects {
	lifetime, cancel := context.WithCancel(context.Background())
	started := &Suspects{dependencies: dependencies, lifetime: lifetime, cancel: cancel, tracker: poison.NewTracker()}
	membersChanged := make(chan struct{}, 1)
	dependencies.Views.Members.Watch(func([]fleet.Member) {
		select {
		case membersChanged <- struct{}{}:
		default:
		}
	})
	started.calls.Go(func() { started.exchangeUntilStopped(membersChanged) })
	return started
}

// Stop ends the exchange and cancels the running calls.
func (s *Suspects) Stop() {
	s.cancel()
	s.calls.Wait()
}

// Standing implements gateway.Suspects.
func (s *Suspects) Standing(fingerprint poison.Fingerprint) poison.Status {
	if !s.hasReports.Load() {
		return poison.StatusClear
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.tracker.Status(time.Now(), fingerprint)
}

// Blame implements gateway.Suspects. If the same request recently succeeded on this node and
// no acquittal is known yet, the acquittal is reported instead of the crash.
func (s *Suspects) Blame(fingerprint poison.Fingerprint, serverID string) {
	reports := []poison.Report{{Fingerprint: fingerprint, ServerID: serverID}}
	if acquittals := s.acquittalsFor(reports); len(acquittals) > 0 {
		reports = acquittals
	}
	s.broadcast(s.recordReports(s.dependencies.Self.Name, reports))
}

// EndedRecently implements gateway.Suspects.
func (s *Suspects) EndedRecently() []string {
	if !s.hasReports.Load() {
		return nil
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.tracker.CrashedRecently(time.Now())
}

// EndedWell implements gateway.Suspects.
func (s *Suspects) EndedWell(fingerprint poison.Fingerprint) {
	now := time.Now()
	s.mutex.Lock()
	s.successes.Add(now, fingerprint)
	isClear := s.tracker.Status(now, fingerprint) == poison.StatusClear
	s.mutex.Unlock()
	if !isClear {
		s.broadcast(s.recordReports(s.dependencies.Self.Name, []poison.Report{{Fingerprint: fingerprint, Acquitted: true}}))
	}
}

// Refused implements gateway.Suspects.
func (s *Suspects) Refused(fingerprint poison.Fingerprint) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.tracker.RecordRefusal(fingerprint)
}

// ClaimTrial implements gateway.Suspects. The first coordinator that answers decides for all
// nodes; if none answers, the request stays barred.
func (s *Suspects) ClaimTrial(ctx context.Context, fingerprint poison.Fingerprint) bool {
	for _, coordinator := range coordinators(s.dependencies.Self, s.dependencies.Views) {
		if coordinator.Name == s.dependencies.Self.Name {
			return s.grantTrial(fingerprint)
		}
		call, cancel := context.WithTimeout(ctx, suspectCallTimeout)
		answer, err := s.dependencies.Peers.To(coordinator.Addresses.Peer).Suspects.Try(call, &peerpb.SuspectTrial{
			From: string(s.dependencies.Self.Name), Fingerprint: fingerprint[:],
		})
		cancel()
		if err != nil {
			continue
		}
		if answer.GetGranted() {
			// Record the trial in the local tracker, which sees its outcome.
			s.claimLocalTrial(fingerprint)
		}
		return answer.GetGranted()
	}
	return false
}

// grantTrial decides on one trial as the coordinator. If it grants the trial, it tells all
// nodes that other copies of the request stay barred.
func (s *Suspects) grantTrial(fingerprint poison.Fingerprint) bool {
	granted, report := s.claimLocalTrial(fingerprint)
	s.dependencies.Logger.Info().Str("fingerprint", fingerprint.String()).Bool("granted", granted).
		Dur("barred", report.BarredFor).Msg("request_trial_asked")
	if granted && report.BarredFor > 0 {
		s.broadcast([]poison.Report{report})
	}
	return granted
}

// claimLocalTrial claims a trial from the local tracker and returns a report of the bar that
// holds meanwhile.
func (s *Suspects) claimLocalTrial(fingerprint poison.Fingerprint) (granted bool, report poison.Report) {
	now := time.Now()
	s.mutex.Lock()
	defer s.mutex.Unlock()
	granted = s.tracker.ClaimTrial(now, fingerprint)
	s.hasReports.Store(s.tracker.Size() > 0)
	return granted, s.tracker.BarReport(now, fingerprint)
}

// acquittalsFor returns an acquittal for each reported request that recently succeeded on
// this node and has not been acquitted yet.
func (s *Suspects) acquittalsFor(reports []poison.Report) []poison.Report {
	now := time.Now()
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.successes.Acquittals(now, s.tracker, reports)
}

// recordReports records reports and returns those that were new.
func (s *Suspects) recordReports(from fleet.NodeName, reports []poison.Report) []poison.Report {
	now := time.Now()
	s.mutex.Lock()
	defer s.mutex.Unlock()
	var newReports []poison.Report
	for _, report := range reports {
		if !s.tracker.Record(now, report) {
			continue
		}
		report.BarredFor, report.Bar = s.tracker.BarRemaining(now, report.Fingerprint), s.tracker.Bar(now, report.Fingerprint)
		newReports = append(newReports, report)
		s.logReport(report, from, s.tracker.Status(now, report.Fingerprint), s.tracker.CrashCount(report.Fingerprint))
	}
	s.hasReports.Store(s.tracker.Size() > 0)
	return newReports
}

func (s *Suspects) logReport(report poison.Report, from fleet.NodeName, status poison.Status, crashCount int) {
	entry := s.dependencies.Logger.Info().Str("fingerprint", report.Fingerprint.String()).Str("server", report.ServerID).
		Str("from", string(from)).Int("servers_ended", crashCount)
	switch {
	case report.Acquitted:
		entry.Msg("request_acquitted")
	case status == poison.StatusBarred:
		entry.Dur("barred", report.BarredFor).Msg("request_barred")
	default:
		entry.Msg("request_suspected")
	}
}

// Barred returns the number of requests that are barred now.
func (s *Suspects) Barred() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return len(s.tracker.Barred(time.Now()))
}

// exchangedReports returns reports from which another node bars what is barred here, followed by those of
// requests that are not barred: no node may know enough of their crashes. It returns at most
// maxExchangedReports; of the latter a random part.
func (s *Suspects) exchangedReports() []poison.Report {
	if !s.hasReports.Load() {
		return nil
	}
	now := time.Now()
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.tracker.Sweep(now)
	s.hasReports.Store(s.tracker.Size() > 0)
	var reports []poison.Report
	for _, fingerprint := range s.tracker.Barred(now) {
		reports = append(reports, s.tracker.LastReport(now, fingerprint))
	}
	unbarred := s.tracker.Unbarred(now)
	rand.Shuffle(len(unbarred), func(i, j int) { unbarred[i], unbarred[j] = unbarred[j], unbarred[i] })
	for _, fingerprint := range unbarred {
		reports = append(reports, s.tracker.Reports(now, fingerprint)...)
	}
	return reports[:min(maxExchangedReports, len(reports))]
}

// peers returns the usable members that this node knows.
func (s *Suspects) peers() []fleet.Member {
	return usablePeers(s.dependencies.Self, s.dependencies.Views)
}

// broadcast sends reports to all peers. The exchange repairs reports that are lost.
func (s *Suspects) broadcast(reports []poison.Report) {
	s.send(s.peers(), reports, false)
}

func (s *Suspects) send(to []fleet.Member, reports []poison.Report, forwarded bool) {
	if len(reports) == 0 || s.lifetime.Err() != nil {
		return
	}
	for _, member := range to {
		s.calls.Go(func() { s.sendTo(member, reports, forwarded) })
	}
}

// sendTo sends reports to one peer and records the reports in its answer.
func (s *Suspects) sendTo(member fleet.Member, reports []poison.Report, forwarded bool) {
	ctx, cancel := context.WithTimeout(s.lifetime, suspectCallTimeout)
	defer cancel()
	answer, err := s.dependencies.Peers.To(member.Addresses.Peer).Suspects.Tell(ctx, &peerpb.SuspectReports{
		From: string(s.dependencies.Self.Name), Zone: string(s.dependencies.Self.Zone),
		PassedOn: forwarded, Reports: peer.EncodeCrashReports(reports),
	})
	if err == nil {
		s.recordReports(member.Name, peer.CrashReportsOf(answer.GetReports()))
	}
}

func (s *Suspects) exchangeUntilStopped(membersChanged <-chan struct{}) {
	started := time.Now()
	ticker := time.NewTicker(exchangeInterval)
	defer ticker.Stop()
	awaitingFirstPeer := true
	for {
		select {
		case <-s.lifetime.Done():
			return
		case <-membersChanged:
			// After its start a node exchanges with the first peer at once.
			if !awaitingFirstPeer || len(s.peers()) == 0 {
				continue
			}
			awaitingFirstPeer = false
		case <-ticker.C:
		}
		if peers := s.peers(); len(peers) > 0 && (s.hasReports.Load() || time.Since(started) < startupExchangePeriod) {
			s.sendTo(peers[rand.IntN(len(peers))], s.exchangedReports(), true)
		}
	}
}
