package platform

import (
	"fmt"
	"strings"
	"syscall"
	"time"
)

// scope says what a disturbance affects, and thereby which violations it excuses.
type scope int

const (
	// nodeScope affects one node, which counts as disturbed until soakReconnect after the end.
	nodeScope scope = iota
	// plannedNodeScope covers graceful stops and reloads, which excuse no lost request.
	plannedNodeScope
	// serverScope excuses violations caused by a server or the link to it.
	serverScope
	// serverLinkScope, with the server's ID in place of the node, excuses the late arrival of
	// what was sent in time.
	serverLinkScope
	// storeScope excuses what depends on changes delivered by the store, but no effects on
	// running requests.
	storeScope
)

// disturbance is the period of a fault.
type disturbance struct {
	scope    scope
	node     string
	what     string
	from, to time.Time
}

// kind is a kind of fault, with its relative frequency.
type kind struct {
	name   string
	weight int
	begin  func(s *soak, drawn drawnFault)
}

// drawnFault holds a fault's random parameters. They are drawn before the fault begins, so
// that its course does not affect the sequence of random numbers.
type drawnFault struct {
	node     *control
	server   int
	duration time.Duration
	share    float64
	pauses   [4]time.Duration
}

func drawFault(s *soak) drawnFault {
	drawn := drawnFault{
		node:     s.controls[s.random.IntN(len(s.controls))],
		server:   s.random.IntN(1 << 20),
		duration: 200*time.Millisecond + time.Duration(s.random.Float64()*float64(4*time.Second)),
		share:    s.random.Float64(),
	}
	for i := range drawn.pauses {
		drawn.pauses[i] = time.Duration(s.random.Float64() * float64(800*time.Millisecond))
	}
	return drawn
}

// allKinds returns all kinds of faults.
func allKinds() []kind { return append(seventhKinds(), killKind()) }

// seventhKinds returns the kinds that seeds up to 29,999 were played with.
func seventhKinds() []kind { return append(sixthKinds(), answerKinds()...) }

// sixthKinds returns the kinds that seeds up to 23,999 were played with.
func sixthKinds() []kind { return append(fifthKinds(), surplusKind()) }

// fifthKinds returns the kinds that seeds up to 21,999 were played with.
func fifthKinds() []kind { return append(fourthKinds(), partKinds()...) }

// fourthKinds returns the kinds that seeds up to 19,999 were played with.
func fourthKinds() []kind { return append(thirdKinds(), tenantKinds()...) }

// thirdKinds returns the kinds that the most recent regression seeds draw from.
func thirdKinds() []kind { return append(append(secondKinds(), limitKinds()...), rollbackKinds()...) }

// secondKinds returns the kinds that an earlier set of regression seeds draws from. New
// kinds must only be added to allKinds.
func secondKinds() []kind {
	return append(append(append(firstKinds(), noticeKinds()...), startKinds()...),
		kind{poisonKind, 2, func(s *soak, d drawnFault) {
			if s.options.hasProxies {
				s.sendPoison(d)
			}
		}},
		kind{"orders-held", 2, func(s *soak, _ drawnFault) { s.holdOrders() }},
		kind{"silent-connections-to-server", 1, func(s *soak, d drawnFault) { s.silenceServer(d) }},
		kind{"silent-connections-to-store", 1, func(s *soak, d drawnFault) {
			s.silence(d, d.node.storeProxy, d.node.name, "connections to the store are")
		}},
		kind{"silent-connections-between-nodes", 1, func(s *soak, d drawnFault) {
			s.silence(d, d.node.peerProxy, d.node.name, "connections from other nodes are")
		}},
		coldKind(),
		evacuationKind(),
		kind{allowedRegionsKind, 2, func(s *soak, d drawnFault) { s.limitToRegion(d) }},
	)
}

// poisonKind was added after firstKinds was fixed, like the kinds that follow it in
// secondKinds.
const poisonKind = "server-ends-under-request"

