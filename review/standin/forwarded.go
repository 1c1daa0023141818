package main

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"
)

const (
	forwardServers = 6
	forwardStreams = 16
	// maxAttempts is that of the route: the most servers that a single try may be sent to.
	maxAttempts = 2
	// toleratedRequests is how many requests the rule bears that run on more.
	toleratedRequests = 3
	// cutTime is how long the node is cut from all servers.
	cutTime = 1100 * time.Millisecond
	// calmStreams run well beforehand, so that few of the servers' answers break off.
	calmStreams = 600
)

// playForwardedStreams sends resumable streams to a node that passes them to its peers. The trouble: the
// node was cut from all servers for a moment, and the servers break off the first two runs of each stream.
func playForwardedStreams(w *world) (broken bool, err error) {
	book := newRunBook()
	var servers []*engine
	for i := range forwardServers {
		server := &engine{
			id: fmt.Sprintf("i-menu%d", i+1), service: "menu", zone: "oslo-a", loadTime: 3 * time.Second, adapterTime: 10 * time.Millisecond,
			pieces: 12, pause: 20 * time.Millisecond, runs: book,
		}
		if w.trouble {
			server.cutsShort = func(id string, run int) bool { return strings.HasPrefix(id, "9c41") && run <= maxAttempts }
		}
		if err := w.startEngine(server, "m1"); err != nil {
			return false, err
		}
		servers = append(servers, server)
	}
	w.store.put("config", "main", map[string]any{
		"version": 3,
		"routes": []map[string]any{
			{"name": "replan", "host": hostName, "pathPrefix": "/replan/", "type": "streaming", "service": "menu", "goalMs": 5000, "gapGoalMs": 300, "timeoutMs": 15000, "maxAttempts": maxAttempts, "priority": 1, "sticky": true, "resumable": true},
		},
		"services": []map[string]any{
			{"name": "menu", "healthPath": "/healthz", "maxConns": 360, "engine": map[string]any{
				"slots": 64, "kvCapacity": 265792, "upperLimit": 64, "weightsMb": 210000, "adapterSlots": 8, "loadsPerS": 4.2,
				"models": []map[string]any{{"name": "m1", "weightsMb": 65100, "loadS": 2.9, "warmS": 0.57, "diskS": 1.2, "adapters": 36, "adapterSizeMb": 12}},
			}},
		},
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	})
	if err := w.startNodes(4); err != nil {
		return false, err
	}
	if err := w.awaitReady(); err != nil {
		return false, err
	}
	// The nodes hear of each other, and one of them reads the servers' reports.
	time.Sleep(8 * time.Second)
	w.sendStreams("1a00", calmStreams, w.nodes)
	entry := w.nodes[0]
	if w.trouble {
		if err := w.cutNode(entry, servers); err != nil {
			return false, err
		}
	}
	for id, got := range w.sendStreams("9c41", forwardStreams, []*node{entry}) {
		w.record.add("client: %s got %s", id, got)
	}
	return w.judgeAttempts(book), nil
}

// cutNode cuts the node from all servers for a moment, and lets it notice. The other nodes have no
// requests meanwhile, so that it is only this node's connections that the cut concerns.
func (w *world) cutNode(n *node, servers []*engine) error {
	w.record.add("%s is cut from all servers", n.name)
	for _, server := range servers {
		server.cutOff()
	}
	began := time.Now()
	// The caller waits for some milliseconds only, so nobody else is asked.
	got := n.sendQuietly(call{id: "5eed000000000001", path: "/replan/x", model: "m1", deadline: 8 * time.Millisecond})
	w.record.add("client: 5eed000000000001 got %s", got)
	time.Sleep(time.Until(began.Add(cutTime)))
	for _, server := range servers {
		if err := server.heal(); err != nil {
			return fmt.Errorf("%w: %w", errNotRun, err)
		}
	}
	w.record.add("the cut is over")
	time.Sleep(20 * time.Millisecond)
	return nil
}

// sendStreams sends streams to the nodes in turn, ten at a time and those of a short list all at once.
func (w *world) sendStreams(prefix string, count int, nodes []*node) map[string]reply {
	var mu sync.Mutex
	var group sync.WaitGroup
	replies := make(map[string]reply, count)
	places := make(chan struct{}, 30)
	for number := range count {
		id := fmt.Sprintf("%s%012x", prefix, number)
		n := nodes[number%len(nodes)]
		places <- struct{}{}
		group.Go(func() {
			got := n.sendQuietly(call{id: id, path: "/replan/x", model: "m1", deadline: 15 * time.Second})
			<-places
			mu.Lock()
			defer mu.Unlock()
			replies[id] = got
		})
	}
	group.Wait()
	return replies
}

// judgeAttempts counts the tries that ran on more servers than the route allows.
func (w *world) judgeAttempts(book *runBook) (broken bool) {
	over := 0
	for number := range forwardStreams {
		id := fmt.Sprintf("9c41%012x", number)
		runs := book.of(id)
		slices.Sort(runs)
		if on := slices.Compact(runs); len(on) > maxAttempts {
			over++
			w.record.add("BUDGET: %s ran on %d servers, %v, where %d are allowed", id, len(on), on, maxAttempts)
		}
	}
	w.record.add("%d tries ran on more servers than allowed, %d may", over, toleratedRequests)
	return over > toleratedRequests
}
