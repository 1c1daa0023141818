package platform

import (
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"
)

// TestSoakJudgeFindsWhatIsBroken plants one violation of each rule into a run without
// violations, and expects the check of just that rule to report it.
func TestSoakJudgeFindsWhatIsBroken(t *testing.T) {
	at := func(after time.Duration) time.Time { return time.Date(2026, 12, 2, 9, 0, 0, 0, time.UTC).Add(after) }
	valid := outcome{id: "a", node: "node-1", route: "command", sent: at(0), done: at(time.Second), status: 200, bodyComplete: true}
	cases := []struct {
		rule  string
		plant func(s *soak)
	}{
		{"", func(*soak) {}},
		{"TWICE", func(s *soak) { s.servers[0].runs["a"] = 2 }},
		{"REFUSED", func(s *soak) { s.outcomes[0].status = 503 }},
		{"REFUSED", func(s *soak) { s.outcomes[0].status = 429 }},
		{"REFUSED", func(s *soak) { s.plantUnmarkedRefusal(503, 503, "node-2") }},
		{"REFUSED", func(s *soak) { s.plantUnmarkedRefusal(503, 429, "node-1") }},
		{"REFUSED", func(s *soak) { s.plantUnmarkedRefusal(421, 503, "node-2") }},
		{"", func(s *soak) { s.plantUnmarkedRefusal(503, 503, "node-1") }},
		{"", func(s *soak) { s.plantUnmarkedRefusal(421, 503, "node-1") }},
		{"", func(s *soak) { s.plantUnmarkedRefusal(408, 408, "node-1") }},
		{"DENIED", func(s *soak) { s.plantUnmarkedRefusal(408, 408, "node-2"); delete(s.servers[0].runs, "a") }},
		{"MEMORY", func(s *soak) { s.peakMemory["node-1"] = machineMemoryMb<<20 + 1 }},
		{"", func(s *soak) { s.peakMemory["node-1"] = machineMemoryMb << 20 }},
		{"MIXED", func(s *soak) { s.outcomes[0].bodyComplete = false; s.outcomes[1].bodyComplete = true }},
		{"DENIED", func(s *soak) { s.outcomes[0].status = 404 }},
		{"late", func(s *soak) { s.outcomes[0].done = at(soakDeadline + time.Second) }},
		{"LOST", func(s *soak) { s.outcomes[0].err = io.ErrUnexpectedEOF }},
		{"LOST", func(s *soak) { s.outcomes[1].err, s.outcomes[1].done = io.EOF, at(time.Minute+lossSlack) }},
		{"LOST", func(s *soak) {
			s.outcomes[0].err = io.ErrUnexpectedEOF
			s.disturbances = []disturbance{{scope: plannedNodeScope, node: "node-1", from: at(0), to: at(time.Second)}, {scope: storeScope, from: at(0), to: at(time.Second)}}
		}},
		{"GRACE", func(s *soak) { s.controls[0].running = true; s.checkStop(s.controls[0]) }},
		{"GRACE", func(s *soak) { s.controls[0].exit = io.EOF; s.checkStop(s.controls[0]) }},
		{"RECOVER", func(s *soak) { s.outcomes[1].status = 502 }},
		{"CONFIG", func(s *soak) {
			s.keyProbes = []keyProbe{{node: "node-1", withdrawn: at(0), sent: at(configApplyBound + time.Second), done: at(configApplyBound + time.Second), status: 200}}
		}},
		{"QUOTA", func(s *soak) { s.plantLoudRuns(231) }},
		{"", func(s *soak) { s.plantLoudRuns(230) }},
		{"UNASKED", func(s *soak) {
			s.servers[0].headers = map[string]http.Header{loudTenant + "-1": {"Tenant": {soakTenant}}}
		}},
		{"UNASKED", func(s *soak) {
			s.servers[0].headers = map[string]http.Header{"a": {"Tenant": {soakTenant}, "Api-Key": {soakKey}}}
		}},
		{"LIMIT", func(s *soak) { s.servers[0].overloads = 1 }},
		{"ONE", func(s *soak) {
			s.servers[0].orders = []order{{Holder: "x", FencingToken: 1, at: at(0)}, {Holder: "y", FencingToken: 2, at: at(300 * time.Millisecond)}}
		}},
		{"ONE", func(s *soak) {
			s.servers[0].orders = []order{{Holder: "x", FencingToken: 2, at: at(0)}, {Holder: "x", FencingToken: 1, at: at(time.Second)}}
		}},
		{"ONE", func(s *soak) {
			s.servers[0].orders = []order{
				{Holder: "x", FencingToken: 1, at: at(0)}, {Holder: "y", FencingToken: 2, at: at(4 * time.Second)}, {Holder: "x", FencingToken: 1, at: at(6 * time.Second)},
			}
		}},
		{"DRAIN", func(s *soak) {
			s.drainedAt["i"] = at(0)
			s.servers[0].startedAt["a"] = at(soakDrain + time.Millisecond)
		}},
		{"", func(s *soak) {
			s.drainedAt["i"] = at(0)
			s.servers[0].startedAt["a"] = at(soakDrain + time.Millisecond)
			s.disturbances = []disturbance{{scope: storeScope, from: at(0), to: at(time.Second)}}
		}},
		{"", func(s *soak) {
			s.drainedAt["i"] = at(0)
			s.servers[0].startedAt["a"] = at(soakDrain + time.Millisecond)
			s.disturbances = []disturbance{{scope: serverLinkScope, node: "i", from: at(0), to: at(time.Second)}}
		}},
		{"DRAIN", func(s *soak) {
			s.drainedAt["i"] = at(0)
			s.servers[0].startedAt["a"] = at(soakDrain + time.Millisecond)
			s.disturbances = []disturbance{{scope: serverLinkScope, node: "j", from: at(0), to: at(time.Second)}}
		}},
		{"DRAIN", func(s *soak) {
			s.drainedAt["i"] = at(-soakDrain - time.Millisecond)
			s.servers[0].startedAt["a"] = at(time.Second)
			s.disturbances = []disturbance{{scope: serverLinkScope, node: "i", from: at(0), to: at(time.Second)}}
		}},
		{"HOME", func(s *soak) {
			s.servers[0].service, s.servers[0].zone, s.servers[0].startedAt["a"] = "commands", soakZones[1], at(configApplyBound+2*time.Millisecond)
			s.allowedRegions = []regionRule{{at: at(-time.Minute)}, {at: at(0), regions: []string{soakRegions[0]}}}
		}},
		{"", func(s *soak) {
			s.servers[0].service, s.servers[0].zone, s.servers[0].startedAt["a"] = "commands", soakZones[1], at(configApplyBound-time.Millisecond)
			s.allowedRegions = []regionRule{{at: at(-time.Minute)}, {at: at(0), regions: []string{soakRegions[0]}}}
		}},
		{"", func(s *soak) {
			s.servers[0].service, s.servers[0].zone, s.servers[0].startedAt["a"] = "commands", soakZones[1], at(configApplyBound+2*time.Millisecond)
			s.allowedRegions = []regionRule{{at: at(-time.Minute), regions: []string{soakRegions[0]}}, {at: at(0), regions: []string{soakRegions[1]}}}
		}},
		{"", func(s *soak) {
			s.servers[0].service, s.servers[0].zone, s.servers[0].startedAt["a"] = "commands", soakZones[1], at(configApplyBound+2*time.Millisecond)
			s.allowedRegions = []regionRule{{at: at(0), regions: []string{soakRegions[0]}}}
			s.disturbances = []disturbance{{scope: storeScope, from: at(0), to: at(time.Second)}}
		}},
		{"COLD", func(s *soak) {
			s.servers[0].coldSince, s.servers[0].coldUntil = at(0), at(soakColdTime)
			for i := range 1 + int(maxSoakColdRate) {
				id := fmt.Sprint("cold", i)
				s.servers[0].startedAt[id], s.servers[0].runs[id] = at(time.Duration(1+i)*50*time.Millisecond), 1
			}
		}},
		{"", func(s *soak) {
			s.servers[0].coldSince, s.servers[0].coldUntil = at(0), at(soakColdTime)
			for i := range int(maxSoakColdRate) {
				id := fmt.Sprint("cold", i)
				s.servers[0].startedAt[id], s.servers[0].runs[id] = at(time.Duration(1+i)*50*time.Millisecond), 1
			}
		}},
		{"DRAIN", func(s *soak) { plantDraining(s, at(0), at(time.Second+soakDrain+time.Millisecond)) }},
		{"", func(s *soak) { plantDraining(s, at(0), at(time.Second+soakDrain)) }},
		{"", func(s *soak) {
			plantDraining(s, at(0), at(time.Second+soakDrain+time.Millisecond))
			s.disturbances = []disturbance{{scope: nodeScope, node: "node-1", from: at(0), to: at(2 * time.Second)}}
		}},
		{"BUDGET", func(s *soak) {
			plantRetryAfter(s, at(0), at(retryAfterGrace), at(time.Second), at(maxSoakRetryAfter-time.Millisecond))
		}},
		{"", func(s *soak) {
			plantRetryAfter(s, at(0), at(retryAfterGrace-time.Millisecond), at(time.Second), at(2*time.Second))
		}},
		{"", func(s *soak) { plantRetryAfter(s, at(0), at(time.Second), at(2*time.Second), at(maxSoakRetryAfter)) }},
		{"", func(s *soak) {
			plantRetryAfter(s, at(0), at(time.Second), at(time.Second), at(time.Second))
			s.disturbances = []disturbance{{scope: serverLinkScope, node: "i", from: at(0), to: at(time.Second)}}
		}},
		{"RATE", func(s *soak) { s.plantRateLimit(at(0), 12) }},
		{"", func(s *soak) { s.plantRateLimit(at(0), 11) }},
		{"", func(s *soak) {
			s.plantRateLimit(at(0), 12)
			s.disturbances = []disturbance{{scope: nodeScope, node: "node-1", from: at(2 * time.Second), to: at(3 * time.Second)}}
		}},
		{"EVAC", func(s *soak) {
			s.evacuations = []soakEvacuation{{zone: "z", declared: at(0)}}
			s.servers[0].startedAt["a"] = at(soakEvacuationBound + time.Millisecond)
		}},
		{"EVAC", func(s *soak) {
			s.evacuations = []soakEvacuation{{zone: "z", declared: at(0)}}
			s.servers[0].orders = []order{{Holder: "node-1", Operation: "load", FencingToken: 1, at: at(soakEvacuationBound + time.Millisecond)}}
		}},
		{"", func(s *soak) {
			s.evacuations = []soakEvacuation{{zone: "z", declared: at(0), ended: at(soakEvacuationBound + time.Second)}, {zone: "y", declared: at(0)}}
			s.servers[0].startedAt["a"] = at(soakEvacuationBound + 2*time.Second)
		}},
		{"", func(s *soak) {
			s.evacuations = []soakEvacuation{{zone: "z", declared: at(0)}}
			s.servers[0].startedAt["a"] = at(soakEvacuationBound + time.Millisecond)
			s.disturbances = []disturbance{{scope: nodeScope, node: "node-1", from: at(0), to: at(time.Second)}}
		}},
		{"CEILING", func(s *soak) {
			for i := range maxSoakLoads + 1 {
				s.servers[0].loads = append(s.servers[0].loads, at(time.Duration(i)*100*time.Millisecond))
			}
		}},
		{"BUDGET", func(s *soak) { s.plantRetries("a", at(0), soakExtraRetries+1) }},
		{"", func(s *soak) { s.plantRetries("a", at(0), soakExtraRetries) }},
		{"CONFIG", func(s *soak) { s.version = 4 }},
		{"CONFIG", func(s *soak) { s.configTimes[3] = at(-configApplyBound - time.Second) }},
		{"CONFIG", func(s *soak) {
			for range minAddedRequests {
				s.outcomes = append(s.outcomes, outcome{id: "c", route: "added", node: "node-1", sent: at(time.Minute), done: at(time.Minute), status: 502})
			}
			s.outcomes = append(s.outcomes, slices.Repeat(s.outcomes[1:2], 10*minAddedRequests)...)
		}},
		{"SHORT", func(s *soak) {
			for i := range minRefusals {
				sent := at(time.Duration(i+10) * time.Second)
				s.outcomes = append(s.outcomes, outcome{id: "d", route: "command", node: "node-1", sent: sent, done: sent, status: 503})
			}
			s.outcomes = append(s.outcomes, slices.Repeat(s.outcomes[1:2], 10*minRefusals)...)
		}},
		{"BUDGET", func(s *soak) {
			poison := &soakPoison{ended: []time.Time{at(0), at(1), at(2)}}
			for range maxLateSends + 1 {
				poison.sends = append(poison.sends, poisonSend{node: "node-1", at: at(soakReconnect + time.Second)})
			}
			s.poisons["poison 0"] = poison
		}},
		{"", func(s *soak) {
			known := &soakPoison{ended: []time.Time{at(0), at(1), at(2)}}
			for range maxLateSends + 1 {
				known.sends = append(known.sends, poisonSend{node: "node-1", at: at(soakReconnect + time.Second)})
			}
			s.poisons["poison 0"] = known
			s.disturbances = []disturbance{{scope: nodeScope, node: "node-1", from: at(soakReconnect), to: at(soakReconnect + time.Second)}}
		}},
		{"BARRED", func(s *soak) {
			for _, after := range []time.Duration{0, maxPoisonBlock / 2, maxPoisonBlock + time.Second} {
				s.outcomes = append(s.outcomes, outcome{id: "m", model: "m0", route: "models", node: "node-1", sent: at(after), done: at(after), status: 503, refusedAsPoison: true})
			}
			s.outcomes = append(s.outcomes, slices.Repeat(s.outcomes[1:2], 40)...)
		}},
		{"", func(s *soak) {
			for _, after := range []time.Duration{0, maxPoisonBlock / 2, maxPoisonBlock + time.Second} {
				s.outcomes = append(s.outcomes, outcome{id: "m", model: "m0", route: "models", node: "node-1", sent: at(after), done: at(after), status: 503, refusedAsPoison: true})
			}
			s.outcomes = append(s.outcomes, outcome{id: "n", model: "m0", route: "models", node: "node-1", sent: at(maxPoisonBlock), done: at(maxPoisonBlock), status: 200, bodyComplete: true})
			s.outcomes = append(s.outcomes, slices.Repeat(s.outcomes[1:2], 40)...)
		}},
		{"BARRED", func(s *soak) { s.options.maxPoisonRefusals = 2; s.plantPoisonRefusals(3) }},
		{"", func(s *soak) { s.options.maxPoisonRefusals = 3; s.plantPoisonRefusals(3) }},
		{"READY", func(s *soak) { s.probes["node-1"] = []probe{{at: at(0)}, {at: at(time.Second)}} }},
		{"SERVERS", func(s *soak) { s.nodes[0].ip, s.nodes[0].fleet = "127.0.0.1", s.fleet; s.checkUsableServers() }},
		{"EXIT", func(s *soak) { s.controls[0].unexpectedExits = []error{io.EOF} }},
		{"CONFIG", func(s *soak) {
			_, _ = s.nodes[0].Write([]byte("event=config_in_force version=2\nevent=config_in_force version=3\n"))
		}},
	}
	for _, c := range cases {
		n := &node{name: "node-1"}
		_, _ = n.Write([]byte("time=2026-12-02T08:59:50.000Z event=node_started\ntime=2026-12-02T08:59:58.000Z event=config_in_force version=2\n" +
			"time=2026-12-02T09:00:00.000Z event=config_in_force version=3\n"))
		s := newSoak(&fleet{t: t, nodes: []*node{n}}, soakOptions{seed: 1})
		s.version = 3
		s.controls = []*control{{node: n}}
		s.servers = []*modelServer{{id: "i", zone: "z", runs: map[string]int{"a": 1}, startedAt: make(map[string]time.Time)}}
		s.outcomes = []outcome{valid, {id: "b", node: "node-1", sent: at(time.Minute), done: at(time.Minute), status: 200, bodyComplete: true}}
		c.plant(s)
		s.checkAll(at(0))
		rules := make(map[string]bool)
		for _, finding := range s.findings {
			rule, _, _ := strings.Cut(finding, ":")
			rules[rule] = true
		}
		if c.rule == "" && len(rules) != 0 || c.rule != "" && (len(rules) != 1 || !rules[c.rule]) {
			t.Errorf("planted %q, found %v", c.rule, s.findings)
		}
	}
}

