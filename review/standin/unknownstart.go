package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"
)

const (
	unknownStartRounds = 3
	// drainTime is drainMs of the settings.
	drainTime = 2 * time.Second
	// sentAfter is when, after an answer by which the server says that it leaves, the next requests are
	// sent: later than drainTime.
	sentAfter = drainTime + 150*time.Millisecond
	crashTime = time.Second
	// outage is how long the store turns calls away; the server's next beat falls into it.
	outage = beatPeriod + 100*time.Millisecond
)

// playUnknownStart lets a server start again under its ID. The trouble: the store is away for a moment
// right after it has taken the entry of the new start, and the server is told to leave meanwhile, which
// only its answers can say. A node that passes on such an answer must send it nothing drainTime later.
func playUnknownStart(w *world) (broken bool, err error) {
	book := newRunBook()
	server := &engine{id: "i-order1", service: "orders", zone: "oslo-a", workTime: 30 * time.Millisecond, runs: book, beatsByCase: true, born: time.Now().UnixMilli()}
	if err := w.startEngine(server); err != nil {
		return false, err
	}
	w.store.put("config", "main", map[string]any{
		"version": 3,
		"routes": []map[string]any{
			{"name": "confirm", "host": hostName, "pathPrefix": "/confirm/", "type": "unsafe", "service": "orders", "goalMs": 150, "timeoutMs": 800, "maxAttempts": 1, "priority": 2},
		},
		"services": []map[string]any{{"name": "orders", "healthPath": "/healthz", "maxConns": 100}},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	})
	if err := w.startNodes(3); err != nil {
		return false, err
	}
	if err := w.awaitReady(); err != nil {
		return false, err
	}
	for round := 1; round <= unknownStartRounds; round++ {
		isBroken, err := w.playRestart(server, round)
		if err != nil {
			return broken, err
		}
		broken = broken || isBroken
	}
	return broken, nil
}

// playRestart plays one round: calm, a crash, the new start, which leaves, and a last start that stays.
func (w *world) playRestart(server *engine, round int) (broken bool, err error) {
	for range 4 {
		server.beat()
		for i, n := range w.nodes {
			if got := n.send(call{id: fmt.Sprintf("calm-%d-%d-%d", round, i, time.Now().UnixMilli()), path: "/confirm/x", deadline: 1500 * time.Millisecond}); got.status != http.StatusOK {
				return false, fmt.Errorf("%w: a calm request got %s", errNotRun, got)
			}
		}
		time.Sleep(beatPeriod)
	}
	server.crash()
	time.Sleep(crashTime)
	server.startAgain(func(entry map[string]any) { w.beginOutage(server.id, entry) })
	started := time.Now()
	server.leave()
	passedOn := make(map[int]time.Time)
	for i, n := range w.nodes {
		got := n.send(call{id: fmt.Sprintf("told-%d-%d", round, i), path: "/confirm/x", deadline: 1500 * time.Millisecond})
		if got.status == http.StatusOK && got.isLeaving {
			passedOn[i] = time.Now()
		}
	}
	told := time.Now()
	time.Sleep(time.Until(started.Add(outage)))
	w.endOutage()
	time.Sleep(time.Until(told.Add(sentAfter)))
	replies := make(chan reply, len(w.nodes))
	for i, n := range w.nodes {
		go func() {
			replies <- n.send(call{id: fmt.Sprintf("late-%d-%d", round, i), path: "/confirm/x", deadline: 1500 * time.Millisecond})
		}()
	}
	for range w.nodes {
		<-replies
	}
	for i, toldAt := range passedOn {
		if at, ok := server.arrivedAt(fmt.Sprintf("late-%d-%d", round, i)); ok {
			w.record.add("DRAIN: late-%d-%d reached %s %d ms after %s had passed on that it leaves", round, i, server.id, at.Sub(toldAt).Milliseconds(), w.nodes[i].name)
			broken = true
		}
	}
	server.beat()
	server.crash()
	time.Sleep(crashTime)
	server.startAgain(func(entry map[string]any) { w.store.put("servers", server.id, entry) })
	time.Sleep(3 * time.Second)
	return broken, nil
}

// beginOutage writes the entry of the new start; with the trouble the store is away from then on.
func (w *world) beginOutage(name string, entry map[string]any) {
	if !w.trouble {
		w.store.put("servers", name, entry)
		return
	}
	text, err := json.Marshal(entry)
	if err != nil {
		panic(err)
	}
	w.store.setDown(true, func() { w.store.write("servers", object{Metadata: metadata{Name: name}, Spec: text}) })
	w.record.add("store: away")
}

func (w *world) endOutage() {
	if w.trouble {
		w.store.setDown(false, nil)
		w.record.add("store: back")
	}
}

// startAgain starts the server under its ID, and hands on the entry that it writes then.
func (e *engine) startAgain(write func(entry map[string]any)) {
	e.mu.Lock()
	e.isDown, e.isLeaving, e.born, e.sequence = false, false, time.Now().UnixMilli(), 0
	e.mu.Unlock()
	_, entry := e.entry()
	e.record.add("%s: started again, born %d", e.id, e.born)
	write(entry)
}

// leave lets the server say in all answers that it leaves.
func (e *engine) leave() {
	e.mu.Lock()
	e.isLeaving = true
	e.mu.Unlock()
	e.record.add("%s: leaves, and says so in its answers", e.id)
}

// arrivedAt is when the request reached the server.
func (e *engine) arrivedAt(id string) (at time.Time, ok bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, one := range e.arrivals {
		if one.id == id {
			return one.at, true
		}
	}
	return at, false
}
