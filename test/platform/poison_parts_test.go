package platform

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

const (
	// deadlyPart is the prompt part on which a crashing server crashes, and commonPart the part that all
	// requests of the test share.
	deadlyPart = "dead"
	commonPart = "c0"
	// partCrashes is the number of crashes from which a part has to be known, and maxSendsOfPart how many
	// requests with it may reach servers later than contactTime after that.
	partCrashes    = 5
	maxSendsOfPart = 3
	// soundShare is the share of sound requests with the same first part that are to begin at the first
	// attempt, relative to that before, from 2 x contactTime after.
	soundShare = 0.5
	// partPause is the time between two requests with the deadly part.
	partPause = 120 * time.Millisecond
)

// partCallers send requests with and without the deadly part, no two alike.
type partCallers struct {
	*poisonedFleet
	number atomic.Int64
	// sound holds when each sound request was sent and whether it was served at the first attempt.
	mu    sync.Mutex
	sound []soundResult
}

type soundResult struct {
	at     time.Time
	served bool
}

// newPartFleet returns a fleet of crashing servers without other callers.
func newPartFleet(t *testing.T, nodes, servers int) *partCallers {
	f := &partCallers{poisonedFleet: &poisonedFleet{fleet: newFleet(t, nodes), log: newPoisonLog()}}
	f.hidesLogs = true
	for range servers {
		f.servers = append(f.servers, newCrashingServer(t, f.store, f.log, 500*time.Millisecond))
	}
	f.store.put("config", "main", newConfig(1))
	f.awaitReady()
	return f
}

// send sends one request with the shared parts and a part of its own.
func (f *partCallers) send(n *node, shared ...string) reply {
	id := strconv.FormatInt(f.number.Add(1), 10)
	parts := append(shared, "own"+id)
	return n.sendRequest(callerRequest{
		id: "p" + id, path: "/chat/x", model: "m1", body: "request " + id, deadline: 3 * time.Second,
		prefix: strings.Join(parts, ":20,") + ":20",
	})
}

// sendSound sends sound requests with the common part, and one of a few other parts, until stop.
func (f *partCallers) sendSound(stop chan struct{}) {
	var running sync.WaitGroup
	defer running.Wait()
	for number := 0; ; number++ {
		select {
		case <-stop:
			return
		case <-time.After(25 * time.Millisecond):
		}
		running.Go(func() {
			at := time.Now()
			got := f.send(f.nodes[number%len(f.nodes)], commonPart, fmt.Sprint("d", number%3))
			f.mu.Lock()
			defer f.mu.Unlock()
			f.sound = append(f.sound, soundResult{at, got.status == http.StatusOK && got.err == nil})
		})
	}
}

// servedShare is the share of the sound requests sent in the time that were served.
func (f *partCallers) servedShare(from, to time.Time) (share float64, count int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	served := 0
	for _, result := range f.sound {
		if result.at.Before(from) || result.at.After(to) {
			continue
		}
		count++
		if result.served {
			served++
		}
	}
	return float64(served) / float64(max(1, count)), count
}

// checkPart checks how often requests with the part reached servers, and how sound requests fared.
func (f *partCallers) checkPart(t *testing.T, began time.Time) {
	t.Helper()
	f.log.mu.Lock()
	crashedAt, sentAt := f.log.crashedAt[deadlyPart], f.log.sentAt[deadlyPart]
	f.log.mu.Unlock()
	late := 0
	if len(crashedAt) >= partCrashes {
		for _, at := range sentAt {
			if at.Sub(crashedAt[partCrashes-1]) > contactTime {
				late++
			}
		}
	}
	if len(crashedAt) < poisonCrashesToKnow {
		t.Fatalf("the part crashed %d servers only", len(crashedAt))
	}
	known := crashedAt[min(partCrashes, len(crashedAt))-1]
	before, countBefore := f.servedShare(began.Add(-time.Minute), began)
	after, countAfter := f.servedShare(known.Add(2*contactTime), time.Now())
	t.Logf("%d servers crashed, %d sent late; sound requests served %.2f of %d before, %.2f of %d after", len(crashedAt), late, before, countBefore, after, countAfter)
	if late > maxSendsOfPart {
		t.Errorf("%d requests with the part reached servers later than %v after the fifth crash", late, contactTime)
	}
	if after < soundShare*before || countAfter < 20 || countBefore < 20 {
		t.Errorf("sound requests were served at %.2f of %d first attempts, at %.2f of %d before", after, countAfter, before, countBefore)
	}
}

// poisonCrashesToKnow is the number of crashes under which a part is barred at the earliest.
const poisonCrashesToKnow = 3

// sendDeadly sends requests with the deadly part to random nodes for the time.
func (f *partCallers) sendDeadly(lasts time.Duration, shared ...string) {
	random := rand.New(rand.NewPCG(2, 35))
	var running sync.WaitGroup
	defer running.Wait()
	for end := time.Now().Add(lasts); time.Now().Before(end); time.Sleep(partPause) {
		n := f.nodes[random.IntN(len(f.nodes))]
		running.Go(func() { f.send(n, shared...) })
	}
}

// TestPartThatCrashesServersIsBarred guards against requests with one part in common, no two alike, that
// crash server after server, and against refusing sound ones that share their first part.
func TestPartThatCrashesServersIsBarred(t *testing.T) {
	t.Parallel()
	cases := map[string]struct {
		shared []string
		// soundBefore is how long sound requests are served before.
		soundBefore  time.Duration
		otherCrashes time.Duration
		restartsNode bool
	}{
		"the second part": {shared: []string{commonPart, deadlyPart}, soundBefore: 2 * time.Second},
		"the third part, beside other crashes and a node that starts": {
			shared: []string{commonPart, "d1", deadlyPart}, soundBefore: 2 * time.Second, otherCrashes: time.Second, restartsNode: true,
		},
		"the first part": {shared: []string{deadlyPart, "d2"}, soundBefore: 2 * time.Second},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newPartFleet(t, 4, 12)
			stop := make(chan struct{})
			var callers sync.WaitGroup
			callers.Go(func() { f.sendSound(stop) })
			if c.otherCrashes > 0 {
				callers.Go(func() { f.crashRandomly(c.otherCrashes, stop) })
			}
			time.Sleep(c.soundBefore)
			began := time.Now()
			if c.restartsNode {
				time.AfterFunc(4*time.Second, func() { f.nodes[3].kill(); f.nodes[3].start() })
			}
			f.sendDeadly(11*time.Second, c.shared...)
			close(stop)
			callers.Wait()
			f.checkPart(t, began)
		})
	}
}