// plantUnmarkedRefusal has a server refuse the first request after it ran, and its caller get the other
// status from node-1. The named node has run the previous release.
func (s *soak) plantUnmarkedRefusal(sent, received int, olderNode string) {
	s.servers[0].recordUnmarkedRefusal("a", sent)
	s.outcomes[0].status = received
	s.ranOlderBuild[olderNode] = true
}

// plantDraining makes the first response announce that the server is leaving, and sends
// another request to it at the given time.
func plantDraining(s *soak, at, again time.Time) {
	s.servers[0].arrivals = []arrival{{id: "a", at: at, isDraining: true}}
	s.addArrival(again, arrival{isDraining: true})
}

// plantRetryAfter makes a server reject the first request with the longest back-off, and
// sends other requests to it at the given times.
func plantRetryAfter(s *soak, at time.Time, others ...time.Time) {
	s.servers[0].arrivals = []arrival{{id: "a", at: at, retryAfter: maxSoakRetryAfter}}
	for _, other := range others {
		s.addArrival(other, arrival{})
	}
}

// addArrival records a request from the first node to the first server.
func (s *soak) addArrival(at time.Time, arrived arrival) {
	arrived.id, arrived.at = fmt.Sprint("again", len(s.servers[0].arrivals)), at
	s.servers[0].arrivals = append(s.servers[0].arrivals, arrived)
	s.servers[0].runs[arrived.id] = 1
	s.outcomes = append(s.outcomes, outcome{id: arrived.id, node: "node-1", route: "command", sent: at, done: at, status: 200, bodyComplete: true})
}

