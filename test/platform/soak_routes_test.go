package platform

import (
	"fmt"
	"io"
	"net/http"
	"regexp"
	"slices"
	"strconv"
	"time"
)

var configLogLine = regexp.MustCompile(`(?m)^(?:time=(\S+) )?.*?event=(node_started|config_in_force)(?:.*? version=(\d+))?`)

// appliedVersion is a version that came into force at a node.
type appliedVersion struct {
	version int
	at      time.Time
}

// appliedVersions are those in force at the node by its log, one list for each life.
func appliedVersions(log string) [][]appliedVersion {
	lives := [][]appliedVersion{nil}
	for _, found := range configLogLine.FindAllStringSubmatch(log, -1) {
		if found[2] == "node_started" {
			lives = append(lives, nil)
			continue
		}
		version, _ := strconv.Atoi(found[3])
		at, _ := time.Parse("2006-01-02T15:04:05.999Z07:00", found[1])
		lives[len(lives)-1] = append(lives[len(lives)-1], appliedVersion{version: version, at: at})
	}
	return lives
}

// checkConfigurations reads the versions in force from the nodes' logs: they
// rise within a life, each is in force in time where nothing is in its way, and the
// last one is in force at all.
func (s *soak) checkConfigurations() {
	for _, n := range s.nodes {
		last := 0
		var all []appliedVersion
		for _, life := range appliedVersions(n.log()) {
			last = 0
			for _, next := range life {
				if next.version <= last {
					s.report("CONFIG: %s went from version %d to %d", n.name, last, next.version)
				}
				last = next.version
			}
			all = append(all, life...)
		}
		if last != s.version {
			s.report("CONFIG: %s has version %d in force at the end, want %d", n.name, last, s.version)
		}
		s.checkApplied(n, all)
	}
}

// configApplyBound is the time within which a version is in force at a node in touch.
const configApplyBound = 2 * time.Second

func (s *soak) checkApplied(n *node, all []appliedVersion) {
	for version, written := range s.configTimes {
		until := written.Add(configApplyBound + s.options.slack)
		if !s.isCalm(n.name, written, until) {
			continue
		}
		inTime := slices.ContainsFunc(all, func(known appliedVersion) bool {
			return known.version >= version && known.at.Before(until.Add(time.Millisecond))
		})
		if !inTime {
			s.report("CONFIG: version %d was not in force at %s within %v", version, n.name, configApplyBound)
		}
	}
}

// minAddedRequests is the number of requests on added routes from which they are judged,
// and minAddedShare the part of the others' share that they must be served by.
const (
	minAddedRequests = 20
	minAddedShare    = 0.25
)

// checkAddedRoutes compares, in calm times, how often routes that were added are
// served with the first ones.
func (s *soak) checkAddedRoutes() {
	var asked, answered [2]float64
	for _, end := range s.outcomes {
		if end.callerLeft || !s.isCalm(end.node, end.sent, end.done) {
			continue
		}
		of := 0
		if end.route == "added" {
			of = 1
		}
		asked[of]++
		if end.status == 200 {
			answered[of]++
		}
	}
	if asked[1] >= minAddedRequests && asked[0] > 0 && answered[1]/asked[1] < minAddedShare*answered[0]/asked[0] {
		s.report("CONFIG: of %.0f requests on added routes %.0f were served, of %.0f on the first ones %.0f", asked[1], answered[1], asked[0], answered[0])
	}
}

// usableServerMetric are the states of servers that a node takes to work: a limited one takes work at its rate.
var usableServerMetric = regexp.MustCompile(`(?m)^spanlanding_edge_servers_(ready|limited|suspect) (\d+)$`)

// usableServers is the number of usableServers that the node takes to work, by its figures.
func (n *node) usableServers() (int, error) {
	response, err := http.Get(fmt.Sprintf("http://%s:%d/metrics", n.ip, n.fleet.ports[0]+1))
	if err != nil {
		return 0, err
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	count := 0
	for _, found := range usableServerMetric.FindAllSubmatch(text, -1) {
		number, _ := strconv.Atoi(string(found[2]))
		count += number
	}
	return count, err
}

// checkUsableServers asks each node, in a calm time, how many servers it takes to work.
func (s *soak) checkUsableServers() {
	now := time.Now()
	want := len(s.activeServers())
	for _, c := range s.controls {
		if !s.isCalm(c.name, now, now) {
			continue
		}
		got, err := c.usableServers()
		if err != nil || got != want {
			s.report("SERVERS: %s takes %d of %d living servers to work (%v)", c.name, got, want, err)
		}
	}
}
