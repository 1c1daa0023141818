package main

import (
	"fmt"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	resumptionServers = 8
	// serverLimit is what each server takes in a second: together a fifth more than what is sent.
	serverLimit   = "6"
	streamsPerS   = 40
	brokenStreams = 8
	brokenPrefix  = "b0"
	limitTime     = 30 * time.Second
	// contactTime is contactMs of the settings: from then on the rule counts.
	contactTime = 3 * time.Second
	// enoughResumptions is how many streams have to be taken up for the rule to count.
	enoughResumptions = 12
)

// shares counts the streams that began, and those that were taken up and went on.
type shares struct {
	mu                             sync.Mutex
	sent, began, takenUp, goneOn   int
	answersToNew, answersToResumed map[string]int
}

// playLimitedResumption starts streams, some of which their server breaks off, so that their clients take
// them up at another node. Servers of two software versions serve. The trouble: the servers name a limit.
func playLimitedResumption(w *world) (broken bool, err error) {
	var servers []*engine
	book := newRunBook()
	for i := range resumptionServers {
		server := &engine{
			id: fmt.Sprintf("i-menu%d", i+1), service: "menu", zone: "oslo-a", version: "v" + strconv.Itoa(1+i%2), loadTime: 1300 * time.Millisecond,
			pieces: 8, pause: 20 * time.Millisecond, runs: book, onDisk: []string{"m1"}, born: time.Now().UnixMilli(),
			breaksOff: func(id, lastEvent string) bool { return strings.HasPrefix(id, brokenPrefix) && lastEvent == "" },
		}
		if err := w.startEngine(server, "m1"); err != nil {
			return false, err
		}
		servers = append(servers, server)
	}
	w.store.put("config", "main", modelConfig(1))
	if err := w.startNodes(3); err != nil {
		return false, err
	}
	if err := w.awaitReady(); err != nil {
		return false, err
	}
	time.Sleep(8 * time.Second)
	if w.trouble {
		for _, server := range servers {
			server.setLimit(serverLimit)
		}
		w.record.add("all servers name the limit %s", serverLimit)
	}
	counts := w.playStreams()
	w.record.add("new streams: %d of %d began, answers %v", counts.began, counts.sent, counts.answersToNew)
	w.record.add("LOST: of the streams taken up %d of %d went on, answers %v", counts.goneOn, counts.takenUp, counts.answersToResumed)
	if counts.takenUp < enoughResumptions {
		return false, fmt.Errorf("%w: %d streams were taken up", errNotRun, counts.takenUp)
	}
	return 2*counts.goneOn*counts.sent < counts.began*counts.takenUp, nil
}

// playStreams sends streams at a steady rate, and takes up those that break off.
func (w *world) playStreams() *shares {
	counts := &shares{answersToNew: make(map[string]int), answersToResumed: make(map[string]int)}
	var group sync.WaitGroup
	started := time.Now()
	for number := 0; time.Since(started) < limitTime; number++ {
		prefix := "a0"
		if number%brokenStreams == 0 {
			prefix = brokenPrefix
		}
		id := fmt.Sprintf("%s%014x", prefix, number)
		group.Go(func() {
			isCounted := time.Since(started) > contactTime
			got := w.nodes[number%len(w.nodes)].send(call{id: id, path: "/replan/x", model: "m1", deadline: 5 * time.Second})
			if isCounted {
				counts.addNew(got)
			}
			if got.events == 0 || got.isWhole {
				return
			}
			w.record.add("client: takes up %s after event %d, as %s", id, got.events, "c0"+id[2:])
			again := w.nodes[(number+1)%len(w.nodes)].send(call{
				id: "c0" + id[2:], path: "/replan/x", model: "m1", deadline: 4500 * time.Millisecond, resumes: id, lastEvent: strconv.Itoa(got.events),
			})
			if isCounted {
				counts.addResumed(again)
			}
		})
		time.Sleep(time.Second / streamsPerS)
	}
	group.Wait()
	return counts
}

func (s *shares) addNew(got reply) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sent++
	s.answersToNew[strconv.Itoa(got.status)]++
	if got.events > 0 {
		s.began++
	}
}

func (s *shares) addResumed(got reply) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.takenUp++
	s.answersToResumed[strconv.Itoa(got.status)]++
	if got.events > 0 {
		s.goneOn++
	}
}
