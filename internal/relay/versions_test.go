package relay

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/spanlanding/spanlanding/internal/clock"
	"github.com/spanlanding/spanlanding/internal/dispatch"
	"github.com/spanlanding/spanlanding/internal/inventory"
	"github.com/spanlanding/spanlanding/internal/origins"
	"github.com/spanlanding/spanlanding/internal/storepos"
)

// breakingStream returns a responder that writes events up to the first or, of a resumed stream, the
// last, and then resets the connection or ends the response.
func breakingStream(version string) responder {
	return func(conn net.Conn, request *http.Request) bool {
		write(conn, "HTTP/1.1 200 OK\r\nX-Id: "+request.Header.Get("X-Id")+"\r\nTransfer-Encoding: chunked\r\n\r\n")
		if request.Header.Get("X-Last") == "" {
			write(conn, chunk("id: 1\ndata: "+version+"\n\n"))
			return reset(conn)
		}
		write(conn, chunk("id: 2\ndata: "+version+"\n\n")+"0\r\n\r\n")
		return true
	}
}

// wholeStream returns a responder that writes both events of a stream.
func wholeStream(version string) responder {
	return func(conn net.Conn, request *http.Request) bool {
		first := "id: 1\ndata: " + version + "\n\n"
		if request.Header.Get("X-Last") != "" {
			first = ""
		}
		write(conn, "HTTP/1.1 200 OK\r\nX-Id: "+request.Header.Get("X-Id")+"\r\nTransfer-Encoding: chunked\r\n\r\n"+chunk(first+"id: 2\ndata: "+version+"\n\n")+"0\r\n\r\n")
		return true
	}
}

// setVersions gives the fixture's servers their software versions, in order.
func (f *fixture) setVersions(servers []*fakeServer, versions ...string) {
	var changes []inventory.Change
	for i, s := range servers {
		changes = append(changes, inventory.Change{Server: inventory.Server{
			ID: "s" + string(rune('0'+i)), Service: "svc", Address: s.address, Zone: "z", Slots: 8, SoftwareVersion: versions[i],
		}})
	}
	f.dispatch.Do(func(core *dispatch.Core) { core.SetServers(changes) })
}

// TestBrokenStreamGoesOnAtItsSoftwareVersion guards against answers that hold events of servers of two
// software versions.
func TestBrokenStreamGoesOnAtItsSoftwareVersion(t *testing.T) {
	cases := map[string]struct {
		versions []string
		goesOn   bool
	}{
		"another server of its version":     {versions: []string{"v1", "v2", "v1"}, goesOn: true},
		"no other server of its version":    {versions: []string{"v1", "v2", "v3"}},
		"a server whose version is unknown": {versions: []string{"v1", "", "v2"}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			for range 8 {
				servers := []*fakeServer{
					newFakeServer(t, breakingStream(c.versions[0])), newFakeServer(t, wholeStream(c.versions[1])), newFakeServer(t, wholeStream(c.versions[2])),
				}
				f := newFixture(t, servers...)
				f.setVersions(servers, c.versions...)
				got := f.send(t, http.MethodPost, "/resume/", "")
				var seen []string
				for line := range strings.Lines(got.body) {
					if version, ok := strings.CutPrefix(strings.TrimSpace(line), "data: "); ok && !slices.Contains(seen, version) {
						seen = append(seen, version)
					}
				}
				if len(seen) > 1 {
					t.Fatalf("one answer holds events of versions %q", seen)
				}
				if begunAtFirst := slices.Contains(seen, c.versions[0]) && servers[0].count() > 0; begunAtFirst && (got.err == nil) != c.goesOn {
					t.Errorf("got %+v, want a whole answer: %v", got, c.goesOn)
				}
			}
		})
	}
}

// fixedOrigins gives every question the same answer, and holds what was recorded.
type fixedOrigins struct {
	mu       sync.Mutex
	answer   OriginAnswer
	recorded []origins.Entry
	ended    int
}

func (o *fixedOrigins) Record(entry origins.Entry) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.recorded = append(o.recorded, entry)
}

func (o *fixedOrigins) End(origins.Key) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.ended++
}

