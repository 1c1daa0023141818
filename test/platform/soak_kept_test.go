package platform

import (
	"cmp"
	"fmt"
	"strings"
	"testing"
	"time"
)

// regressionSeed is a run that once failed, or that shows what the soak can detect.
type regressionSeed struct {
	seed uint64
	// kinds are the kinds to draw from, as in -soak.kinds: "first", "second" and "third" select
	// firstKinds, secondKinds and thirdKinds.
	kinds string
	// duration is how long faults are drawn; 0 means regressionDuration.
	duration time.Duration
	// maxPoisonRefusals sets the field of soakOptions.
	maxPoisonRefusals int
	// cause is the fault in the code that made the run fail.
	cause string
}

// regressionSeeds are played by TestShortSoak.
var regressionSeeds = []regressionSeed{
	{seed: 6, kinds: "store-tells-at-once", cause: "all nodes considered only 2 of 8 running servers usable, before news were dated by the last event"},
	{seed: 4, kinds: "store-lapse,store-deaf-lapse,store-down,kill", cause: "expired entries counted as removed servers, so that only 6 of 8 running servers were considered usable"},
	{seed: 202, kinds: "first", cause: "a node that had learned of all servers from other nodes was not ready for more than seven seconds"},
	{seed: 9410, kinds: "second", duration: 10 * time.Second, maxPoisonRefusals: 100, cause: "similar requests were blocked for 20 s because they ran on the three servers that a poison request crashed; 201 were refused as poison requests"},
	{seed: 13002, kinds: "third", duration: 10 * time.Second, cause: "a node that was frozen during a store rollback passed on an evacuation that had ended; only 4 of 8 running servers were considered usable"},
	{seed: 16019, kinds: "third", duration: 10 * time.Second, cause: "a node that noticed an outage late took all servers for gone, whose entries had expired in it; only 4 of 8 running servers were considered usable after the store went back"},
	{seed: 4032, kinds: "third", duration: 10 * time.Second, cause: "a node took all servers for gone whose entries expired in an outage that none of its calls saw, and those who heard of it held that against the restored copy for 30 s; only 6 of 8 running servers were considered usable"},
	{seed: 11, kinds: "servers-killed,kill,freeze,stop,same-id-again", duration: time.Second, cause: "an address that accepted connections was taken for a server that lives, so that short streams of servers that were starting again looked whole"},
	{seed: 513, kinds: "first", cause: "a notice about a retained entry had no effect beyond the choice of servers; only 1 of 8 running servers was considered usable"},
}

const (
	// regressionDuration is how long each regression seed draws faults, and regressionNodes the
	// number of nodes. busySlack is added to time limits, since the machine may be busy.
	regressionDuration = 12 * time.Second
	regressionNodes    = 6
	// busySlack is added to time limits, since the machine may be busy.
	busySlack = 3 * time.Second
)

// TestShortSoak plays the regression seeds one after the other with real processes.
func TestShortSoak(t *testing.T) {
	if testing.Short() {
		t.Skip("takes a minute")
	}
	for _, regression := range regressionSeeds {
		kinds, err := parseKinds(regression.kinds)
		if err != nil {
			t.Fatalf("regression seed %d (%s): %v", regression.seed, regression.cause, err)
		}
		t.Run(fmt.Sprint(regression.seed), func(t *testing.T) {
			runSoak(t, soakOptions{
				seed: regression.seed, duration: cmp.Or(regression.duration, regressionDuration), nodes: regressionNodes, kinds: kinds, hasProxies: true, slack: busySlack,
				maxPoisonRefusals: regression.maxPoisonRefusals,
			})
		})
	}
}

// TestSoakRefusesWhatItCannotPlay: unknown kinds, a zero duration and too many nodes are
// rejected.
func TestSoakRefusesWhatItCannotPlay(t *testing.T) {
	if _, err := parseKinds("kill,earthquake"); err == nil || !strings.Contains(err.Error(), "earthquake") {
		t.Errorf("an unknown kind gives %v", err)
	}
	valid := soakOptions{duration: time.Second, nodes: 3, kinds: allKinds()}
	if err := valid.check(); err != nil {
		t.Errorf("valid options give %v", err)
	}
	for name, change := range map[string]func(o *soakOptions){
		"no time":        func(o *soakOptions) { o.duration = 0 },
		"no nodes":       func(o *soakOptions) { o.nodes = 0 },
		"too many nodes": func(o *soakOptions) { o.nodes = maxNodes + 1 },
		"no kinds":       func(o *soakOptions) { o.kinds = nil },
	} {
		options := valid
		change(&options)
		if options.check() == nil {
			t.Errorf("%s: accepted", name)
		}
	}
}
