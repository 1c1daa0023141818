package relay

import (
	"cmp"
	"context"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/spanlanding/spanlanding/internal/clock"
	"github.com/spanlanding/spanlanding/internal/dispatch"
	"github.com/spanlanding/spanlanding/internal/inventory"
	"github.com/spanlanding/spanlanding/internal/origins"
	"github.com/spanlanding/spanlanding/internal/storepos"
)

// TestStreamOfARestartedServerIsRefused guards against going on with a stream at the version of a start
// that may have ended before it began, and at a server that started again before anybody knew.
func TestStreamOfARestartedServerIsRefused(t *testing.T) {
	cases := map[string]struct {
		// began and serving say what becomes of the questions to the server that began the stream and to the
		// one that is to go on, StartTold if not set; beganAt and servingAt are what they tell.
		began, serving StartOutcome
		beganAt        int64
		servingAt      int64
		age            time.Duration
		goesOn         bool
		// returns is set where the refusal says when to come back.
		returns bool
	}{
		"both as known":                   {beganAt: 1, servingAt: 1, goesOn: true},
		"its server started again":        {beganAt: 2, servingAt: 1},
		"its server is down":              {began: StartServerDown, servingAt: 1, goesOn: true},
		"its server does not answer":      {began: StartUnanswered, servingAt: 1, returns: true},
		"its server may not be asked":     {began: StartNotAdmitted, servingAt: 1, returns: true},
		"may not be asked, long ago":      {began: StartNotAdmitted, servingAt: 1, age: time.Minute, goesOn: true},
		"its server does not tell":        {servingAt: 1, goesOn: true},
		"its server started again since":  {beganAt: 2, servingAt: 1, age: time.Minute, goesOn: true},
		"the serving one started again":   {beganAt: 1, servingAt: 2},
		"the serving one does not answer": {beganAt: 1, serving: StartUnanswered},
		"the serving one is down":         {beganAt: 1, serving: StartServerDown},
		"the serving one is not asked":    {beganAt: 1, serving: StartNotAdmitted},
		"the serving one does not tell":   {beganAt: 1, goesOn: true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			servers := []*fakeServer{newFakeServer(t, wholeStream("v1")), newFakeServer(t, wholeStream("v2")), newFakeServer(t, wholeStream("v1"))}
			f := newFixture(t, servers...)
			f.handler.SetTable(resumeTable())
			var changes []inventory.Change
			for i, s := range servers {
				changes = append(changes, inventory.Change{Server: inventory.Server{
					ID: "s" + strconv.Itoa(i), Service: "svc", Address: s.address, Zone: "z", Slots: 8, StartedAtMs: 1, SoftwareVersion: []string{"v1", "v2", "v1"}[i],
					Models: []inventory.HeldModel{{Name: []string{"m", "m", "other"}[i]}}, Position: storepos.At(0, 2),
				}})
			}
			f.dispatch.Do(func(core *dispatch.Core) { core.SetServers(changes) })
			f.handler.options.CurrentStart = func(_ context.Context, question StartQuestion) StartAnswer {
				start, outcome := inventory.Start{ID: question.Start.ID, StartedAtMs: c.servingAt}, c.serving
				if start.ID == "s2" {
					start.StartedAtMs, outcome = c.beganAt, c.began
				}
				return StartAnswer{Outcome: cmp.Or(outcome, StartTold), Start: start, RetryAfter: 100 * time.Millisecond}
			}
			f.handler.options.Origins = &fixedOrigins{answer: OriginAnswer{IsKnown: true, Versions: []string{"v1", "v2"}, Entry: origins.Entry{
				Origin: origins.Origin{Service: "svc", SoftwareVersion: "v1"}, Server: inventory.Start{ID: "s2", StartedAtMs: 1}, RecordedAt: time.Now().Add(-c.age),
			}}}
			got := f.send(t, http.MethodPost, "/resume/", "", "X-Last", "1", "X-Resumes", "r0", "X-Model", "m", "X-Wait", "400ms")
			if isWhole := got.status == http.StatusOK && got.body == "id: 2\ndata: v1\n\n"; isWhole != c.goesOn || strings.Contains(got.body, "v2") {
				t.Errorf("got %+v, want it to go on: %v", got, c.goesOn)
			}
			if c.returns && (got.status != http.StatusServiceUnavailable || got.header.Get("Retry-After") == "" || servers[0].count() > 0) {
				t.Errorf("got %+v after %d runs, want a refusal that says when to come back", got, servers[0].count())
			}
		})
	}
}