// calls returns what was recorded so far, and how many streams ended.
func (o *fixedOrigins) calls() (recorded []origins.Entry, ended int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return slices.Clone(o.recorded), o.ended
}

func (o *fixedOrigins) Find(context.Context, origins.Key, string) OriginAnswer { return o.answer }

// TestResumedStreamStaysAtItsSoftwareVersion guards against a stream that its caller resumes at a
// server of another software version, at this node or by way of a peer, and against refusing one that
// can go on.
func TestResumedStreamStaysAtItsSoftwareVersion(t *testing.T) {
	known := func(service, version string) OriginAnswer {
		return OriginAnswer{Entry: origins.Entry{Origin: origins.Origin{Service: service, SoftwareVersion: version}}, IsKnown: true, Versions: []string{"v1", "v2"}}
	}
	cases := map[string]struct {
		answer OriginAnswer
		// version is that of all events; empty where the stream is refused, with a Retry-After if
		// returns is set.
		version string
		returns bool
	}{
		"begun at a version that serves":               {answer: known("svc", "v2"), version: "v2"},
		"begun at a version without servers":           {answer: known("svc", "v0")},
		"begun at a service that the route has left":   {answer: known("former", "v2")},
		"unknown to all nodes":                         {answer: OriginAnswer{Versions: []string{"v1", "v2"}}},
		"unknown to those nodes that answer":           {answer: OriginAnswer{Versions: []string{"v1", "v2"}, IsPartial: true}, returns: true},
		"begun at a start that nobody knows for sure":  {answer: known("svc", "")},
		"unknown, and only one version served of late": {answer: OriginAnswer{Versions: []string{"v2"}}, version: "v2"},
	}
	for name, c := range cases {
		for _, isForwarded := range []bool{false, true} {
			t.Run(fmt.Sprint(name, ", forwarded ", isForwarded), func(t *testing.T) {
				servers := []*fakeServer{newFakeServer(t, wholeStream("v1")), newFakeServer(t, wholeStream("v2"))}
				node, peer := newFixture(t, servers...), newFixture(t, servers...)
				node.setVersions(servers, "v1", "v2")
				peer.setVersions(servers, "v1", "v2")
				known := &fixedOrigins{answer: c.answer}
				node.handler.options.Origins, peer.handler.options.Origins = known, &fixedOrigins{answer: OriginAnswer{Versions: []string{"v1", "v2"}}}
				if isForwarded {
					node.cutOff(peer.newPeer(t))
				}
				got := node.send(t, http.MethodPost, "/resume/", "", "X-Last", "1", "X-Resumes", "r0")
				if c.version == "" {
					if got.status != http.StatusServiceUnavailable || (got.header.Get("Retry-After") != "") != c.returns || servers[0].count()+servers[1].count() > 0 {
						t.Errorf("got %+v after %d and %d runs, want a refusal", got, servers[0].count(), servers[1].count())
					}
					return
				}
				if want := "id: 2\ndata: " + c.version + "\n\n"; got.err != nil || got.body != want {
					t.Errorf("got %+v, want %q", got, want)
				}
				if recorded, ended := known.calls(); len(recorded) == 0 || recorded[0].Key != origins.NewKey("", "r0") || ended == 0 {
					t.Errorf("recorded %+v, ended %d times; want the first attempt's stream", recorded, ended)
				}
			})
		}
	}
}

