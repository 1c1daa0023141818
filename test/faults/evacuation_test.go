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

// evacuationTime is how long the zone stays out of service, while some 40 requests
// come.
const evacuationTime = 2 * time.Second

// TestEvacuatedZoneGetsNothing takes a zone out of service under load and takes
// that back. While it is in force at all nodes no request, call or load begins at
// the zone's back ends, by their own books; the rules hold throughout.
func TestEvacuatedZoneGetsNothing(t *testing.T) {
	f := startFleet(t)
	var from, to time.Time
	f.underLoad(run{duration: changeTime, script: func(reached) {
		f.declareZones(evacuationOfOsloB)
		from = time.Now()
		time.Sleep(evacuationTime)
		to = time.Now()
		f.declareZones(noEvacuation)
	}, rules: []check.Rule{check.RuleConfig}})
	f.judgeEvacuation(from, to)
}

// TestEvacuationOutlivesNodesAndTheStore kills a node of the evacuated zone and one of
// another while the store is down, and starts them anew: they know of the evacuation by
// their peers, before they serve anybody.
func TestEvacuationOutlivesNodesAndTheStore(t *testing.T) {
	f := startFleet(t)
	eventually(t, "all nodes know all back ends", f.allKnowServices)
	f.declareZones(evacuationOfOsloB)
	from := time.Now()
	f.begun = from
	f.store(storeDown, "store-down")
	for _, zone := range []fleet.Zone{"oslo-b", "oslo-c"} {
		killed := f.nodesOf(zone)[0]
		f.killNode(killed)
		f.startNode(killed)
	}
	calls := 0
	for time.Since(from) < evacuationTime || !f.allReady() {
		for _, node := range f.nodes {
			// One that has just started refuses, or does not listen yet.
			if f.answered("http://" + node.caller() + "/slots/7") {
				calls++
			}
		}
		if time.Since(from) > patience {
			t.Fatal("a node that was started anew does not serve")
		}
	}
	to := time.Now()
	t.Logf("%d calls were answered", calls)
	f.judgeEvacuation(from, to)
	f.store(faults.Set{}, "")
	f.declareZones(noEvacuation)
}

// answered reports whether a call was answered by a back end.
func (f *testFleet) answered(url string) bool {
	response, err := client.Get(url)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// allKnowServices reports whether every node knows every server of a service: the list of
// machines lags, and is not read while the store is down.
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

// judgeEvacuation demands that nothing began in the zone oslo-b between the times, and
// that something did in the others.
func (f *testFleet) judgeEvacuation(from, to time.Time) {
	f.Helper()
	for _, zone := range zones {
		begun := f.begunIn(zone, from, to)
		f.Logf("%s: %d requests, calls and loads in %s", zone, begun, to.Sub(from).Round(time.Millisecond))
		if isEvacuated := zone == "oslo-b"; isEvacuated != (begun == 0) {
			f.Errorf("%d requests, calls and loads began in %s", begun, zone)
		}
	}
}

// declareZones applies the zones out of service and waits until they are so.
func (f *testFleet) declareZones(content string) {
	f.Helper()
	file := filepath.Join(f.folder, "zones.yaml")
	if err := os.WriteFile(file, []byte(content), 0o600); err != nil {
		f.Fatal(err)
	}
	code, version, problems := f.command("apply", "--platform", f.platform, "--owner", "zones", "--prune",
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

// begunIn counts what began at the back ends of a zone within a time.
func (f *testFleet) begunIn(zone fleet.Zone, from, to time.Time) int {
	f.Helper()
	within := func(at time.Time) bool { return at.After(from) && at.Before(to) }
	count := 0
	for url, of := range f.backendURLs() {
		var book books.Book
		if of != zone {
			continue
		}
		if !get(url+"/lab/books", &book) {
			f.Fatalf("the book at %s cannot be read", url)
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
