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
	// exchangeInterval is the time between two exchanges of what is barred with a
	// member drawn at random, for what a call that was lost had told.
	exchangeInterval = 2 * time.Second
	// startExchanges is for how long a node that has started asks although it knows
	// of nothing that is barred.
	startExchanges = 10 * time.Second
	// suspectCallTimeout bounds a call; a trial waits for up to mostJudges of them.
	suspectCallTimeout = 300 * time.Millisecond
	// mostExchanged bounds the reports of one call, to about 4 KB.
	mostExchanged = 64
)

// SuspectsDependencies are what the shell of suspects works with.
type SuspectsDependencies struct {
	Self   fleet.Member
	Views  *views.Views
	Peers  *peer.Pool
	Logger *log.Logger
}

// Suspects are the requests under which servers ended, as all nodes report them. It
// feeds one poison.Tally from callers' requests and peers' calls, under a lock: a look
// at it takes less time than a mailbox would. It is safe for concurrent use.
type Suspects struct {
	dependencies SuspectsDependencies
	lifetime     context.Context
	end          context.CancelFunc
	calls        sync.WaitGroup
	// any is set while something is remembered: without, no request is looked up.
	any atomic.Bool

	mutex sync.Mutex
	tally *poison.Tracker
	good  poison.RecentSuccesses
}

var _ gateway.Suspects = (*Suspects)(nil)

// StartSuspects starts the exchange with peers; Stop ends it.
func StartSuspects(dependencies SuspectsDependencies) *Suspects {
	lifetime, end := context.WithCancel(context.Background())
	started := &Suspects{dependencies: dependencies, lifetime: lifetime, end: end, tally: poison.NewTracker()}
	met := make(chan struct{}, 1)
	dependencies.Views.Members.Watch(func([]fleet.Member) {
		select {
		case met <- struct{}{}:
		default:
		}
	})
	started.calls.Go(func() { started.exchangeUntilStopped(met) })
	return started
}

// Stop ends the exchange and the calls under way.
func (s *Suspects) Stop() {
	s.end()
	s.calls.Wait()
}

// Standing implements gateway.Suspects.
func (s *Suspects) Standing(fingerprint poison.Fingerprint) poison.Status {
	if !s.any.Load() {
		return poison.StatusClear
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.tally.Status(time.Now(), fingerprint)
}

// Blame implements gateway.Suspects. Where such a request ended well here lately, that
// is told in place of the server's end.
func (s *Suspects) Blame(fingerprint poison.Fingerprint, serverID string) {
	reports := []poison.Report{{Fingerprint: fingerprint, ServerID: serverID}}
	if vouched := s.vouch(reports); len(vouched) > 0 {
		reports = vouched
	}
	s.tell(s.take(s.dependencies.Self.Name, reports))
}

// EndedWell implements gateway.Suspects.
func (s *Suspects) EndedWell(fingerprint poison.Fingerprint) {
	now := time.Now()
	s.mutex.Lock()
	s.good.Add(now, fingerprint)
	isSound := s.tally.Status(now, fingerprint) == poison.StatusClear
	s.mutex.Unlock()
	if !isSound {
		s.tell(s.take(s.dependencies.Self.Name, []poison.Report{{Fingerprint: fingerprint, Acquitted: true}}))
	}
}

// Refused implements gateway.Suspects.
func (s *Suspects) Refused(fingerprint poison.Fingerprint) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.tally.RecordRefusal(fingerprint)
}

// ClaimTrial implements gateway.Suspects: the first of the judges that answers decides
// for all nodes. Where none does the request stays barred.
func (s *Suspects) ClaimTrial(ctx context.Context, fingerprint poison.Fingerprint) bool {
	for _, judge := range judges(s.dependencies.Self, s.dependencies.Views) {
		if judge.Name == s.dependencies.Self.Name {
			return s.grantTrial(fingerprint)
		}
		call, cancel := context.WithTimeout(ctx, suspectCallTimeout)
		answer, err := s.dependencies.Peers.To(judge.Addresses.Peer).Suspects.Try(call, &peerpb.SuspectTrial{
			From: string(s.dependencies.Self.Name), Fingerprint: fingerprint[:],
		})
		cancel()
		if err != nil {
			continue
		}
		if answer.GetGranted() {
			// What becomes of the trial is judged here, too.
			s.claimHere(fingerprint)
		}
		return answer.GetGranted()
	}
	return false
}

// grantTrial grants one trial and tells all nodes that the request is barred beside it.
func (s *Suspects) grantTrial(fingerprint poison.Fingerprint) bool {
	granted, left := s.claimHere(fingerprint)
	s.dependencies.Logger.Info().Str("fingerprint", fingerprint.String()).Bool("granted", granted).
		Dur("barred", left).Msg("request_trial_asked")
	if granted && left > 0 {
		s.tell([]poison.Report{{Fingerprint: fingerprint, BarredFor: left}})
	}
	return granted
}

