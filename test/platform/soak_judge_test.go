package platform

import (
	"errors"
	"fmt"
	"io"
	"os"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"
)

// find notes a broken rule.
func (s *soak) find(format string, values ...any) {
	s.findings = append(s.findings, fmt.Sprintf(format, values...))
}

// judge reads the books.
func (s *soak) judge(calm time.Time) {
	ran := make(map[string]int)
	for _, m := range s.servers {
		m.mu.Lock()
		for id, count := range m.runs {
			ran[id] += count
		}
		m.mu.Unlock()
	}
	tally := make(map[string]int)
	for _, end := range s.ends {
		s.judgeRequest(end, ran[end.id])
		tally[fmt.Sprintf("%d", end.status)]++
	}
	s.judgeRecovery(calm)
	s.judgeServers()
	s.judgeConfigurations()
	s.t.Logf("seed %d: %d requests, answers by status %v, %d troubles, %d servers, %d versions",
		*soakSeed, len(s.ends), tally, len(s.troubles), len(s.servers), s.version)
}

func (s *soak) judgeRequest(end served, ran int) {
	switch {
	case ran > 1:
		s.find("TWICE: %s ran %d times", end.id, ran)
	case (end.status == 503 || end.status == 429) && ran > 0:
		s.find("REFUSED: %s got %d though it ran", end.id, end.status)
	case end.status == 200 && end.err == nil && !end.whole:
		s.find("MIXED: %s got a success with another body", end.id)
	case end.status >= 400 && end.status < 500 && end.status != 429:
		s.find("DENIED: %s got %d", end.id, end.status)
	}
	if s.isTroubled(end.node, end.sent.Add(-soakContact), end.done, false) {
		return
	}
	if took := end.done.Sub(end.sent); took > soakDeadline+500*time.Millisecond {
		s.find("late: %s was held for %v", end.id, took)
	}
	// A node that is down has read nothing; the platform's entry would not ask it.
	if end.err != nil && !errors.Is(end.err, syscall.ECONNREFUSED) {
		s.find("LOST: %s at %s, sent %s: %v", end.id, end.node, end.sent.Format("15:04:05.000"), end.err)
	}
}

// isTroubled reports whether a trouble at the place, or one that is not at a
// node, fell into the time.
func (s *soak) isTroubled(place string, from, to time.Time, planned bool) bool {
	return slices.ContainsFunc(s.troubles, func(known span) bool {
		concerns := known.place == place || !strings.HasPrefix(known.place, "node-")
		return concerns && (planned || !known.planned) && known.from.Before(to) && known.to.After(from)
	})
}

func (s *soak) judgeRecovery(calm time.Time) {
	asked, answered := 0, 0
	for _, end := range s.ends {
		if end.sent.After(calm.Add(soakRecover)) {
			asked++
			if end.status == 200 && end.whole {
				answered++
			}
		}
	}
	if asked == 0 || 10*answered < 9*asked {
		s.find("RECOVER: %d of %d requests were served after the troubles", answered, asked)
	}
}

func (s *soak) judgeServers() {
	var loads []time.Time
	for _, m := range s.servers {
		m.mu.Lock()
		if m.overloads > 0 {
			s.find("LIMIT: %s was ordered to load over its memory %d times", m.id, m.overloads)
		}
		s.judgeOrders(m)
		loads = append(loads, m.loads...)
		if left, ok := s.left[m.id]; ok && m.lastRun.Sub(left) > soakDrain && !s.isTroubled("", left.Add(-soakContact), m.lastRun, true) {
			s.find("DRAIN: %s ran new work %v after it left", m.id, m.lastRun.Sub(left))
		}
		m.mu.Unlock()
	}
	slices.SortFunc(loads, time.Time.Compare)
	for i := soakLoads; i < len(loads); i++ {
		if loads[i].Sub(loads[i-soakLoads]) < soakWindow {
			s.find("CEILING: %d loads within %v", soakLoads+1, loads[i].Sub(loads[i-soakLoads]))
		}
	}
}

func (s *soak) judgeOrders(m *modelServer) {
	for i := 1; i < len(m.orders); i++ {
		before, after := m.orders[i-1], m.orders[i]
		switch {
		case after.FencingToken < before.FencingToken:
			s.find("ONE: %s took token %d after %d", m.id, after.FencingToken, before.FencingToken)
		case after.Holder != before.Holder && after.FencingToken == before.FencingToken:
			s.find("ONE: %s took one token of %s and %s", m.id, before.Holder, after.Holder)
		case after.Holder != before.Holder && after.at.Sub(before.at) < 600*time.Millisecond:
			s.find("ONE: at %s %s takes turns with %s within the lease", m.id, before.Holder, after.Holder)
		}
	}
}

