package poison

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// crashPart reports that a server crashed under a request with the part.
func crashPart(tracker *Tracker, at time.Duration, part, server string, request uint64) {
	tracker.Record(start.Add(at), Report{Fingerprint: NewPartFingerprint("s", part), Request: request, ServerID: server})
}

// TestPartIsBarredByDifferentRequests guards against barring a part that others share for what one
// request with it does, again and again.
func TestPartIsBarredByDifferentRequests(t *testing.T) {
	for name, c := range map[string]struct {
		requests []uint64
		servers  string
		want     Status
	}{
		"three requests":                       {[]uint64{1, 2, 3}, "abc", StatusBarred},
		"one request, repeated":                {[]uint64{1, 1, 1, 1, 1}, "abcde", StatusSuspect},
		"two requests, repeated":               {[]uint64{1, 2, 1, 2, 1}, "abcde", StatusSuspect},
		"three requests at one start":          {[]uint64{1, 2, 3}, "aaa", StatusSuspect},
		"a third request after many of others": {[]uint64{1, 1, 2, 2, 3}, "abcde", StatusBarred},
	} {
		tracker := NewTracker()
		for i, request := range c.requests {
			crashPart(tracker, time.Duration(i)*time.Second, "p", c.servers[i:i+1], request)
		}
		now := start.Add(10 * time.Second)
		if got := tracker.Status(now, NewPartFingerprint("s", "p")); got != c.want {
			t.Errorf("%s: status %d, want %d", name, got, c.want)
		}
		other := NewTracker()
		for _, report := range tracker.Reports(now, NewPartFingerprint("s", "p")) {
			other.Record(now, report)
		}
		if got := other.Status(now, NewPartFingerprint("s", "p")); got != c.want {
			t.Errorf("%s: status %d at a node that is told, want %d", name, got, c.want)
		}
	}
	if NewPartFingerprint("s", "p") == NewPartFingerprint("other", "p") {
		t.Error("a part of one service is taken for that of another")
	}
}

// A part under which knownCrashes servers crashed may be sent toleratedSends times later than knownWithin
// after that.
const (
	knownCrashes   = 5
	knownWithin    = 3 * time.Second
	toleratedSends = 3
)

// promptRequest is a request of the drawn traffic.
type promptRequest struct {
	key   uint64
	parts []string
}

// drawnTraffic is traffic at servers some of which crash, and what a node learns of it.
type drawnTraffic struct {
	*rapid.T
	tracker   *Tracker
	successes *RecentSuccesses
	now       time.Time
	number    int
}

func (d *drawnTraffic) request(parts ...string) promptRequest {
	d.number++
	return promptRequest{key: uint64(d.number), parts: parts}
}

// soundRequest draws a request with the first part and one of a few others.
func (d *drawnTraffic) soundRequest() promptRequest {
	return d.request("first", fmt.Sprint("sound", d.IntRange("part", 8)))
}

// IntRange draws a number from 0 to limit-1.
func (d *drawnTraffic) IntRange(name string, limit int) int {
	return rapid.IntRange(0, limit-1).Draw(d.T, name)
}

func (d *drawnTraffic) isBarred(r promptRequest) bool {
	for _, part := range r.parts {
		if d.tracker.Status(d.now, NewPartFingerprint("s", part)) >= StatusOnTrial {
			return true
		}
	}
	return false
}

// succeed records that a request ran well.
func (d *drawnTraffic) succeed(r promptRequest) {
	for _, part := range r.parts {
		d.successes.Add(d.now, NewPartFingerprint("s", part))
	}
}

// crash reports a server that crashed while it began to write answers to the requests.
func (d *drawnTraffic) crash(server string, batch []promptRequest) {
	for _, r := range batch {
		for _, part := range r.parts {
			report := Report{Fingerprint: NewPartFingerprint("s", part), Request: r.key, ServerID: server}
			if acquittals := d.successes.Acquittals(d.now, d.tracker, []Report{report}); len(acquittals) > 0 {
				report = acquittals[0]
			}
			d.tracker.Record(d.now, report)
		}
	}
}

