package faults

import (
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/spanlanding/spanlanding/internal/fleet"
	"github.com/spanlanding/spanlanding/internal/lab/check"
	"github.com/spanlanding/spanlanding/internal/operator"
	"github.com/spanlanding/spanlanding/internal/standin/books"
	"github.com/spanlanding/spanlanding/internal/standin/faults"
)

// evacuationDuration is how long the zone stays evacuated; about 40 requests arrive
// in that time.
const evacuationDuration = 2 * time.Second

// TestEvacuatedZoneGetsNothing evacuates a zone under load and ends the evacuation.
// While it is in force at all nodes, no request, call or load may start at the zone's
// back ends according to their books, and all rules must hold throughout.
func TestEvacuatedZoneGetsNothing(t *testing.T) {
	f := startFleet(t)
	var from, to time.Time
	f.loadAndCheck(loadRun{duration: changeDuration, script: func(momentSignals) {
		f.applyEvacuations(evacuationOfOsloB)
		from = time.Now()
		time.Sleep(evacuationDuration)
		to = time.Now()
		f.applyEvacuations(noEvacuation)
	}, requiredRules: []check.Rule{check.RuleConfig}})
	f.checkEvacuation(from, to)
}

// TestEvacuationOutlivesNodesAndTheStore kills a node of the evacuated zone and one of
// another zone while the store is down, and restarts them. They must learn of the
// evacuation from their peers before they serve any caller.
func TestEvacuationOutlivesNodesAndTheStore(t *testing.T) {
	f := startFleet(t)
	eventually(t, "all nodes know all back ends", f.allKnowServices)
	f.applyEvacuations(evacuationOfOsloB)
	from := time.Now()
	f.loadStarted = from
	f.setStoreFaults(storeDown, "store-down")
	for _, zone := range []fleet.Zone{"oslo-b", "oslo-c"} {
		killed := f.nodesIn(zone)[0]
		f.killNode(killed)
		f.startNode(killed)
	}
	calls := 0
	for time.Since(from) < evacuationDuration || !f.allReady() {
		for _, node := range f.nodes {
			// A restarting node refuses calls or does not listen yet.
			if f.callSucceeds("http://" + node.caller() + "/slots/7") {
				calls++
			}
		}
		if time.Since(from) > waitTimeout {
			t.Fatal("a restarted node does not serve")
		}
	}
	to := time.Now()
	t.Logf("%d calls were answered", calls)
	f.checkEvacuation(from, to)
	f.setStoreFaults(faults.Set{}, "")
	f.applyEvacuations(noEvacuation)
}

// callSucceeds reports whether a back end answered the call with status 200.
func (f *testFleet) callSucceeds(url string) bool {
	response, err := client.Get(url)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// allKnowServices reports whether every node knows every server of a service. The
// machine list lags behind and cannot be read while the store is down.
func (f *testFleet) allKnowServices() bool {
	for _, node := range f.nodes {
		status, _ := f.status(node)
		known := 0
		for _, zone := range status.Zones {
			known += zone.Services
		}
		if known < f.services {
			return false
		}
	}
	return true
}

// allReady reports whether every node serves callers.
func (f *testFleet) allReady() bool {
	for _, node := range f.nodes {
		if status, up := f.status(node); !up || !status.Ready {
			return false
		}
	}
	return true
}

const (
	evacuationOfOsloB = "kind: Evacuation\nmetadata: {name: oslo-b}\nspec: {reason: the racks move}\n"
	noEvacuation      = "# No zone is out of service.\n"
)

// checkEvacuation requires that nothing started in the zone oslo-b between the two
// times, and that something did in each other zone.
func (f *testFleet) checkEvacuation(from, to time.Time) {
	f.Helper()
	for _, zone := range zones {
		started := f.startedIn(zone, from, to)
		f.Logf("%s: %d requests, calls and loads in %s", zone, started, to.Sub(from).Round(time.Millisecond))
		if isEvacuated := zone == "oslo-b"; isEvacuated != (started == 0) {
			f.Errorf("%d requests, calls and loads started in %s", started, zone)
		}
	}
}

// applyEvacuations applies a declaration of evacuations and waits until it is in force.
func (f *testFleet) applyEvacuations(content string) {
	f.Helper()
	file := filepath.Join(f.folder, "zones.yaml")
	if err := os.WriteFile(file, []byte(content), 0o600); err != nil {
		f.Fatal(err)
	}
	code, version, problems := f.runCommand("apply", "--platform", f.platform, "--owner", "zones", "--prune",
		"--zones", "oslo-a,oslo-b,oslo-c", "-o", "version", file)
	if code != operator.ExitDone {
		f.Fatalf("apply of %q ended with %d: %s", content, code, problems)
	}
	number, err := strconv.ParseUint(strings.TrimSpace(version), 10, 64)
	if err != nil {
		f.Fatalf("apply printed %q", version)
	}
	f.awaitVersion(f.nodes[0], number)
}

// startedIn counts the executions and loads that started at a zone's back ends in a time range.
func (f *testFleet) startedIn(zone fleet.Zone, from, to time.Time) int {
	f.Helper()
	within := func(at time.Time) bool { return at.After(from) && at.Before(to) }
	count := 0
	for url, backendZone := range f.backendURLs() {
		var book books.Book
		if backendZone != zone {
			continue
		}
		if !get(url+"/lab/books", &book) {
			f.Fatalf("cannot read the book at %s", url)
		}
		for _, execution := range book.Executions {
			if within(execution.Started) {
				count++
			}
		}
		for _, residency := range book.Residencies {
			if within(residency.From) {
				count++
			}
		}
	}
	return count
}