func (s *Suspects) claimHere(fingerprint poison.Fingerprint) (granted bool, left time.Duration) {
	now := time.Now()
	s.mutex.Lock()
	defer s.mutex.Unlock()
	granted = s.tally.ClaimTrial(now, fingerprint)
	s.any.Store(s.tally.Size() > 0)
	return granted, s.tally.BarRemaining(now, fingerprint)
}

// vouch returns a word for each of the requests that are reported and that ended well
// here lately, where nobody has said so.
func (s *Suspects) vouch(reports []poison.Report) []poison.Report {
	now := time.Now()
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.good.Acquittals(now, s.tally, reports)
}

// take takes reports and returns those that were news.
func (s *Suspects) take(from fleet.NodeName, reports []poison.Report) []poison.Report {
	now := time.Now()
	s.mutex.Lock()
	defer s.mutex.Unlock()
	var news []poison.Report
	for _, report := range reports {
		if !s.tally.Record(now, report) {
			continue
		}
		report.BarredFor = max(report.BarredFor, s.tally.BarRemaining(now, report.Fingerprint))
		news = append(news, report)
		s.log(report, from, s.tally.Status(now, report.Fingerprint), s.tally.CrashCount(report.Fingerprint))
	}
	s.any.Store(s.tally.Size() > 0)
	return news
}

func (s *Suspects) log(report poison.Report, from fleet.NodeName, standing poison.Status, ended int) {
	entry := s.dependencies.Logger.Info().Str("fingerprint", report.Fingerprint.String()).Str("server", report.ServerID).
		Str("from", string(from)).Int("servers_ended", ended)
	switch {
	case report.Acquitted:
		entry.Msg("request_acquitted")
	case standing == poison.StatusBarred:
		entry.Dur("barred", report.BarredFor).Msg("request_barred")
	default:
		entry.Msg("request_suspected")
	}
}

// Barred is the number of requests that are barred now.
func (s *Suspects) Barred() int {
	return len(s.barred())
}

// barred are reports that bar at another node what is barred here.
func (s *Suspects) barred() []poison.Report {
	if !s.any.Load() {
		return nil
	}
	now := time.Now()
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.tally.Sweep(now)
	s.any.Store(s.tally.Size() > 0)
	var reports []poison.Report
	for _, fingerprint := range s.tally.Barred(now) {
		reports = append(reports, s.tally.LastReport(now, fingerprint))
	}
	return reports
}

// peers are the usable members that this node knows.
func (s *Suspects) peers() []fleet.Member {
	return usablePeers(s.dependencies.Self, s.dependencies.Views)
}

// tell hands reports to all peers. What gets lost matters where the request is barred,
// and is then repaired by the exchange.
func (s *Suspects) tell(reports []poison.Report) {
	s.send(s.peers(), reports, false)
}

func (s *Suspects) send(to []fleet.Member, reports []poison.Report, passedOn bool) {
	if len(reports) == 0 || s.lifetime.Err() != nil {
		return
	}
	for _, member := range to {
		s.calls.Go(func() { s.sendTo(member, reports, passedOn) })
	}
}

// sendTo tells one peer and takes what it answers.
func (s *Suspects) sendTo(member fleet.Member, reports []poison.Report, passedOn bool) {
	ctx, cancel := context.WithTimeout(s.lifetime, suspectCallTimeout)
	defer cancel()
	answer, err := s.dependencies.Peers.To(member.Addresses.Peer).Suspects.Tell(ctx, &peerpb.SuspectReports{
		From: string(s.dependencies.Self.Name), Zone: string(s.dependencies.Self.Zone),
		PassedOn: passedOn, Reports: peer.EncodeCrashReports(reports),
	})
	if err == nil {
		s.take(member.Name, peer.CrashReportsOf(answer.GetReports()))
	}
}

func (s *Suspects) exchangeUntilStopped(met <-chan struct{}) {
	started := time.Now()
	ticker := time.NewTicker(exchangeInterval)
	defer ticker.Stop()
	alone := true
	for {
		select {
		case <-s.lifetime.Done():
			return
		case <-met:
			// A node that starts asks the first peer that it meets at once.
			if !alone || len(s.peers()) == 0 {
				continue
			}
			alone = false
		case <-ticker.C:
		}
		if peers := s.peers(); len(peers) > 0 && (s.any.Load() || time.Since(started) < startExchanges) {
			reports := s.barred()
			s.sendTo(peers[rand.IntN(len(peers))], reports[:min(mostExchanged, len(reports))], true)
		}
	}
}