// firstKinds returns the kinds that the oldest regression seeds draw from. Adding a kind
// would change what these seeds play.
func firstKinds() []kind {
	return []kind{
		{"kill", 2, func(s *soak, d drawnFault) { s.kill(d.node, d.duration) }},
		{"kill-all", 1, func(s *soak, d drawnFault) {
			for _, c := range s.controls {
				s.kill(c, time.Second)
			}
		}},
		{"kill-start-kill", 2, func(s *soak, d drawnFault) {
			s.runSteps(func() { s.killNow(d.node, d.duration) }, d.pauses[0]/2, d.node.startIfStopped, d.pauses[1]/2, func() { s.kill(d.node, d.pauses[2]) })
		}},
		{"freeze", 2, func(s *soak, d drawnFault) { s.freeze(d.node, d.duration) }},
		{"stop", 2, func(s *soak, d drawnFault) { s.stopNode(d.node) }},
		{"roll", 1, func(s *soak, d drawnFault) { s.roll(d) }},
		{"stop-and-changes", 2, func(s *soak, d drawnFault) {
			s.runSteps(s.changeConfiguration, d.pauses[0], func() { s.stopNode(d.node) }, d.pauses[1], s.changeConfiguration,
				d.pauses[2], func() { d.node.signal(syscall.SIGHUP) }, soakStopDeadline, s.changeConfiguration)
		}},
		{"stop-and-freeze", 2, func(s *soak, d drawnFault) {
			s.runSteps(func() { s.stopNode(d.node) }, d.pauses[0], func() { s.freeze(d.node, d.duration) })
		}},
		{"stop-without-store", 1, func(s *soak, d drawnFault) {
			s.runSteps(func() { s.storeFault("down", d.duration, func(on bool) { s.store.unavailable = on }) }, d.pauses[0], func() { s.stopNode(d.node) })
		}},
		{"start-and-kill-others", 1, func(s *soak, d drawnFault) {
			s.runSteps(func() { s.kill(d.node, d.pauses[0]) }, d.pauses[1], func() { s.kill(s.controls[0], d.pauses[2]) })
		}},
		{"hangups", 2, func(s *soak, d drawnFault) {
			hangup := func() { d.node.signal(syscall.SIGHUP) }
			s.runSteps(hangup, d.pauses[0]/4, hangup, d.pauses[1]/4, hangup)
		}},
		{"change", 2, func(s *soak, _ drawnFault) { s.changeConfiguration() }},
		{"changes", 1, func(s *soak, d drawnFault) {
			s.runSteps(s.changeConfiguration, d.pauses[0]/4, s.changeConfiguration, d.pauses[1]/4, s.changeConfiguration)
		}},
		{"store-down", 1, func(s *soak, d drawnFault) {
			s.storeFault("down", d.duration, func(on bool) { s.store.unavailable = on })
		}},
		{"store-answers-lost", 1, func(s *soak, d drawnFault) {
			s.storeFault("drops responses", d.duration, func(on bool) { s.store.dropResponses = on })
		}},
		{"store-late", 1, func(s *soak, d drawnFault) {
			s.storeFault("delays writes", d.duration, func(on bool) {
				s.store.writeDelay = 0
				if on {
					s.store.writeDelay = d.pauses[0] + time.Millisecond
				}
			})
		}},
		{"store-deaf", 1, func(s *soak, d drawnFault) {
			took := min(d.duration, time.Second)
			s.storeFault("watches deliver nothing", took, func(on bool) { s.store.muteWatches = on })
			s.runSteps(nil, took/2, s.store.compact)
		}},
		{"store-lapse", 2, func(s *soak, d drawnFault) { s.expireEntries(d, func(on bool) { s.store.unavailable = on }) }},
		{"store-deaf-lapse", 2, func(s *soak, d drawnFault) { s.expireEntries(d, func(on bool) { s.store.muteWatches = on }) }},
		{"store-tells-at-once", 2, func(s *soak, d drawnFault) { s.expireEntriesUnseen(d) }},
		{"store-turns-some-away", 1, func(s *soak, d drawnFault) { s.rejectSomeNodes(d) }},
		{"server-replaced", 2, func(s *soak, d drawnFault) { s.replaceServer(d) }},
		{"server-loses-answers", 1, func(s *soak, d drawnFault) {
			s.serverFault(d, "resets connections after running requests", func(m *modelServer, on bool) { m.resetResponses = on })
		}},
		{"server-fails", 1, func(s *soak, d drawnFault) {
			s.serverFault(d, "fails", func(m *modelServer, on bool) { m.failRequests = on })
		}},
		{"way-to-server", 2, func(s *soak, d drawnFault) { s.serverLinkFault(d) }},
		{"way-to-store", 2, func(s *soak, d drawnFault) { s.storeLinkFault(d) }},
		{"way-between-nodes", 2, func(s *soak, d drawnFault) { s.peerLinkFault(d) }},
	}
}