// TestDrawnPartsAreBarredAndNoOthers draws traffic in which one to three parts crash each server that
// begins to write, beside sound requests in the same batches, and servers that crash for other reasons:
// each deadly part is barred after a few crashes, and parts that run well elsewhere never are.
func TestDrawnPartsAreBarredAndNoOthers(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		d := &drawnTraffic{T: rt, tracker: NewTracker(), successes: &RecentSuccesses{}, now: start}
		crashes := make(map[string][]time.Time)
		var deadly []string
		for i := range rapid.IntRange(1, 3).Draw(rt, "deadly parts") {
			deadly = append(deadly, fmt.Sprint("deadly", i))
		}
		for i := range 8 {
			d.succeed(d.request("first", fmt.Sprint("sound", i)))
		}
		for step := range 120 {
			d.now = d.now.Add(time.Duration(50+d.IntRange("pause", 400)) * time.Millisecond)
			for range 3 {
				if r := d.soundRequest(); !d.isBarred(r) {
					d.succeed(r)
				} else {
					rt.Fatalf("step %d: a sound request is refused", step)
				}
			}
			var batch []promptRequest
			for range d.IntRange("beside", 4) {
				batch = append(batch, d.soundRequest())
			}
			part := deadly[d.IntRange("deadly", len(deadly))]
			culprit := d.request("first", fmt.Sprint("sound", d.IntRange("shared", 8)), part)
			switch {
			case d.IntRange("other cause", 5) == 0:
				d.crash(fmt.Sprint("s", step), batch)
			case !d.isBarred(culprit):
				crashes[part] = append(crashes[part], d.now)
				d.crash(fmt.Sprint("s", step), append(batch, culprit))
			}
		}
		for part, times := range crashes {
			late := 0
			for _, at := range times {
				if len(times) >= knownCrashes && at.Sub(times[knownCrashes-1]) > knownWithin {
					late++
				}
			}
			if late > toleratedSends {
				rt.Fatalf("%s was sent %d times later than %v after its fifth crash", part, late, knownWithin)
			}
		}
	})
}

// TestOwnPartsExcuseNoRequest guards against an early trial of a request that crashes servers, because the
// parts of its prompt ran on them as well: they ran in no other request.
func TestOwnPartsExcuseNoRequest(t *testing.T) {
	request := requestNamed("p")
	for name, c := range map[string]struct {
		partOf Fingerprint
		want   Status
	}{"its own part": {request, StatusBarred}, "a part of others": {requestNamed("other"), StatusOnTrial}} {
		tracker := NewTracker()
		for i, server := range []string{"a", "b", "c"} {
			at := time.Duration(i) * time.Second
			tracker.Record(start.Add(at), Report{Fingerprint: request, ServerID: server})
			crashPart(tracker, at, "part", server, c.partOf.Key())
		}
		for range earlyTrialRefusals {
			tracker.RecordRefusal(request)
		}
		if got := tracker.Status(start.Add(5*time.Second), request); got != c.want {
			t.Errorf("%s: status %d, want %d", name, got, c.want)
		}
	}
}

