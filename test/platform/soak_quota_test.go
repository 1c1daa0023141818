package platform

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"time"
)

const (
	// loudTenantKind restarts all nodes in turn while one tenant sends far more than its quota.
	loudTenantKind = "rolling-restart-loud-tenant"
	loudTenant     = "loud"
	loudKey        = "k-loud-71c0"
	// loudRate and loudBurst are the quota in requests a second and requests, and loudFactor is by how
	// much the tenant exceeds the rate.
	loudRate, loudBurst = 20, 40
	loudFactor          = 10
	// loudTail is the time for which the tenant goes on after the last node was told to stop.
	loudTail = 3 * time.Second
)

// Over any window of quotaWindow, no more requests may run than (rate * window + burst) * (1 + overage) + slack.
const (
	quotaWindow  = 8 * time.Second
	quotaOverage = 0.1
	quotaSlack   = 10
)

// loudRequest is one request of the loud tenant, as its caller saw it.
type loudRequest struct {
	id     string
	sent   time.Time
	status int
}

func tenantKinds() []kind {
	return []kind{{loudTenantKind, 1, func(s *soak, d drawnFault) { s.restartBesideLoudTenant(d) }}}
}

// quotaBounds are the settings of nodes that hold tenants to their quotas.
func quotaBounds() string {
	return fmt.Sprintf("quotaWindowS = %g\nquotaOverage = %g\nquotaSlack = %d\n", quotaWindow.Seconds(), quotaOverage, quotaSlack)
}

func loudTenantConfig() map[string]any {
	return map[string]any{
		"name": loudTenant, "apiKeys": []string{loudKey}, "unit": "tokens", "plainTokens": 1, "ratePerS": loudRate, "burst": loudBurst,
	}
}

// restartBesideLoudTenant stops all nodes in turn, each third one by a kill, and starts them again.
func (s *soak) restartBesideLoudTenant(drawn drawnFault) {
	var steps []any
	sending := loudTail
	for i, c := range s.controls {
		pause := 200*time.Millisecond + drawn.pauses[i%len(drawn.pauses)]
		sending += pause
		restart := func() { s.stopNode(c) }
		if (i+drawn.server)%3 == 0 {
			restart = func() { s.kill(c, pause) }
		}
		steps = append(steps, restart, pause)
	}
	s.runSteps(steps...)
	s.runSteps(func() { s.sendLoudly(rand.New(rand.NewPCG(s.options.seed, uint64(drawn.server))), sending) })
}

// sendLoudly sends commands of the loud tenant to all nodes, for the given time.
func (s *soak) sendLoudly(random *rand.Rand, period time.Duration) {
	client := &http.Client{Timeout: soakDeadline, Transport: &http.Transport{MaxIdleConnsPerHost: 8}}
	defer client.CloseIdleConnections()
	ticker := time.NewTicker(time.Second / (loudFactor * loudRate))
	defer ticker.Stop()
	for end := time.Now().Add(period); time.Now().Before(end); {
		<-ticker.C
		n := s.nodes[random.IntN(len(s.nodes))]
		s.mu.Lock()
		s.loudCount++
		r := soakRequest{id: fmt.Sprintf("%s-%d", loudTenant, s.loudCount), path: "/command/x"}
		s.mu.Unlock()
		s.startCaller(func() { s.sendLoud(client, n, r) })
	}
}

func (s *soak) sendLoud(client *http.Client, n *node, r soakRequest) {
	request := r.build(n, strings.NewReader("body"), 4)
	request.Header.Set("Api-Key", loudKey)
	loud := loudRequest{id: r.id, sent: time.Now()}
	if response, err := client.Do(request); err == nil {
		_, _ = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
		loud.status = response.StatusCode
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.loudRequests = append(s.loudRequests, loud)
}

// tenantOf returns the tenant whose request has the ID.
func tenantOf(id string) string {
	if strings.HasPrefix(id, loudTenant+"-") {
		return loudTenant
	}
	return soakTenant
}

// checkQuota holds what servers ran of the loud tenant to its quota, in every window.
func (s *soak) checkQuota(runCounts map[string]int) {
	statusCounts := make(map[int]int)
	for _, loud := range s.loudRequests {
		statusCounts[loud.status]++
		s.checkRunCount(outcome{id: loud.id, status: loud.status}, runCounts[loud.id])
	}
	var started []time.Time
	for _, m := range s.servers {
		for id, at := range m.startedAt {
			if tenantOf(id) == loudTenant {
				started = append(started, at)
			}
		}
	}
	slices.SortFunc(started, time.Time.Compare)
	allowed := (loudRate*quotaWindow.Seconds()+loudBurst)*(1+quotaOverage) + quotaSlack
	most, from := 0, time.Time{}
	for _, at := range started {
		if ran := countBetween(started, at, at.Add(quotaWindow)); ran > most {
			most, from = ran, at
		}
	}
	if len(s.loudRequests) > 0 {
		s.t.Logf("loud tenant: %d ran, answers by status %v, %d in the busiest window of %v, %.0f allowed", len(started), statusCounts, most, quotaWindow, allowed)
	}
	if float64(most) > allowed {
		s.report("QUOTA: %d requests of %s ran in %v from %s on, allowed %.0f", most, loudTenant, quotaWindow, from.Format("15:04:05.000"), allowed)
	}
}