// limitedGrant is the grant of a coordinator for a server that names a rate limit.
func limitedGrant() AdmissionDecision {
	return AdmissionDecision{Granted: true, GrantedBy: "coordinator", ValidUntil: time.Now().Add(200 * time.Millisecond)}
}

// newLimitedResumption returns a node with a server of each of two software versions, and a stream that
// began at the first. questions receives what the servers are asked for their starts.
func newLimitedResumption(t *testing.T, admissions Admission) (f *fixture, servers []*fakeServer, questions chan StartQuestion) {
	t.Helper()
	servers = []*fakeServer{newFakeServer(t, wholeStream("v1")), newFakeServer(t, wholeStream("v2"))}
	f = newFixture(t, servers...)
	f.handler.SetTable(resumeTable())
	var changes []inventory.Change
	for i, s := range servers {
		changes = append(changes, inventory.Change{Server: inventory.Server{
			ID: "s" + strconv.Itoa(i), Service: "svc", Address: s.address, Zone: "z", Slots: 8, StartedAtMs: 1, SoftwareVersion: "v" + strconv.Itoa(i+1),
			Models: []inventory.HeldModel{{Name: "m"}}, Position: storepos.At(0, 2),
		}})
	}
	f.dispatch.Do(func(core *dispatch.Core) { core.SetServers(changes) })
	f.handler.options.Admission = admissions
	f.handler.options.Origins = &fixedOrigins{answer: OriginAnswer{IsKnown: true, Versions: []string{"v1", "v2"}, Entry: origins.Entry{
		Origin: origins.Origin{Service: "svc", SoftwareVersion: "v1"},
	}}}
	questions = make(chan StartQuestion, 4)
	f.handler.options.CurrentStart = func(_ context.Context, question StartQuestion) StartAnswer {
		questions <- question
		return StartAnswer{Outcome: StartTold, Start: question.Start}
	}
	return f, servers, questions
}

// TestStreamGoesOnWithItsQuestionAdmitted guards against cutting an answer that has begun because its
// server, which bounds its requests, may not be asked for its start: what is not sent with the question
// admitted waits, and an unused grant is returned.
func TestStreamGoesOnWithItsQuestionAdmitted(t *testing.T) {
	admissions := &scriptedAdmission{
		decide: func(string, int) AdmissionDecision { return limitedGrant() },
		decideCall: func(times int) AdmissionDecision {
			if times == 1 {
				return AdmissionDecision{RetryAfter: 20 * time.Millisecond}
			}
			return limitedGrant()
		},
	}
	f, servers, questions := newLimitedResumption(t, admissions)
	got := f.send(t, http.MethodPost, "/resume/", "", "X-Last", "1", "X-Resumes", "r0", "X-Model", "m")
	if got.body != "id: 2\ndata: v1\n\n" || servers[0].count() != 1 || servers[1].count() != 0 {
		t.Errorf("got %+v after %d and %d sends, want the rest of the stream after one", got, servers[0].count(), servers[1].count())
	}
	if len(questions) != 1 {
		t.Fatalf("asked %d times, want once", len(questions))
	}
	if question := <-questions; !question.Admitted.Granted || time.Until(question.Admitted.ValidUntil) < time.Second {
		t.Errorf("asked with the grant %+v, want one that outlives the wait for the head of the answer", question.Admitted)
	}
	if len(admissions.returned) != 1 {
		t.Errorf("%d grants returned, want that of the send that was denied its question", len(admissions.returned))
	}
}

