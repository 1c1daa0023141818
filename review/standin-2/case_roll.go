package main

import (
	"context"
	"fmt"
	"sync"
	"syscall"
	"time"
)

const (
	// rollGap is the time between two machines that are stopped and started in turn.
	rollGap = 2 * time.Second
	// startDelay is how long the platform takes to start a process that has ended again.
	startDelay = 300 * time.Millisecond
	// rollStreams streams of rollEvents events are read while the machines are rolled.
	rollStreams = 36
	rollEvents  = 140
)

// roll stops and starts a machine: SIGTERM, SIGKILL after graceS, and the next process after a short delay. It
// returns once that is started.
func (n *node) roll() {
	n.mu.Lock()
	cmd, exited := n.cmd, n.exited
	n.mu.Unlock()
	n.world.record.add("machine %s gets SIGTERM", n.name)
	_ = cmd.Process.Signal(syscall.SIGTERM)
	select {
	case <-exited:
	case <-time.After(grace):
		_ = cmd.Process.Signal(syscall.SIGKILL)
		<-exited
	}
	n.world.record.add("the process of %s has ended", n.name)
	time.Sleep(startDelay)
	n.start()
}

// isInTouch reports whether the machine was started contactMs ago and got no signal since.
func (n *node) isInTouch() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return time.Since(n.startedAt) > contact+100*time.Millisecond
}

// playLostInRoll: two versions serve side by side, all machines are stopped and started in turn, and clients
// whose streams are cut at the end of a machine's grace period take them up.
func playLostInRoll(w *world) verdict {
	defer w.keepLogs()
	w.writeConfig([]string{"m1"}, 60, 210)
	for _, s := range w.addModelServers([]string{"v1", "v1", "v2", "v2"}) {
		s.events = rollEvents
	}
	nodes := w.addNodes(3)
	time.Sleep(5 * time.Second)
	cut, cutAll := context.WithCancel(context.Background())
	defer cutAll()
	var reading, rolling sync.WaitGroup
	var mu sync.Mutex
	// taken counts the streams that were taken up at a machine in touch, and goneOn those of them that went on.
	taken, goneOn := 0, 0
	takeUp := func(s *stream, client int) {
		counted := false
		for range rollTakeUps {
			n := w.enter(nodes, client)
			isInTouch := n != nil && n.isInTouch()
			began := n != nil && w.read(context.Background(), s, n, rollEvents)
			mu.Lock()
			if isInTouch && !counted {
				counted = true
				taken++
			}
			if counted && began {
				goneOn++
			}
			mu.Unlock()
			if began || time.Until(s.deadline) < rollTakeUpPause {
				return
			}
			time.Sleep(rollTakeUpPause)
		}
	}
	for i := range rollStreams {
		s := &stream{name: fmt.Sprintf("s%02d", i+1), model: "m1", deadline: time.Now().Add(streamDeadline)}
		reading.Go(func() {
			w.read(cut, s, nodes[zoneOf(i)], rollEvents)
			if s.first != "" && !s.isWhole {
				takeUp(s, i)
			}
		})
		time.Sleep(10 * time.Millisecond)
	}
	if w.trouble {
		for i, n := range nodes {
			if i > 0 {
				time.Sleep(rollGap)
			}
			rolling.Go(n.roll)
		}
	} else {
		time.Sleep(8 * time.Second)
		cutAll()
		w.record.add("the clients' connections are lost")
	}
	rolling.Wait()
	reading.Wait()
	begun, fresh := 0, 3
	w.awaitReady(nodes)
	for i := range fresh {
		s := &stream{name: fmt.Sprintf("n%02d", i+1), model: "m1", deadline: time.Now().Add(2 * time.Second)}
		if w.read(context.Background(), s, nodes[i%len(nodes)], rollEvents) {
			begun++
		}
	}
	if taken < minTakenUp || begun == 0 {
		fail("%d streams were taken up at machines in touch, %d new ones began", taken, begun)
	}
	goneOnShare, begunShare := float64(goneOn)/float64(taken), float64(begun)/float64(fresh)
	return verdict{broken: goneOnShare < begunShare/2, summary: fmt.Sprintf("%d of %d streams that were taken up at machines in touch went on (%.2f), %d of %d new ones began (%.2f)", goneOn, taken, goneOnShare, begun, fresh, begunShare)}
}

const (
	// rollTakeUps is how often a client takes its stream up, and rollTakeUpPause the time between two tries.
	rollTakeUps     = 6
	rollTakeUpPause = time.Second
	// inFirstZone is the number of clients in the first machine's zone; those of the other two share the rest.
	inFirstZone = 28
)

// zoneOf returns the zone of a client, which has one machine.
func zoneOf(client int) int {
	if client < inFirstZone {
		return 0
	}
	return 1 + client%2
}

// enter is the platform's entry: it passes a connection to the machine of the client's zone if that is ready,
// else to one of the others that are; nil if none is.
func (w *world) enter(nodes []*node, client int) *node {
	for i := range nodes {
		if n := nodes[(zoneOf(client)+i)%len(nodes)]; n.isReady() {
			return n
		}
	}
	w.record.add("client %d: no machine takes its connection", client+1)
	return nil
}
