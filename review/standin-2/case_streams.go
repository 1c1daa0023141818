package main

import (
	"context"
	"fmt"
	"sync"
	"time"
)

const (
	streamCount  = 24
	streamEvents = 80
	eventPause   = 100 * time.Millisecond
	// streamDeadline is the deadline of the streams' clients.
	streamDeadline = 15 * time.Second
	// contact is contactMs of the settings.
	contact = 3 * time.Second
)

// addModelServers starts servers of the versions, and writes their entries.
func (w *world) addModelServers(versions []string) (servers []*server) {
	for i, version := range versions {
		s := &server{
			world: w, id: fmt.Sprintf("i-%04d", i+1), service: modelService, zone: zones[i%len(zones)], version: version, memoryMb: 210,
			pause: eventPause, events: streamEvents, loadTime: 600 * time.Millisecond, models: map[string]bool{"m1": true},
		}
		s.start()
		s.beat()
		servers = append(servers, s)
	}
	return servers
}

// killAll ends the processes of all machines at one moment.
func (w *world) killAll(nodes []*node) {
	var group sync.WaitGroup
	for _, n := range nodes {
		group.Go(n.kill)
	}
	group.Wait()
	w.record.add("all %d machines have lost power", len(nodes))
}

func (w *world) startAll(nodes []*node) {
	for _, n := range nodes {
		n.start()
	}
}

// beginStreams begins the streams, at all machines in turn. Their first attempts go on until cut ends, or the
// connection. wait waits until they are over.
func (w *world) beginStreams(cut context.Context, nodes []*node) (streams []*stream, wait func()) {
	var group sync.WaitGroup
	for i := range streamCount {
		s := &stream{name: fmt.Sprintf("s%02d", i+1), model: "m1", deadline: time.Now().Add(streamDeadline)}
		streams = append(streams, s)
		group.Go(func() { w.read(cut, s, nodes[i%len(nodes)], streamEvents) })
		time.Sleep(20 * time.Millisecond)
	}
	return streams, group.Wait
}

// maxTakeUps is how often a client takes its stream up, and takeUpPause the time between.
const (
	maxTakeUps  = 3
	takeUpPause = 700 * time.Millisecond
)

// takeUp takes up the broken streams, each at another machine than before. It returns those that were taken
// up and those that went on.
func (w *world) takeUp(streams []*stream, nodes []*node) (taken, goneOn int) {
	var group sync.WaitGroup
	var mu sync.Mutex
	for i, s := range streams {
		if s.first == "" || s.isWhole {
			continue
		}
		taken++
		group.Go(func() {
			for try := range maxTakeUps {
				if w.read(context.Background(), s, nodes[(i+1+try)%len(nodes)], streamEvents) {
					mu.Lock()
					goneOn++
					mu.Unlock()
					return
				}
				time.Sleep(takeUpPause)
			}
		})
		time.Sleep(10 * time.Millisecond)
	}
	group.Wait()
	return taken, goneOn
}

// maxJoined is the number of streams that may hold events of two versions, by rule ORDER.
const maxJoined = 2

// playOrderAfterPowerLoss: a release has replaced the servers of the old version by those of a new one, all
// machines lose power while the last old ones serve on, and clients take their streams up.
func playOrderAfterPowerLoss(w *world) verdict {
	defer w.keepLogs()
	w.writeConfig([]string{"m1"}, 60, 210)
	servers := w.addModelServers([]string{"v1", "v1", "v2", "v2"})
	nodes := w.addNodes(3)
	time.Sleep(5 * time.Second)
	streams, wait := w.beginStreams(context.Background(), nodes)
	time.Sleep(800 * time.Millisecond)
	// The last step of the release: the old servers say that they leave, serve on for drainMs and a little
	// longer, and end.
	for _, s := range servers[:2] {
		s.setState("draining")
	}
	time.Sleep(2500 * time.Millisecond)
	if w.trouble {
		w.killAll(nodes)
	}
	time.Sleep(300 * time.Millisecond)
	for _, s := range servers[:2] {
		s.crash()
		w.store.remove("servers", s.id)
		w.record.add("the entry of %s is gone", s.id)
	}
	if w.trouble {
		time.Sleep(700 * time.Millisecond)
		w.startAll(nodes)
		w.awaitReady(nodes)
	}
	began := 0
	if !w.trouble {
		// Streams of the new version go on to their end; those of the old one are broken by now.
		time.Sleep(time.Second)
		var broken []*stream
		for _, s := range streams {
			if len(s.versions) > 0 && s.versions[0] == "v1" {
				broken = append(broken, s)
			}
		}
		began = len(broken)
		w.takeUp(broken, nodes)
		wait()
	} else {
		wait()
		for _, s := range streams {
			if len(s.versions) > 0 && s.versions[0] == "v1" {
				began++
			}
		}
		w.takeUp(streams, nodes)
	}
	if began <= maxJoined {
		fail("only %d streams began at the old version", began)
	}
	joined := 0
	for _, s := range streams {
		if len(s.versions) > 1 {
			joined++
			w.record.add("stream %s holds events of the versions %v", s.name, s.versions)
		}
	}
	return verdict{broken: joined > maxJoined, summary: fmt.Sprintf("%d streams hold events of servers of two software versions, %d may; %d of %d began at the old one", joined, maxJoined, began, len(streams))}
}

// minTakenUp is the number of streams from which rule LOST counts.
const minTakenUp = 12

// playLostAfterPowerLoss: two versions serve side by side, all machines lose power, and clients take their
// streams up once the machines are in touch again.
func playLostAfterPowerLoss(w *world) verdict {
	defer w.keepLogs()
	w.writeConfig([]string{"m1"}, 60, 210)
	w.addModelServers([]string{"v1", "v1", "v2", "v2"})
	nodes := w.addNodes(3)
	time.Sleep(5 * time.Second)
	cut, cutAll := context.WithCancel(context.Background())
	defer cutAll()
	streams, wait := w.beginStreams(cut, nodes)
	time.Sleep(800 * time.Millisecond)
	if w.trouble {
		w.killAll(nodes)
		time.Sleep(time.Second)
		w.startAll(nodes)
		w.awaitReady(nodes)
	} else {
		cutAll()
		w.record.add("the clients' connections are lost")
	}
	wait()
	// A machine is in touch contactMs after its start.
	time.Sleep(contact + 200*time.Millisecond)
	taken, goneOn := w.takeUp(streams, nodes)
	fresh, begun := 0, 0
	for i := range minTakenUp {
		fresh++
		s := &stream{name: fmt.Sprintf("n%02d", i+1), model: "m1", deadline: time.Now().Add(2 * time.Second)}
		if w.read(context.Background(), s, nodes[i%len(nodes)], streamEvents) {
			begun++
		}
		if i == 2 {
			break
		}
	}
	if taken < minTakenUp || begun == 0 {
		fail("%d streams were taken up, %d new ones began", taken, begun)
	}
	goneOnShare, begunShare := float64(goneOn)/float64(taken), float64(begun)/float64(fresh)
	return verdict{broken: goneOnShare < begunShare/2, summary: fmt.Sprintf("%d of %d streams that were taken up went on (%.2f), %d of %d new ones began (%.2f)", goneOn, taken, goneOnShare, begun, fresh, begunShare)}
}
