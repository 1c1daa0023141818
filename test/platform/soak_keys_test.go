package platform

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

// keyProbeInterval is the time between two questions whether a withdrawn key is served.
const keyProbeInterval = 300 * time.Millisecond

// keyProbe is a command that was sent with a key which had been withdrawn.
type keyProbe struct {
	node            string
	withdrawn, sent time.Time
	done            time.Time
	status          int
}

// versionKey is the key that only one version of the configuration has.
func versionKey(version int) string { return fmt.Sprintf("%s-%d", soakKey, version) }

// probeKeys asks a node on one kept connection with the key that was withdrawn last.
func (s *soak) probeKeys(n *node) {
	client := &http.Client{Timeout: 2 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 1}}
	for number := 0; !s.isStopping(); number++ {
		time.Sleep(keyProbeInterval)
		s.mu.Lock()
		version, withdrawn := s.version-1, s.configTimes[s.version]
		s.mu.Unlock()
		if version < 1 {
			continue
		}
		probe := keyProbe{node: n.name, withdrawn: withdrawn, sent: time.Now()}
		r := soakRequest{id: fmt.Sprintf("%s-key-%d", n.name, number), path: "/command/x"}
		request := r.build(n, strings.NewReader("body"), 4)
		request.Header.Set("Api-Key", versionKey(version))
		if response, err := client.Do(request); err == nil {
			_, _ = io.Copy(io.Discard, response.Body)
			_ = response.Body.Close()
			probe.status = response.StatusCode
		}
		probe.done = time.Now()
		s.mu.Lock()
		s.keyProbes = append(s.keyProbes, probe)
		s.mu.Unlock()
	}
}

// checkKeys reads whether a node in touch served a key after its time.
func (s *soak) checkKeys() {
	for _, probe := range s.keyProbes {
		late := probe.sent.Sub(probe.withdrawn) > configApplyBound+s.options.slack
		if late && probe.status == http.StatusOK && s.isCalm(probe.node, probe.withdrawn, probe.done) {
			s.report("CONFIG: %s served a key %v after it was withdrawn", probe.node, probe.sent.Sub(probe.withdrawn))
		}
	}
}