// plantRateLimit makes a server announce a limit of 1 a second in its first response, and
// sends other requests to it later, within one window.
func (s *soak) plantRateLimit(at time.Time, others int) {
	s.servers[0].contacts = []contact{{id: "a", at: at, path: "/command/x", limit: "1"}}
	for number := range others {
		contactAt := at.Add(3*time.Second + time.Duration(number)*100*time.Millisecond)
		s.addArrival(contactAt, arrival{})
		s.servers[0].contacts = append(s.servers[0].contacts, contact{id: s.outcomes[len(s.outcomes)-1].id, at: contactAt, path: "/command/x", limit: "1"})
	}
}

// plantPoisonRefusals adds requests that were refused as poison requests among others that
// were served.
func (s *soak) plantPoisonRefusals(count int) {
	refused := outcome{id: "m", model: "m0", route: "models", node: "node-1", sent: s.outcomes[0].sent, done: s.outcomes[0].sent, status: 503, refusedAsPoison: true}
	s.outcomes = append(s.outcomes, slices.Repeat(s.outcomes[1:2], 40)...)
	s.outcomes = append(s.outcomes, slices.Repeat([]outcome{refused}, count)...)
}

// plantRetries has a request arrive once and then the given number of times within half a window.
func (s *soak) plantRetries(id string, at time.Time, retries int) {
	for i := range retries + 1 {
		s.servers[0].receipts = append(s.servers[0].receipts, receipt{id: id, at: at.Add(time.Duration(i) * soakRetryWindow / time.Duration(2*retries))})
	}
}

// plantLoudRuns has so many requests of the loud tenant start within a window.
func (s *soak) plantLoudRuns(count int) {
	for i := range count {
		at := time.Unix(0, 0).Add(time.Duration(i) * quotaWindow / time.Duration(count))
		s.servers[0].startedAt[fmt.Sprintf("%s-%d", loudTenant, i)] = at
	}
}
