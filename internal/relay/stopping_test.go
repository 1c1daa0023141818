package relay

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// stopIn puts the fixture's node into a planned stop that ends requests after so long.
func (f *fixture) stopIn(grace time.Duration) {
	now := time.Now()
	f.handler.SetDraining(StopSchedule{RefuseWaitingAt: now.Add(time.Hour), EndAt: now.Add(grace)})
}

// Guards against requests that may run once, are passed on late in a planned stop, and are cut when it ends. Those that
// end in time, may be repeated, or of whose duration nothing is known are served.
func TestStoppingNodeRefusesWhatWouldOutlastIt(t *testing.T) {
	for name, c := range map[string]struct {
		path     string
		duration time.Duration
		grace    time.Duration
		want     int
	}{
		"would outlast it":          {"/once/", time.Minute, 30 * time.Second, http.StatusServiceUnavailable},
		"stream would outlast it":   {"/stream/", time.Minute, 30 * time.Second, http.StatusServiceUnavailable},
		"ends in time":              {"/once/", 5 * time.Second, time.Minute, http.StatusOK},
		"may be repeated":           {"/often/", time.Minute, 30 * time.Second, http.StatusOK},
		"may be resumed":            {"/resume/", time.Minute, 30 * time.Second, http.StatusOK},
		"duration is not known":     {"/once/", 0, time.Second, http.StatusOK},
		"deadline comes before":     {"/brief/", time.Minute, 30 * time.Second, http.StatusOK},
		"node stops at this moment": {"/once/", 5 * time.Second, 0, http.StatusServiceUnavailable},
	} {
		t.Run(name, func(t *testing.T) {
			server := newFakeServer(t, respondWith(http.StatusOK, events(1), "Content-Type: text/event-stream"))
			f := newFixture(t, server)
			if c.duration > 0 {
				f.handler.durations.record(strings.Trim(c.path, "/"), c.duration)
			}
			f.stopIn(c.grace)
			got := f.send(t, http.MethodPost, c.path, "b", "X-Wait", "2m")
			if got.status != c.want || server.count() != map[int]int{http.StatusOK: 1}[c.want] {
				t.Errorf("status %d, %v, %d sends, want %d", got.status, got.err, server.count(), c.want)
			}
			if c.want != http.StatusOK && (got.header.Get("Retry-After") == "" || !strings.Contains(got.body, outcomeNotRun)) {
				t.Errorf("got %+v, want a promise with Retry-After", got)
			}
		})
	}
}

// Guards against a request whose header came in time, and whose body came after the node had closed.
func TestBodyThatComesAfterTheNodeClosedIsRefused(t *testing.T) {
	server := newFakeServer(t, respondWith(http.StatusOK, "ok"))
	f := newFixture(t, server)
	f.stopIn(time.Minute)
	conn, err := net.Dial("tcp", strings.TrimPrefix(f.url, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	write(conn, "POST /once/ HTTP/1.1\r\nHost: 127.0.0.1\r\nX-Id: r1\r\nX-Wait: 5s\r\nContent-Length: 4\r\n\r\nbod")
	for f.handler.Active() == 0 {
		time.Sleep(time.Millisecond)
	}
	f.handler.Close()
	write(conn, "y")
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatal(err)
	}
	text, _ := io.ReadAll(response.Body)
	if response.StatusCode != http.StatusServiceUnavailable || server.count() != 0 || !strings.Contains(string(text), outcomeNotRun) {
		t.Errorf("status %d, %q after %d sends, want a refusal", response.StatusCode, text, server.count())
	}
}

// Guards against requests that are cut with no answer when a planned stop ends, though their servers still work: the
// caller learns that they may have run, and no other server gets them.
func TestRequestsInFlightWhenAStopEndsAreAnswered(t *testing.T) {
	for _, path := range []string{"/once/", "/often/", "/stream/", "/resume/"} {
		t.Run(path, func(t *testing.T) {
			release := make(chan struct{})
			defer close(release)
			respond := func(net.Conn, *http.Request) bool {
				<-release
				return false
			}
			first, second := newFakeServer(t, respond), newFakeServer(t, respond)
			f := newFixture(t, first, second)
			suspects := newPartSuspects(nil)
			f.handler.options.Suspects = suspects
			f.stopIn(time.Minute)
			answered := make(chan result)
			go func() { answered <- f.send(t, http.MethodPost, path, "b", "X-Parts", "a,own") }()
			for first.count()+second.count() == 0 {
				time.Sleep(time.Millisecond)
			}
			f.handler.EndRequests()
			got := <-answered
			if got.err != nil || got.status != http.StatusBadGateway || !strings.Contains(got.body, outcomeUnknown) {
				t.Errorf("got %+v, want a failure that says that the request may have run", got)
			}
			if sent := first.count() + second.count(); sent != 1 {
				t.Errorf("sent %d times", sent)
			}
			if crashed, _, _, _ := suspects.reported(); len(crashed) > 0 {
				t.Errorf("crashed under %v", crashed)
			}
		})
	}
}

// Guards against estimates that follow one slow request, or never leave one behind.
func TestDurationEstimateFollowsWhatIsUsual(t *testing.T) {
	estimates := durationEstimates{routes: make(map[string]*durationEstimate)}
	if _, ok := estimates.estimate("r"); ok {
		t.Error("an estimate of a route that nobody asked for")
	}
	record := func(count int, duration time.Duration) time.Duration {
		for range count {
			estimates.record("r", duration)
		}
		estimate, _ := estimates.estimate("r")
		return estimate
	}
	const usual, slow = 100 * time.Millisecond, 2 * time.Second
	if got := record(50, usual); got < usual || got > usual*11/10 {
		t.Errorf("%v after requests of %v", got, usual)
	}
	if got := record(1, slow); got < slow {
		t.Errorf("%v after one of %v", got, slow)
	}
	if got := record(50, usual); got < usual || got > usual*11/10 {
		t.Errorf("%v once all took %v again", got, usual)
	}
}
