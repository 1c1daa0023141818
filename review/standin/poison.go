package main

import (
	"fmt"
	"slices"
	"sync"
	"time"
)

const (
	poisonServers = 6
	// contactTime is contactMs of the settings.
	contactTime = 3 * time.Second
	// slowServers of them work slowFactor times as long: twice the largest share and factor that the
	// site file names (srv_slow, share 0.16, x = 5).
	slowServers = 2
	slowFactor  = 10
	// eventTime is the time from one event to the next: four tokens in steps of 5.05 ms, at a server of
	// the slower sort 1.3 times that.
	eventTime     = 20 * time.Millisecond
	slowSortTime  = 26 * time.Millisecond
	deadlyPart    = "91bd3f06"
	soundParts    = "5c1e07a2:800,77aa0c15:410"
	deadlyParts   = "5c1e07a2:800," + deadlyPart + ":410"
	deadlyPause   = 700 * time.Millisecond
	soundPause    = 150 * time.Millisecond
	poisonTime    = 45 * time.Second
	deadlyEnds    = 5
	toleratedSent = 3
)

// playSlowPoison sends sound requests, and others with a part of the prompt under which each server ends
// as it begins to write. The trouble: some of the servers are slow.
func playSlowPoison(w *world) (broken bool, err error) {
	book := newRunBook()
	var servers []*engine
	for i := range poisonServers {
		server := &engine{
			id: fmt.Sprintf("i-menu%d", i+1), service: "menu", zone: "oslo-a", loadTime: 1200 * time.Millisecond, adapterTime: 10 * time.Millisecond,
			pieces: 13, pause: eventTime, runs: book, deadlyPart: deadlyPart, downTime: 3 * time.Second, onDisk: []string{"m1"}, born: time.Now().UnixMilli(),
		}
		if i < slowServers {
			server.pause = slowSortTime
			if w.trouble {
				server.pause *= slowFactor
			}
		}
		if err := w.startEngine(server, "m1"); err != nil {
			return false, err
		}
		servers = append(servers, server)
	}
	w.store.put("config", "main", map[string]any{
		"version": 3,
		"routes": []map[string]any{
			{"name": "draft", "host": hostName, "pathPrefix": "/draft/", "type": "streaming", "service": "menu", "goalMs": 600, "gapGoalMs": 300, "timeoutMs": 5000, "maxAttempts": 1, "priority": 1, "sticky": true, "resumable": false},
		},
		"services": []map[string]any{
			{"name": "menu", "healthPath": "/healthz", "maxConns": 360, "engine": map[string]any{
				"slots": 64, "kvCapacity": 265792, "upperLimit": 64, "weightsMb": 210000, "adapterSlots": 8, "loadsPerS": 4.2,
				"models": []map[string]any{{"name": "m1", "weightsMb": 65100, "loadS": 2.9, "warmS": 0.57, "diskS": 1.2, "adapters": 36, "adapterSizeMb": 12}},
			}},
		},
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	})
	if err := w.startNodes(3); err != nil {
		return false, err
	}
	if err := w.awaitReady(); err != nil {
		return false, err
	}
	time.Sleep(8 * time.Second)
	sound, deadly := newTally(), newTally()
	var group sync.WaitGroup
	end := time.Now().Add(poisonTime)
	group.Go(func() { w.sendSteadily("1a00", soundParts, soundPause, end, sound) })
	time.Sleep(contactTime)
	w.record.add("requests with the deadly part begin")
	group.Go(func() { w.sendSteadily("dead", deadlyParts, deadlyPause, end, deadly) })
	group.Wait()
	w.record.add("sound requests: %s; with the deadly part: %s", sound, deadly)
	return w.judgeDeadly(servers), nil
}

// tally counts replies by what they said.
type tally struct {
	mu     sync.Mutex
	counts map[string]int
}

func newTally() *tally { return &tally{counts: make(map[string]int)} }

func (t *tally) add(got reply) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.counts[fmt.Sprintf("%d whole=%v", got.status, got.isWhole)]++
}

func (t *tally) String() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return fmt.Sprint(t.counts)
}

// sendSteadily sends requests to the nodes in turn, no two alike.
func (w *world) sendSteadily(prefix, parts string, pause time.Duration, end time.Time, replies *tally) {
	var group sync.WaitGroup
	for number := 0; time.Now().Before(end); number++ {
		c := call{id: fmt.Sprintf("%s%012x", prefix, number), path: "/draft/x", model: "m1", deadline: 5 * time.Second, parts: parts}
		n := w.nodes[number%len(w.nodes)]
		group.Go(func() { replies.add(n.sendQuietly(c)) })
		time.Sleep(pause)
	}
	group.Wait()
}

// judgeDeadly counts the requests with the deadly part that reached servers later than contactTime after
// the fifth of their ends.
func (w *world) judgeDeadly(servers []*engine) (broken bool) {
	var ends []time.Time
	for _, server := range servers {
		server.mu.Lock()
		ends = append(ends, server.ends...)
		server.mu.Unlock()
	}
	slices.SortFunc(ends, time.Time.Compare)
	w.record.add("servers ended %d times", len(ends))
	if len(ends) < deadlyEnds {
		return false
	}
	from, late := ends[deadlyEnds-1].Add(contactTime), 0
	for _, server := range servers {
		server.mu.Lock()
		for _, one := range server.arrivals {
			if one.at.After(from) && one.id[:4] == "dead" {
				late++
			}
		}
		server.mu.Unlock()
	}
	w.record.add("BUDGET: %d requests with the deadly part reached servers later than %v after the fifth end, %d may", late, contactTime, toleratedSent)
	return late > toleratedSent
}
