package platform

import (
	"cmp"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"testing"
	"time"
)

// olderCommit is the previous release, which runs next to the current build during a rolling
// upgrade.
const olderCommit = "e3359b21"

var olderBinary struct {
	once   sync.Once
	path   string
	reason string
}

// buildOlder builds the previous release from the repository's history. If that is not
// possible, reason says why.
func buildOlder() (path, reason string) {
	olderBinary.once.Do(func() {
		folder := filepath.Join(filepath.Dir(binary), "older")
		if err := os.MkdirAll(folder, 0o700); err != nil {
			olderBinary.reason = err.Error()
			return
		}
		path := filepath.Join(folder, "spanlanding")
		steps := fmt.Sprintf("git -C ../.. archive %s | tar -x -C %s && cd %s && go build -o %s ./cmd/spanlanding", olderCommit, folder, folder, path)
		if output, err := exec.Command("sh", "-c", steps).CombinedOutput(); err != nil {
			olderBinary.reason = strings.TrimSpace(string(output)) + ": " + err.Error()
			return
		}
		olderBinary.path = path
	})
	return olderBinary.path, olderBinary.reason
}

const (
	twoBuildsKind = "two-builds"
	// upgradePause is the time between the replacement of two nodes.
	upgradePause = 1500 * time.Millisecond
)

// setBuild selects the build that the node runs from its next start on.
func (s *soak) setBuild(c *control, path string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c.binary = path
	if path != binary {
		s.ranOlderBuild[c.name] = true
	}
}

// swapBuild replaces a node by one that runs the other build.
func (s *soak) swapBuild(c *control) {
	path, reason := buildOlder()
	if reason != "" {
		s.t.Logf("no older build available: %s", reason)
		return
	}
	if c.binary == path {
		path = binary
	}
	s.mu.Lock()
	wentBack := s.storeRolledBack
	s.mu.Unlock()
	if wentBack && path != binary {
		return
	}
	s.setBuild(c, path)
	s.stopNode(c)
}

// startedBuild matches the build that a node logs at startup.
var startedBuild = regexp.MustCompile(` build=\S+`)

// TestTwoBuildsSideBySide: half of the nodes run the previous release. Nodes are replaced
// one by one, first to one build and then to the other, so that each build leads once, with
// a configuration change and a store outage in between. Neither build may violate a rule.
func TestTwoBuildsSideBySide(t *testing.T) {
	if testing.Short() {
		t.Skip("takes a minute")
	}
	path, reason := buildOlder()
	if reason != "" {
		t.Skipf("%s is not in the history, or cannot be built: %s", olderCommit, reason)
	}
	s := startSoak(t, soakOptions{seed: 1, duration: time.Second, nodes: regressionNodes, kinds: firstKinds(), hasProxies: true, slack: busySlack})
	faultsEndedAt := s.run(func() {
		for i, c := range s.controls {
			if i%2 == 0 {
				s.swapBuild(c)
				time.Sleep(upgradePause)
			}
		}
		s.activeFaults.Wait()
		for _, to := range []string{path, binary} {
			s.storeFault("down", upgradePause, func(on bool) { s.store.unavailable = on })
			time.Sleep(upgradePause / 2)
			s.changeConfiguration()
			for _, c := range s.controls {
				if cmp.Or(c.binary, binary) != to {
					s.setBuild(c, to)
					s.stopNode(c)
					time.Sleep(upgradePause)
				}
			}
			s.activeFaults.Wait()
			time.Sleep(soakReconnect)
		}
	})
	s.finish(faultsEndedAt)
	led := map[string]bool{}
	for _, n := range s.nodes {
		for life := range strings.SplitSeq(n.log(), "event=node_started") {
			if build := startedBuild.FindString(life); build != "" && strings.Contains(life, "event=lease_taken") {
				led[build] = true
			}
		}
	}
	if len(led) != 2 {
		t.Errorf("builds that led: %v, want this one and the older one", led)
	}
}
