package main

import (
	"context"
	"fmt"
	"sync"
	"time"
)

const (
	// badPart is the part of a prompt that crashes servers, and downTime how long a server is down then.
	badPart  = "bad0"
	downTime = 2 * time.Second
	// badPause is the time between two requests with that part.
	badPause = 10700 * time.Millisecond
	// badRequests is the greatest number of them.
	badRequests  = 8
	soundPause   = 120 * time.Millisecond
	soundEvents  = 30
	soundMaxTime = 8 * time.Second
	// crashesUntilBound and maxAfter are the bounds of rule BUDGET.
	crashesUntilBound = 5
	maxAfter          = 3
)

// playRarePoison: one part of a prompt crashes each server that begins to write an answer on it. Requests with
// it come now and then, each at another machine, no two alike, among many sound ones that share their caller
// and their first part, on a route of streams that are not resumed.
func playRarePoison(w *world) verdict {
	defer w.keepLogs()
	w.writeConfig([]string{"m1"}, 60, 210)
	servers := w.addModelServers([]string{"v1", "v1", "v1", "v1"})
	plain := &server{world: w, id: "i-0100", service: plainService, zone: zones[0], version: "v1", work: 30 * time.Millisecond}
	plain.start()
	plain.beat()
	for _, s := range servers {
		s.pause, s.events = 30*time.Millisecond, soundEvents
		if w.trouble {
			s.badPart = badPart
		}
	}
	nodes := w.addNodes(3)
	time.Sleep(5 * time.Second)
	stop := make(chan struct{})
	var group sync.WaitGroup
	var sound []*stream
	group.Go(func() {
		ticker := time.NewTicker(soundPause)
		defer ticker.Stop()
		for i := 1; ; i++ {
			select {
			case <-stop:
				return
			case <-ticker.C:
			}
			s := &stream{name: fmt.Sprintf("sound%03d", i), route: "note", model: "m1", deadline: time.Now().Add(soundMaxTime)}
			sound = append(sound, s)
			group.Go(func() { w.read(context.Background(), s, nodes[i%len(nodes)], soundEvents) })
		}
	})
	time.Sleep(2 * time.Second)
	crashes, after := 0, 0
	for i := range badRequests {
		s := &stream{name: fmt.Sprintf("bad%02d", i+1), model: "m1", deadline: time.Now().Add(soundMaxTime), part: badPart}
		group.Go(func() { w.read(context.Background(), s, nodes[i%len(nodes)], soundEvents) })
		time.Sleep(badPause)
		crashes, after = judgePoison(servers)
		w.record.add("%d crashes so far; %d requests with the part reached servers later than %v after the fifth, %d may", crashes, after, contact, maxAfter)
		if after > maxAfter+1 {
			break
		}
	}
	close(stop)
	group.Wait()
	lost := 0
	for _, s := range sound {
		if s.first != "" && !s.isWhole {
			lost++
		}
	}
	return verdict{broken: after > maxAfter, summary: fmt.Sprintf("%d crashes; %d requests with the part reached servers later than %v after the fifth, %d may; %d of %d sound streams were cut after they had begun", crashes, after, contact, maxAfter, lost, len(sound))}
}

// judgePoison counts the crashes, and the requests with the part that reached servers later than contactMs
// after the fifth.
func judgePoison(servers []*server) (crashes, after int) {
	var crashed, arrived []time.Time
	for _, s := range servers {
		s.mu.Lock()
		crashed = append(crashed, s.crashes...)
		for _, a := range s.arrivals {
			if a.isBad {
				arrived = append(arrived, a.at)
			}
		}
		s.mu.Unlock()
	}
	if len(crashed) < crashesUntilBound {
		return len(crashed), 0
	}
	sortTimes(crashed)
	for _, at := range arrived {
		if at.Sub(crashed[crashesUntilBound-1]) > contact {
			after++
		}
	}
	return len(crashed), after
}