// parseKinds parses a comma-separated list of kinds; an empty list selects all.
func parseKinds(list string) ([]kind, error) {
	all := allKinds()
	switch list {
	case "":
		return all, nil
	case "first":
		return firstKinds(), nil
	case "second":
		return secondKinds(), nil
	case "third":
		return thirdKinds(), nil
	case "fourth":
		return fourthKinds(), nil
	case "fifth":
		return fifthKinds(), nil
	case "sixth":
		return sixthKinds(), nil
	case "seventh":
		return seventhKinds(), nil
	}
	var named []kind
	for name := range strings.SplitSeq(list, ",") {
		found := false
		for _, k := range all {
			if k.name == name {
				named, found = append(named, k), true
			}
		}
		if !found {
			return nil, fmt.Errorf("soak: no kind of fault is named %q", name)
		}
	}
	return named, nil
}

// disturb records and logs a disturbance.
func (s *soak) disturb(where scope, node, what string, duration time.Duration) {
	now := time.Now()
	s.t.Logf("%s %s %s for %v", now.Format("15:04:05.000"), node, what, duration)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.disturbances = append(s.disturbances, disturbance{scope: where, node: node, what: what, from: now, to: now.Add(duration)})
}

// runAfter calls end after the given time; runFaults waits for it.
func (s *soak) runAfter(after time.Duration, end func()) {
	s.activeFaults.Add(1)
	time.AfterFunc(after, func() {
		defer s.activeFaults.Done()
		end()
	})
}

// runSteps runs the steps in sequence in the background. A step is a function, a pause
// (time.Duration), or nil.
func (s *soak) runSteps(steps ...any) {
	s.activeFaults.Add(1)
	go func() {
		defer s.activeFaults.Done()
		for _, step := range steps {
			switch step := step.(type) {
			case time.Duration:
				time.Sleep(step)
			case func():
				step()
			}
		}
	}()
}

// startDisturbance is how long the start of a process counts as a disturbance of the node.
const startDisturbance = 100 * time.Millisecond

func (s *soak) killNow(c *control, downtime time.Duration) {
	s.disturb(nodeScope, c.name, "killed", downtime+startDisturbance)
	c.stopByKill()
}

func (s *soak) kill(c *control, downtime time.Duration) {
	s.activeFaults.Add(1)
	go func() {
		defer s.activeFaults.Done()
		s.killNow(c, downtime)
		time.Sleep(downtime)
		c.startIfStopped()
	}()
}

func (s *soak) freeze(c *control, duration time.Duration) {
	s.disturb(nodeScope, c.name, "frozen", duration)
	c.freeze()
	s.runAfter(duration, func() { c.signal(syscall.SIGCONT) })
}