// TestOriginIsRecordedBeforeTheFirstEvent guards against a stream whose beginning nobody knows when its
// node ends: it is recorded, with its version, before the caller can have an event of it.
func TestOriginIsRecordedBeforeTheFirstEvent(t *testing.T) {
	recorded := &fixedOrigins{}
	server := newFakeServer(t, func(conn net.Conn, request *http.Request) bool {
		write(conn, "HTTP/1.1 200 OK\r\nX-Id: "+request.Header.Get("X-Id")+"\r\nTransfer-Encoding: chunked\r\n\r\n")
		for end := time.Now().Add(5 * time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
			if entries, _ := recorded.calls(); len(entries) > 0 {
				write(conn, chunk("id: 1\ndata: v1\n\n")+"0\r\n\r\n")
				return true
			}
		}
		return false
	})
	f := newFixture(t, server)
	f.setVersions([]*fakeServer{server}, "v1")
	f.handler.options.Origins = recorded
	if got := f.send(t, http.MethodPost, "/resume/", ""); got.err != nil || got.body != "id: 1\ndata: v1\n\n" {
		t.Fatalf("got %+v", got)
	}
	entries, _ := recorded.calls()
	want := origins.Entry{Key: origins.NewKey("", "r1"), Origin: origins.Origin{Service: "svc", SoftwareVersion: "v1"}}
	if entry := entries[0]; entry.Key != want.Key || entry.Origin != want.Origin || time.Until(entry.ExpiresAt) < 4*time.Second {
		t.Errorf("recorded %+v, want %+v for as long as the caller waits", entry, want)
	}
	f.send(t, http.MethodPost, "/stream/", "", "X-Id", "r2")
	if entries, _ = recorded.calls(); len(entries) != 1 {
		t.Errorf("%d streams recorded; one that may not be resumed needs no record", len(entries))
	}
}

// TestStreamDoesNotGoOnAtAPeerThatNamesNoVersion guards against a peer of a build that chooses a
// server without regard to its software version.
func TestStreamDoesNotGoOnAtAPeerThatNamesNoVersion(t *testing.T) {
	older := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		writer.Header().Set("X-Id", request.Header.Get("X-Id"))
		_, _ = io.WriteString(writer, "id: 2\ndata: v2\n\n")
	}))
	defer older.Close()
	servers := []*fakeServer{newFakeServer(t, wholeStream("v1")), newFakeServer(t, wholeStream("v2"))}
	node := newFixture(t, servers...)
	node.setVersions(servers, "v1", "v2")
	node.handler.options.Origins = &fixedOrigins{answer: OriginAnswer{Entry: origins.Entry{Origin: origins.Origin{Service: "svc", SoftwareVersion: "v1"}}, IsKnown: true}}
	node.cutOff(strings.TrimPrefix(older.URL, "http://"))
	if got := node.send(t, http.MethodPost, "/resume/", "", "X-Last", "1", "X-Resumes", "r0"); strings.Contains(got.body, "v2") {
		t.Errorf("got %+v, want no event of another version", got)
	}
}

// TestForwardedStreamIsRecordedWithoutAServer guards against taking the server of an attempt that brought no
// event for the one that wrote the events of a peer's answer.
func TestForwardedStreamIsRecordedWithoutAServer(t *testing.T) {
	server := newFakeServer(t, wholeStream("v1"))
	node, peer, _ := newCutOff(t, server)
	peer.setVersions([]*fakeServer{server}, "v1")
	recorded := &fixedOrigins{}
	node.handler.options.Origins = recorded
	x := &exchange{handler: node.handler, originServer: origins.Start{ServerID: "earlier"}, onFirstEvent: func() { t.Error("the earlier server is asked") }}
	x.forgetOriginServer()
	if x.originServer != (origins.Start{}) || x.onFirstEvent != nil {
		t.Errorf("the server of the earlier attempt is kept: %+v", x.originServer)
	}
	node.send(t, http.MethodPost, "/resume/", "")
	entries, _ := recorded.calls()
	if len(entries) != 1 || entries[0].Server != (origins.Start{}) || entries[0].Origin.SoftwareVersion != "v1" {
		t.Errorf("recorded %+v, want the version that the peer names, and no server", entries)
	}
}

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
				Origin: origins.Origin{Service: "svc", SoftwareVersion: "v1"}, Server: origins.Start{ServerID: "s2", StartedAtMs: 1}, RecordedAt: time.Now().Add(-c.age),
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
	start := origins.Start{ServerID: "s0", StartedAtMs: 1}
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
	f.handler.options.LiveStarts.Record(origins.Start{ServerID: "s0", StartedAtMs: 2}, clock.Now(), clock.Now())
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
		f.handler.options.LiveStarts.Record(origins.Start{ServerID: id, StartedAtMs: 1}, clock.Now(), clock.Now())
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
			entry := origins.Entry{Origin: origins.Origin{Service: "svc", SoftwareVersion: "v1"}, Server: origins.Start{ServerID: "s1", StartedAtMs: 1}, RecordedAt: clock.Now()}
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
