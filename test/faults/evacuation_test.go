package faults

import (
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
)

// evacuationTime is how long the zone stays out of service, while some 40 requests
// come.
const evacuationTime = 2 * time.Second

// TestEvacuatedZoneGetsNothing takes a zone out of service under load and takes
// that back. While it is in force at all nodes no request, call or load begins at
// the zone's back ends, by their own books; the rules hold throughout.
func TestEvacuatedZoneGetsNothing(t *testing.T) {
	f := startFleet(t)
	folder := filepath.Join(f.folder, "evacuations")
	if err := os.Mkdir(folder, 0o700); err != nil {
		t.Fatal(err)
	}
	file := filepath.Join(folder, "zones.yaml")
	var from, to time.Time
	f.underLoad(run{duration: changeTime, script: func(reached) {
		f.declareZones(file, "kind: Evacuation\nmetadata: {name: oslo-b}\nspec: {reason: the racks move}\n")
		from = time.Now()
		time.Sleep(evacuationTime)
		to = time.Now()
		f.declareZones(file, "# No zone is out of service.\n")
	}, rules: []check.Rule{check.RuleConfig}})
	for _, zone := range zones {
		begun := f.begunIn(zone, from, to)
		t.Logf("%s: %d requests, calls and loads in %s", zone, begun, to.Sub(from).Round(time.Millisecond))
		if isEvacuated := zone == "oslo-b"; isEvacuated != (begun == 0) {
			t.Errorf("%d requests, calls and loads began in %s", begun, zone)
		}
	}
}

// declareZones applies the zones out of service and waits until they are so.
func (f *testFleet) declareZones(file, content string) {
	f.Helper()
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
