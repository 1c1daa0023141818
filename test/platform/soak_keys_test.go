package platform

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

// keyProbeInterval is the interval of probes with a withdrawn key.
const keyProbeInterval = 300 * time.Millisecond

// keyProbe is a command that was sent with a withdrawn API key.
type keyProbe struct {
	node            string
	withdrawn, sent time.Time
	done            time.Time
	status          int
}

// versionKey returns the API key that only this version of the configuration contains.
func versionKey(version int) string { return fmt.Sprintf("%s-%d", soakKey, version) }

// probeKeys sends commands with the most recently withdrawn key over a keep-alive
// connection.
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

// checkKeys reports undisturbed nodes that accepted a withdrawn key after the time limit.
func (s *soak) checkKeys() {
	for _, probe := range s.keyProbes {
		late := probe.sent.Sub(probe.withdrawn) > configApplyBound+s.options.slack
		if late && probe.status == http.StatusOK && s.isCalm(probe.node, probe.withdrawn, probe.done) {
			s.report("CONFIG: %s accepted a key %v after it was withdrawn", probe.node, probe.sent.Sub(probe.withdrawn))
		}
	}
}