// stopNode stops a node gracefully: the process has to exit within its grace period, unless
// another fault hits it.
func (s *soak) stopNode(c *control) {
	s.disturb(plannedNodeScope, c.name, "stops", soakStopDeadline)
	done := c.requestStop()
	if done == nil {
		return
	}
	s.activeFaults.Add(1)
	go func() {
		defer s.activeFaults.Done()
		select {
		case <-done:
		case <-time.After(soakStopDeadline + s.options.slack):
		}
		s.checkStop(c)
		c.stopByKill()
		s.disturb(nodeScope, c.name, "starts", startDisturbance)
		c.startIfStopped()
	}()
}

func (s *soak) checkStop(c *control) {
	running, disturbed, _, exit := c.state()
	switch {
	case disturbed, c.endedBeforeStart():
	case running:
		s.report("GRACE: %s did not exit within its grace period", c.name)
	case exit != nil:
		s.report("GRACE: a graceful stop of %s ended with %v", c.name, exit)
	}
}

// roll stops and restarts all nodes in turn, with a configuration change after each stop.
func (s *soak) roll(drawn drawnFault) {
	var steps []any
	for i, c := range s.controls {
		steps = append(steps, func() { s.stopNode(c) }, drawn.pauses[i%len(drawn.pauses)]+200*time.Millisecond, s.changeConfiguration)
	}
	s.runSteps(steps...)
}

func (s *soak) storeFault(what string, duration time.Duration, set func(on bool)) {
	s.disturb(storeScope, "", "store "+what, duration)
	s.store.set(func() { set(true) })
	s.runAfter(duration, func() { s.store.set(func() { set(false) }) })
}

// expireEntries removes server entries while the store is unavailable. Entries of running
// servers return within two seconds of its recovery, well before soakReconnect ends.
func (s *soak) expireEntries(drawn drawnFault, set func(on bool)) {
	s.disturb(storeScope, "", "store unavailable, entries expire", drawn.duration)
	s.store.set(func() { set(true) })
	expiring := s.activeServers()
	for i, m := range expiring {
		s.runSteps(nil, drawn.duration/2, func() { s.expireEntry(m) }, drawn.duration/2+2*drawn.pauses[i%len(drawn.pauses)], func() { s.restoreEntry(m) })
	}
	s.runAfter(drawn.duration, func() { s.store.set(func() { set(false) }) })
}

// watchHoldTime is how long watch responses are held. It is within the watch timeout plus
// its slack, so that no call fails.
const watchHoldTime = 900 * time.Millisecond

// expireEntriesUnseen removes and restores entries while watch responses are held, so that
// one response carries both events and no call fails.
func (s *soak) expireEntriesUnseen(drawn drawnFault) {
	s.disturb(storeScope, "", "store reports removal and return of entries in one response", watchHoldTime)
	s.store.set(func() { s.store.holdWatches = true })
	for i, m := range s.activeServers() {
		s.runSteps(nil, drawn.pauses[i%len(drawn.pauses)]/2, func() { s.expireEntry(m) }, watchHoldTime/2, func() { s.restoreEntry(m) })
	}
	s.runAfter(watchHoldTime, func() { s.store.set(func() { s.store.holdWatches = false }) })
}

func (s *soak) expireEntry(m *modelServer) {
	s.mu.Lock()
	_, isLeaving := s.drainedAt[m.id]
	s.expired[m.id] = !isLeaving
	s.mu.Unlock()
	if !isLeaving {
		s.store.remove("servers", m.id)
	}
}

func (s *soak) restoreEntry(m *modelServer) {
	s.mu.Lock()
	_, isLeaving := s.drainedAt[m.id]
	expired := s.expired[m.id]
	delete(s.expired, m.id)
	s.mu.Unlock()
	if expired && !isLeaving {
		m.register(s.store, "ready")
	}
}

// rejectSomeNodes makes the store refuse connections of a fraction of the nodes.
func (s *soak) rejectSomeNodes(drawn drawnFault) {
	for i, c := range s.controls {
		if float64(i)/float64(len(s.controls)) < drawn.share/2 {
			s.faultLink(c, c.storeProxy, anySender, "refused by the store", drawn.duration, fault{refuse: true}, true)
		}
	}
}