var inForce = regexp.MustCompile(`event=(node_started|config_in_force).*?(?: version=(\d+)|\n)`)

// judgeConfigurations reads the versions in force from the nodes' logs: they
// rise within a life, and the last one is in force at all.
func (s *soak) judgeConfigurations() {
	for _, n := range s.nodes {
		version := 0
		for _, found := range inForce.FindAllStringSubmatch(n.log(), -1) {
			if found[1] == "node_started" {
				version = 0
				continue
			}
			next, _ := strconv.Atoi(found[2])
			if next <= version {
				s.find("CONFIG: %s went from version %d to %d", n.name, version, next)
			}
			version = next
		}
		if version != s.version {
			s.find("CONFIG: %s has version %d in force at the end, want %d", n.name, version, s.version)
		}
	}
}

// keepLogs writes the nodes' logs where SOAK_LOGS says.
func (s *soak) keepLogs() {
	folder := os.Getenv("SOAK_LOGS")
	if folder == "" {
		return
	}
	for _, n := range s.nodes {
		_ = os.WriteFile(fmt.Sprintf("%s/seed-%d-%s.log", folder, *soakSeed, n.name), []byte(n.log()), 0o600)
	}
}

// TestSoakJudgeFindsWhatIsBroken plants one violation of each rule into books in
// which nothing is wrong.
func TestSoakJudgeFindsWhatIsBroken(t *testing.T) {
	at := func(after time.Duration) time.Time { return time.Date(2026, 12, 2, 9, 0, 0, 0, time.UTC).Add(after) }
	fine := served{id: "a", node: "node-1", isCommand: true, sent: at(0), done: at(time.Second), status: 200, whole: true}
	cases := []struct {
		rule  string
		plant func(s *soak)
	}{
		{"", func(*soak) {}},
		{"TWICE", func(s *soak) { s.servers[0].runs["a"] = 2 }},
		{"REFUSED", func(s *soak) { s.ends[0].status = 503 }},
		{"MIXED", func(s *soak) { s.ends[0].whole = false; s.ends[1].whole = true }},
		{"DENIED", func(s *soak) { s.ends[0].status = 404 }},
		{"late", func(s *soak) { s.ends[0].done = at(soakDeadline + time.Second) }},
		{"LOST", func(s *soak) { s.ends[0].err = io.ErrUnexpectedEOF }},
		{"RECOVER", func(s *soak) { s.ends[1].status = 502 }},
		{"LIMIT", func(s *soak) { s.servers[0].overloads = 1 }},
		{"ONE", func(s *soak) {
			s.servers[0].orders = []order{{Holder: "x", FencingToken: 1, at: at(0)}, {Holder: "y", FencingToken: 2, at: at(300 * time.Millisecond)}}
		}},
		{"ONE", func(s *soak) {
			s.servers[0].orders = []order{{Holder: "x", FencingToken: 2, at: at(0)}, {Holder: "x", FencingToken: 1, at: at(time.Second)}}
		}},
		{"DRAIN", func(s *soak) { s.left["i"] = at(0); s.servers[0].lastRun = at(soakDrain + time.Millisecond) }},
		{"CEILING", func(s *soak) {
			for i := range soakLoads + 1 {
				s.servers[0].loads = append(s.servers[0].loads, at(time.Duration(i)*100*time.Millisecond))
			}
		}},
		{"CONFIG", func(s *soak) { s.version = 4 }},
		{"CONFIG", func(s *soak) {
			_, _ = s.nodes[0].Write([]byte("event=config_in_force version=2\nevent=config_in_force version=3\n"))
		}},
	}
	for _, c := range cases {
		n := &node{name: "node-1"}
		_, _ = n.Write([]byte("event=node_started\nevent=config_in_force version=2\nevent=config_in_force version=3\n"))
		s := &soak{
			fleet: &fleet{t: t, nodes: []*node{n}}, version: 3, left: make(map[string]time.Time),
			servers: []*modelServer{{id: "i", runs: map[string]int{"a": 1}}},
			ends:    []served{fine, {id: "b", node: "node-1", sent: at(time.Minute), done: at(time.Minute), status: 200, whole: true}},
		}
		c.plant(s)
		s.judge(at(0))
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