// TestStreamGoesOnWithOneAdmission guards against asking twice in a row where one grant covers the send and
// the question: new streams, which ask once, were admitted twice as often.
func TestStreamGoesOnWithOneAdmission(t *testing.T) {
	admissions := &scriptedAdmission{decide: func(string, int) AdmissionDecision {
		grant := limitedGrant()
		grant.CoversStartQuestion = true
		return grant
	}}
	f, _, questions := newLimitedResumption(t, admissions)
	got := f.send(t, http.MethodPost, "/resume/", "", "X-Last", "1", "X-Resumes", "r0", "X-Model", "m")
	if got.body != "id: 2\ndata: v1\n\n" || len(admissions.requests) != 1 || admissions.calls != 0 || len(questions) != 1 {
		t.Fatalf("got %+v after %d admissions, %d of calls and %d questions; want the rest of the stream after one, none and one",
			got, len(admissions.requests), admissions.calls, len(questions))
	}
	if request := admissions.requests[0]; !request.IsGoingOn || !request.WithStartQuestion {
		t.Errorf("asked for %+v, want a stream that goes on, with its question", request)
	}
	if question := <-questions; !question.Admitted.Granted || time.Until(question.Admitted.ValidUntil) < time.Second {
		t.Errorf("asked with the grant %+v, want one that outlives the wait for the head of the answer", question.Admitted)
	}
	f.send(t, http.MethodPost, "/resume/", "", "X-Id", "r2", "X-Model", "m")
	if request := admissions.requests[1]; request.IsGoingOn || request.WithStartQuestion {
		t.Errorf("asked for %+v, want a new stream", request)
	}
}

// TestOneReportSettlesTheStreamsOfAConnection guards against a call for each stream that goes on: a connection
// ends at one start of a server, so nothing is asked where that start was seen alive while it was open.
func TestOneReportSettlesTheStreamsOfAConnection(t *testing.T) {
	admissions := &scriptedAdmission{decide: func(_ string, times int) AdmissionDecision {
		if times == 3 {
			return AdmissionDecision{RetryAfter: time.Millisecond}
		}
		grant := limitedGrant()
		grant.CoversStartQuestion = true
		return grant
	}}
	f, servers, questions := newLimitedResumption(t, admissions)
	goOn := func(id string) {
		t.Helper()
		if got := f.send(t, http.MethodPost, "/resume/", "", "X-Id", id, "X-Last", "1", "X-Resumes", "r0", "X-Model", "m"); got.body != "id: 2\ndata: v1\n\n" {
			t.Fatalf("%s: got %+v, want the rest of the stream", id, got)
		}
	}
	asked := func() (count int, withQuestion bool) {
		return len(questions), admissions.requests[len(admissions.requests)-1].WithStartQuestion
	}
	goOn("first")
	if count, withQuestion := asked(); count != 1 || !withQuestion {
		t.Fatalf("asked %d times, with a question %v; want once about a new connection", count, withQuestion)
	}
	start := inventory.Start{ID: "s0", StartedAtMs: 1}
	f.handler.options.LiveStarts.Record(start, clock.Now(), clock.Now())
	goOn("second")
	if count, withQuestion := asked(); count != 1 || withQuestion {
		t.Errorf("asked %d times, with a question %v; want none about a connection that was open", count, withQuestion)
	}
	// The admission denies this one first: the connection serves it all the same.
	goOn("third")
	if count, withQuestion := asked(); count != 1 || withQuestion || servers[0].count() != 3 {
		t.Errorf("asked %d times, with a question %v, after %d runs; want none and 3", count, withQuestion, servers[0].count())
	}
	f.handler.options.LiveStarts.Record(inventory.Start{ID: "s0", StartedAtMs: 2}, clock.Now(), clock.Now())
	goOn("fourth")
	if count, withQuestion := asked(); count != 2 || !withQuestion {
		t.Errorf("asked %d times, with a question %v; want once more since another start was seen", count, withQuestion)
	}
}