// TestPartThatCrashesServersNowAndThenIsBarred guards against a part that is never barred since the requests
// with it come more than evidenceGap apart, each crashing its servers within one moment.
func TestPartThatCrashesServersNowAndThenIsBarred(t *testing.T) {
	cases := map[string]struct {
		pace time.Duration
		// requests come together each time, and crash servers each.
		requests, servers int
		// succeeds is set where a request with the part runs well in between.
		succeeds bool
		want     Status
	}{
		"two servers each 10.7 s":                 {pace: 10700 * time.Millisecond, requests: 1, servers: 2, want: StatusBarred},
		"one server each minute":                  {pace: time.Minute, requests: 1, servers: 1, want: StatusBarred},
		"one server each five minutes":            {pace: 5 * time.Minute, requests: 1, servers: 1, want: StatusBarred},
		"four requests at once, two servers each": {pace: 15 * time.Second, requests: 4, servers: 2, want: StatusBarred},
		"a harmless part on servers that crash":   {pace: 10700 * time.Millisecond, requests: 4, servers: 1, succeeds: true, want: StatusClear},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			tracker, part := NewTracker(), NewPartFingerprint("s", "p")
			var at time.Duration
			request, crashes, sentLate := 0, 0, 0
			var knownAt time.Duration
			for i := range 2 * knownCrashes {
				at = time.Duration(i) * c.pace
				for range c.requests {
					request++
					switch status := tracker.Status(start.Add(at), part); {
					case status == StatusBarred, status == StatusOnTrial && !tracker.ClaimTrial(start.Add(at), part):
						continue
					}
					if crashes >= knownCrashes && at > knownAt+knownWithin {
						sentLate++
					}
					for range c.servers {
						crashes++
						at += 7 * time.Millisecond
						crashPart(tracker, at, "p", fmt.Sprint("s", crashes), uint64(request))
						if crashes == knownCrashes {
							knownAt = at
						}
					}
				}
				if c.succeeds {
					tracker.Record(start.Add(at+time.Second), Report{Fingerprint: part, Acquitted: true})
				}
			}
			if barred := crashes < 2*knownCrashes*c.requests*c.servers; barred != (c.want == StatusBarred) {
				t.Errorf("%d servers crashed, want barred %v", crashes, c.want == StatusBarred)
			}
			if c.want == StatusBarred && sentLate > toleratedSends {
				t.Errorf("%d requests sent later than %v after the fifth crash", sentLate, knownWithin)
			}
		})
	}
}

// TestLiftedPartIsJudgedAnew guards against bursts of crashes that are counted on after an operator lifted the bar.
func TestLiftedPartIsJudgedAnew(t *testing.T) {
	tracker, part := NewTracker(), NewPartFingerprint("s", "p")
	for i := range CrashLimit {
		crashPart(tracker, time.Duration(i)*time.Minute, "p", fmt.Sprint("a", i), uint64(i+1))
	}
	lifted := CrashLimit * time.Minute
	tracker.Record(start.Add(lifted), Report{Fingerprint: part, Lifted: true})
	for i := range CrashLimit {
		crashPart(tracker, lifted+time.Duration(1+i)*2*sameEventWindow, "p", fmt.Sprint("b", i), uint64(10+i))
	}
	if got := tracker.Status(start.Add(lifted+10*sameEventWindow), part); got == StatusBarred {
		t.Error("barred by crashes of one moment after its bar was lifted")
	}
}

// TestPartIsNotBarredInOneMoment guards against barring a part that all requests share, in the first
// moments in which servers crash, before any answer on it had time to run well.
func TestPartIsNotBarredInOneMoment(t *testing.T) {
	tracker, part := NewTracker(), NewPartFingerprint("s", "p")
	for i := range 12 {
		at := time.Duration(i) * minPartEvidence / 12
		crashPart(tracker, at, "p", fmt.Sprint("s", i), uint64(i+1))
		if got := tracker.Status(start.Add(at), part); got == StatusBarred {
			t.Fatalf("barred %v after the first crash", at)
		}
	}
	crashPart(tracker, minPartEvidence, "p", "last", 99)
	if got := tracker.Status(start.Add(minPartEvidence), part); got != StatusBarred {
		t.Errorf("status %d after %v of crashes, want barred", got, minPartEvidence)
	}
	crashPart(tracker, evidenceGap, "q", "a", 1)
	crashPart(tracker, 3*evidenceGap, "q", "b", 2)
	crashPart(tracker, 3*evidenceGap+100*time.Millisecond, "q", "c", 3)
	if got := tracker.Status(start.Add(4*evidenceGap), NewPartFingerprint("s", "q")); got != StatusSuspect {
		t.Errorf("status %d by two crashes in one moment and one long before, want suspect", got)
	}
}