func (s *soak) serverFault(drawn drawnFault, what string, set func(m *modelServer, on bool)) {
	staying := s.activeServers()
	m := staying[drawn.server%len(staying)]
	s.disturb(serverScope, "", m.id+" "+what, drawn.duration)
	apply := func(on bool) {
		m.mu.Lock()
		defer m.mu.Unlock()
		set(m, on)
	}
	apply(true)
	s.runAfter(drawn.duration, func() { apply(false) })
}

// replaceServer adds a server, and then drains and removes an existing one.
func (s *soak) replaceServer(drawn drawnFault) {
	staying := s.activeServers()
	s.replace(staying[drawn.server%len(staying)], 0)
}

// replace adds a server, cold for the given time, and drains an existing one.
func (s *soak) replace(draining *modelServer, cold time.Duration) {
	s.addServer(draining.service, cold)
	s.drain(draining)
}

// drain marks a server's entry as draining, and removes the entry later.
func (s *soak) drain(draining *modelServer) {
	s.mu.Lock()
	s.drainedAt[draining.id] = time.Now()
	s.mu.Unlock()
	draining.register(s.store, "draining")
	s.t.Logf("%s %s drains", time.Now().Format("15:04:05.000"), draining.id)
	s.runAfter(soakDrain+500*time.Millisecond, func() { s.store.remove("servers", draining.id) })
}

// drawLinkFault picks a link fault by the drawn number.
func drawLinkFault(drawn drawnFault) (what string, f fault, resets bool) {
	switch drawn.server % 5 {
	case 0:
		return "slow", fault{delay: time.Duration(drawn.share * float64(300*time.Millisecond))}, false
	case 1:
		return "reset", fault{}, true
	case 2:
		return "blocked in one direction", fault{blockTo: true}, false
	case 3:
		return "blocked in the other direction", fault{blockFrom: true}, false
	default:
		return "blocked in both directions", fault{blockTo: true, blockFrom: true}, false
	}
}

func (s *soak) serverLinkFault(drawn drawnFault) {
	what, f, resets := drawLinkFault(drawn)
	staying := s.activeServers()
	m := staying[(drawn.server/5)%len(staying)]
	if m.proxy == nil {
		return
	}
	s.disturb(serverScope, "", "link to "+m.id+" "+what, drawn.duration)
	s.disturb(serverLinkScope, m.id, "its link is "+what, drawn.duration)
	m.proxy.set(anySender, f)
	if resets {
		m.proxy.reset()
	}
	s.runAfter(drawn.duration, func() { m.proxy.set(anySender, fault{}) })
}

func (s *soak) storeLinkFault(drawn drawnFault) {
	what, f, resets := drawLinkFault(drawn)
	s.faultLink(drawn.node, drawn.node.storeProxy, anySender, "link to the store "+what, drawn.duration, f, resets)
}

// peerLinkFault disturbs what a node receives from all other nodes, or from one.
func (s *soak) peerLinkFault(drawn drawnFault) {
	what, f, resets := drawLinkFault(drawn)
	if drawn.server%2 == 0 {
		what, f = "lossy", fault{loss: drawn.share}
	}
	sender := anySender
	if drawn.share < 0.5 {
		sender = s.controls[drawn.server%len(s.controls)].ip
	}
	s.faultLink(drawn.node, drawn.node.peerProxy, sender, "link from other nodes "+what, drawn.duration, f, resets)
}

// faultLink applies a fault to one of a node's proxies for a time.
func (s *soak) faultLink(c *control, p *proxy, sender, what string, duration time.Duration, f fault, resets bool) {
	if p == nil {
		return
	}
	s.disturb(nodeScope, c.name, what, duration)
	p.set(sender, f)
	if resets {
		p.reset()
	}
	s.runAfter(duration, func() { p.set(sender, fault{}) })
}
