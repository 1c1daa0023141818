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

// appliedVersion is a configuration version that came into force at a node.
type appliedVersion struct {
	version int
	at      time.Time
}

// appliedVersions parses a node's log for the versions that came into force, one list per
// start of the process.
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

// checkConfigurations checks the versions in force by the nodes' logs: they increase between
// restarts, each is in force in time unless disturbed, and the latest one is in force at the
// end.
func (s *soak) checkConfigurations() {
	for _, n := range s.nodes {
		last := 0
		var all []appliedVersion
		for _, life := range appliedVersions(n.log()) {
			last = 0
			for _, next := range life {
				if next.version <= last {
					s.report("CONFIG: %s went from version %d back to %d", n.name, last, next.version)
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

// configApplyBound is the time within which a version has to be in force at an undisturbed
// node.
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

// Added routes are checked if they got at least minAddedRequests requests. Their success
// rate must be at least minAddedShare of that of the other routes.
const (
	minAddedRequests = 20
	minAddedShare    = 0.25
)

// checkAddedRoutes compares the success rates of added routes and of the original ones in
// undisturbed periods.
func (s *soak) checkAddedRoutes() {
	var sent, served [2]float64
	for _, o := range s.outcomes {
		if o.callerLeft || !s.isCalm(o.node, o.sent, o.done) {
			continue
		}
		group := 0
		if o.route == "added" {
			group = 1
		}
		sent[group]++
		if o.status == 200 {
			served[group]++
		}
	}
	if sent[1] >= minAddedRequests && sent[0] > 0 && served[1]/sent[1] < minAddedShare*served[0]/sent[0] {
		s.report("CONFIG: of %.0f requests on added routes %.0f were served, of %.0f on the original ones %.0f", sent[1], served[1], sent[0], served[0])
	}
}

// usableServerMetric matches the metrics of the server states that a node considers usable.
// A limited server is usable at its rate.
var usableServerMetric = regexp.MustCompile(`(?m)^spanlanding_edge_servers_(ready|limited|suspect) (\d+)$`)

// usableServers returns the number of servers that the node considers usable, by its
// metrics.
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

// checkUsableServers compares, for each undisturbed node, the number of servers it considers
// usable with the number of running servers.
func (s *soak) checkUsableServers() {
	now := time.Now()
	want := len(s.activeServers())
	for _, c := range s.controls {
		if !s.isCalm(c.name, now, now) {
			continue
		}
		got, err := c.usableServers()
		if err != nil || got != want {
			s.report("SERVERS: %s considers %d servers usable, want %d (%v)", c.name, got, want, err)
		}
	}
}
