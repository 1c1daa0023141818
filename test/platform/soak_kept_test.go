package platform

import (
	"cmp"
	"fmt"
	"strings"
	"testing"
	"time"
)

// regressionSeed is a run that failed once, or that showed what the soak can find.
type regressionSeed struct {
	seed uint64
	// kinds are those that it draws; "first" is those of firstKinds, "second" and "third" those of secondKinds and thirdKinds.
	kinds string
	// duration is how long it draws faults; keptTime where it is 0.
	duration time.Duration
	// maxPoisonRefusals is that of soakOptions.
	maxPoisonRefusals int
	// cause is why it failed, and on which code.
	cause string
}

// regressionSeeds are played by the short soak.
var regressionSeeds = []regressionSeed{
	{seed: 6, kinds: "store-tells-at-once", cause: "incident 0003: 2 of 8 living servers taken to work by all nodes, before news were dated by the last event"},
	{seed: 4, kinds: "store-lapse,store-deaf-lapse,store-down,kill", cause: "lapsed entries taken for gone, before bc2b274: 6 of 8 living servers"},
	{seed: 202, kinds: "first", cause: "all kinds of then: a node that had heard all servers as news was not ready for more than seven seconds"},
	{seed: 9410, kinds: "second", duration: 10 * time.Second, maxPoisonRefusals: 100, cause: "all kinds of then: callers who send alike were barred for 20 s, as theirs ran on the three servers that a poison request ended; 201 refused as poison requests"},
	{seed: 13002, kinds: "third", duration: 10 * time.Second, cause: "all kinds of today: a node that was frozen over a step back of the store told an evacuation on that had ended; 4 of 8 living servers taken to work"},
	{seed: 513, kinds: "first", cause: "all kinds of then: a word on a held entry went on at the choice of servers alone; 1 of 8 living servers taken to work"},
}

const (
	// keptTime is how long each kept seed draws faults, and keptNodes the nodes.
	keptTime  = 12 * time.Second
	keptNodes = 6
	// keptSlack is added to bounds in time: the machine may be busy.
	keptSlack = 3 * time.Second
)

// TestShortSoak plays the kept seeds, one over real processes after the other.
func TestShortSoak(t *testing.T) {
	if testing.Short() {
		t.Skip("takes a minute")
	}
	for _, kept := range regressionSeeds {
		kinds, err := parseKinds(kept.kinds)
		if err != nil {
			t.Fatalf("kept seed %d (%s): %v", kept.seed, kept.cause, err)
		}
		t.Run(fmt.Sprint(kept.seed), func(t *testing.T) {
			runSoak(t, soakOptions{
				seed: kept.seed, duration: cmp.Or(kept.duration, keptTime), nodes: keptNodes, kinds: kinds, hasProxies: true, slack: keptSlack,
				maxPoisonRefusals: kept.maxPoisonRefusals,
			})
		})
	}
}

// TestSoakRefusesWhatItCannotPlay: unknown kinds, no time, too many processes.
func TestSoakRefusesWhatItCannotPlay(t *testing.T) {
	if _, err := parseKinds("kill,earthquake"); err == nil || !strings.Contains(err.Error(), "earthquake") {
		t.Errorf("an unknown kind gives %v", err)
	}
	sound := soakOptions{duration: time.Second, nodes: 3, kinds: allKinds()}
	if err := sound.check(); err != nil {
		t.Errorf("a sound run gives %v", err)
	}
	for name, change := range map[string]func(o *soakOptions){
		"no time":        func(o *soakOptions) { o.duration = 0 },
		"no nodes":       func(o *soakOptions) { o.nodes = 0 },
		"too many nodes": func(o *soakOptions) { o.nodes = maxNodes + 1 },
		"no kinds":       func(o *soakOptions) { o.kinds = nil },
	} {
		options := sound
		change(&options)
		if options.check() == nil {
			t.Errorf("%s is played", name)
		}
	}
}