// TestStreamOfAKnownConnectionIsCertain checks that the origin of a stream is certain from its first event on
// where its server was seen alive since the connection was opened.
func TestStreamOfAKnownConnectionIsCertain(t *testing.T) {
	f, _, _ := newLimitedResumption(t, nil)
	recorded := &fixedOrigins{}
	f.handler.options.Origins, f.handler.options.CurrentStart = recorded, nil
	isCertain := func(id string) bool {
		t.Helper()
		before, _ := recorded.calls()
		if got := f.send(t, http.MethodPost, "/resume/", "", "X-Id", id, "X-Model", "m"); got.err != nil || got.status != http.StatusOK {
			t.Fatalf("%s: got %+v", id, got)
		}
		entries, _ := recorded.calls()
		return entries[len(before)].IsCertain
	}
	for i := range 8 {
		if isCertain(fmt.Sprint("before-", i)) {
			t.Fatal("certain although no start was seen alive")
		}
	}
	for _, id := range []string{"s0", "s1"} {
		f.handler.options.LiveStarts.Record(inventory.Start{ID: id, StartedAtMs: 1}, clock.Now(), clock.Now())
	}
	for i := range 4 {
		if !isCertain(fmt.Sprint("after-", i)) {
			t.Error("uncertain although the connection was open when its server's start was seen")
		}
	}
}

// TestPeerSettlesTheOriginOfAForwardedStream guards against refusing streams at a node that reaches no server,
// and against going on there because the server that began them seems to be down: the peer asks it.
func TestPeerSettlesTheOriginOfAForwardedStream(t *testing.T) {
	cases := map[string]struct {
		// told is the start that the server which began the stream tells the peer; 0 for no answer.
		told     int64
		hasPeer  bool
		goesOn   bool
		returns  bool
		nodeSees StartOutcome
	}{
		"the server lives":                      {told: 1, hasPeer: true, nodeSees: StartUnanswered, goesOn: true},
		"it started again":                      {told: 2, hasPeer: true, nodeSees: StartServerDown},
		"the peer gets no answer either":        {hasPeer: true, nodeSees: StartServerDown, returns: true},
		"no peer takes it":                      {told: 1, nodeSees: StartUnanswered, returns: true},
		"no peer takes it, it seems to be down": {told: 1, nodeSees: StartServerDown, returns: true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			node, servers, asked := newLimitedResumption(t, nil)
			peer, peerServers, _ := newLimitedResumption(t, nil)
			entry := origins.Entry{Origin: origins.Origin{Service: "svc", SoftwareVersion: "v1"}, Server: inventory.Start{ID: "s1", StartedAtMs: 1}, RecordedAt: clock.Now()}
			for _, f := range []*fixture{node, peer} {
				f.handler.options.Origins = &fixedOrigins{answer: OriginAnswer{IsKnown: true, Versions: []string{"v1", "v2"}, Entry: entry}}
			}
			node.handler.options.CurrentStart = func(_ context.Context, question StartQuestion) StartAnswer {
				if question.Start.ID == "s0" {
					return StartAnswer{Outcome: StartTold, Start: question.Start}
				}
				asked <- question
				return StartAnswer{Outcome: c.nodeSees}
			}
			peer.handler.options.CurrentStart = func(_ context.Context, question StartQuestion) StartAnswer {
				switch {
				case question.Start.ID == "s0":
					return StartAnswer{Outcome: StartTold, Start: question.Start}
				case c.told == 0:
					return StartAnswer{Outcome: StartUnanswered}
				}
				return StartAnswer{Outcome: StartTold, Start: inventory.Start{ID: question.Start.ID, StartedAtMs: c.told}}
			}
			if c.hasPeer {
				node.cutOff(peer.newPeer(t))
			} else {
				node.cutOff()
			}
			got := node.send(t, http.MethodPost, "/resume/", "", "X-Last", "1", "X-Resumes", "r0", "X-Model", "m", "X-Wait", "1s")
			if (got.body == "id: 2\ndata: v1\n\n") != c.goesOn || strings.Contains(got.body, "v2") {
				t.Errorf("got %+v, want it to go on: %v", got, c.goesOn)
			}
			if !c.goesOn && (got.status != http.StatusServiceUnavailable || (got.header.Get("Retry-After") != "") != c.returns || servers[0].count()+peerServers[0].count() > 0) {
				t.Errorf("got %+v, want a refusal that says when to come back: %v", got, c.returns)
			}
			if c.hasPeer && len(asked) > 0 {
				t.Error("the node that reaches no server asked one")
			}
		})
	}
}
