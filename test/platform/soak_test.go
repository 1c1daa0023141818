package platform

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"os"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"
)

// The soak plays faults that are drawn from a seed over real processes, by the
// real clock, and judges by the books of the stand-ins. Faults come one over the
// other and in series. A short one of fixed seeds is part of the tests; a longer
// one is asked for: go test ./test/platform -run '^TestSoak$' -soak 60s -soak.seed 1.
var (
	soakTime  = flag.Duration("soak", 0, "how long the soak draws faults; 0 is not at all")
	soakSeed  = flag.Uint64("soak.seed", 1, "the seed of its faults")
	soakNodes = flag.Int("soak.nodes", 6, "the number of its nodes")
	soakKinds = flag.String("soak.kinds", "", "the kinds of faults that it draws, with commas between; empty is all")
	soakPlain = flag.Bool("soak.plain", false, "no relays between processes, for builds that know no --peers-listen")
)

const (
	soakModels       = 8
	soakModelServers = 5
	soakCommands     = 3
	soakDeadline     = 6 * time.Second
	// soakQuietPeriod is the time without faults at the end, soakRecover of which the
	// fleet has to recover.
	soakQuietPeriod = 10 * time.Second
	soakRecovery    = 6 * time.Second
	// soakDrain bounds new work at a server after its entry says that it leaves.
	soakDrain = 2 * time.Second
	// soakReconnect is how long after a trouble rules with a time do not count.
	soakReconnect = 4 * time.Second
	// soakLoads bounds the loads that begin in soakLoadWindow.
	soakLoadWindow = 5 * time.Second
	maxSoakLoads   = 25
	// soakGrace is the time that a planned stop has (graceS of the settings), and
	// soakEnd when it is looked whether it ended.
	soakGrace        = 4 * time.Second
	soakStopDeadline = soakGrace + 500*time.Millisecond
	// maxFaultPause is the longest time between two draws of a storm, mostFaults the most
	// draws, and soakCalm how long after it, beyond soakContact, callers are judged in
	// calm times.
	maxFaultPause  = 1200 * time.Millisecond
	maxFaults      = 10
	soakCalmPeriod = 2 * time.Second
	// maxNodes bounds a run: a few hundred processes, and one address each.
	maxNodes = 200
	// firstSoakIP leaves 127.0.0.1 to the callers, so that relays can tell nodes
	// apart by their addresses.
	firstSoakIP = 11
)

// outcome is one request's end, as its caller saw it.
type outcome struct {
	id, node string
	// route is the kind of route: command, models, or added.
	route      string
	sent, done time.Time
	// sending is how long the caller took to send it.
	sending      time.Duration
	status       int
	bodyComplete bool
	// model is what was asked for; empty for commands.
	model string
	// refusedAsPoison is set where it was refused as a poison request.
	refusedAsPoison bool
	// callerLeft is set where the caller went away in the middle.
	callerLeft bool
	err        error
}

// soakOptions are one run's.
type soakOptions struct {
	seed     uint64
	duration time.Duration
	nodes    int
	kinds    []kind
	// hasProxies puts relays between all processes.
	hasProxies bool
	// slack is added to bounds in time, where the machine may be busy.
	slack time.Duration
	// maxPoisonRefusals bounds the requests that are refused as poison requests; 0 where nothing does.
	maxPoisonRefusals int
}

// soak is one run.
type soak struct {
	*fleet
	options  soakOptions
	random   *rand.Rand
	controls []*control

	mu           sync.Mutex
	version      int
	configTimes  map[int]time.Time
	disturbances []disturbance
	outcomes     []outcome
	checkedCount int
	probes       map[string][]probe
	// keyProbes are what became of requests with withdrawn keys.
	keyProbes []keyProbe
	servers   []*modelServer
	drainedAt map[string]time.Time
	lapsed    map[string]bool
	// poisons are the poison requests that came, by body.
	poisons  map[string]*soakPoison
	number   int
	findings []string
	// allowedRegions are where commands may run, by version.
	allowedRegions []regionRule
	// ordersHeldUntil is until when the orders of a holder of the lease are held.
	ordersHeldUntil time.Time
	// evacuations are those declared, in their order.
	evacuations []soakEvacuation
	// ranOlderBuild are the nodes that ran the landing before at some time.
	ranOlderBuild map[string]bool
	// crashed are the servers that ended under a poison request.
	crashed map[string]bool
	// config is what the operator wrote last, and wentBack is set once the store came back from a
	// copy.
	config          map[string]any
	storeRolledBack bool
	// traps are servers that only entries of another writer name.
	traps []*modelServer

	activeFaults sync.WaitGroup
	callers      sync.WaitGroup
	stop         chan struct{}
}

func TestSoak(t *testing.T) {
	if *soakTime == 0 {
		t.Skip("not asked for: -soak 60s")
	}
	kinds, err := parseKinds(*soakKinds)
	if err != nil {
		t.Fatal(err)
	}
	options := soakOptions{seed: *soakSeed, duration: *soakTime, nodes: *soakNodes, kinds: kinds, hasProxies: !*soakPlain}
	if err := options.check(); err != nil {
		t.Fatal(err)
	}
	runSoak(t, options)
}

// check finds what a run cannot be asked for.
func (o soakOptions) check() error {
	switch {
	case o.duration <= 0:
		return fmt.Errorf("soak: %v is no time", o.duration)
	case o.nodes < 1 || o.nodes > maxNodes:
		return fmt.Errorf("soak: %d nodes; 1 to %d can be asked for", o.nodes, maxNodes)
	case len(o.kinds) == 0:
		return fmt.Errorf("soak: no kinds of faults")
	}
	return nil
}

func newSoak(f *fleet, options soakOptions) *soak {
	return &soak{
		fleet: f, options: options, random: rand.New(rand.NewPCG(options.seed, 0x50a4)),
		configTimes: make(map[int]time.Time), drainedAt: make(map[string]time.Time), lapsed: make(map[string]bool),
		poisons: make(map[string]*soakPoison), ranOlderBuild: make(map[string]bool), crashed: make(map[string]bool),
		probes: make(map[string][]probe), stop: make(chan struct{}),
	}
}

func runSoak(t *testing.T, options soakOptions) {
	t.Helper()
	s := startSoak(t, options)
	s.finish(s.run(func() {
		for end := time.Now().Add(options.duration); time.Now().Before(end); {
			s.runFaults()
		}
	}))
}

// startSoak starts a fleet with servers and a configuration.
func startSoak(t *testing.T, options soakOptions) *soak {
	t.Helper()
	fleetOf := fleetOptions{
		count: options.nodes, seeds: `"127.0.0.11:1", "127.0.0.12:1"`, firstIP: firstSoakIP, hasProxies: options.hasProxies, hasMetrics: true,
	}
	if (&soak{options: options}).hasEvacuations() {
		fleetOf.bounds = evacuateLine
	}
	if options.changesRegions() {
		fleetOf.zones = options.nodeZones()
	}
	s := newSoak(newFleetWithOptions(t, fleetOf), options)
	for _, n := range s.nodes {
		s.controls = append(s.controls, newControl(n))
	}
	for range soakModelServers {
		s.addServer("models", 0)
	}
	for range soakCommands {
		s.addServer("commands", 0)
	}
	s.changeConfiguration()
	return s
}

// run lets callers come while the troubles are made, and for a time after them; it returns when
// the troubles were over.
func (s *soak) run(injectFaults func()) (calm time.Time) {
	s.awaitReady()
	s.hidesLogs = true
	s.startCallers()
	go s.checkPeriodically()
	injectFaults()
	calm = time.Now()
	time.Sleep(soakQuietPeriod + s.options.slack)
	return calm
}

// finish judges what was played.
func (s *soak) finish(calm time.Time) {
	s.checkUsableServers()
	close(s.stop)
	s.callers.Wait()
	s.checkAll(calm)
	s.writeLogs()
	for _, finding := range s.findings {
		s.t.Error(finding)
	}
}

// runFaults is some faults, one over the other, and then a calm in which all has to be
// right again.
func (s *soak) runFaults() {
	for range 1 + s.random.IntN(maxFaults) {
		s.startFault()
		time.Sleep(time.Duration(s.random.Float64() * float64(maxFaultPause)))
	}
	s.activeFaults.Wait()
	time.Sleep(soakReconnect + soakCalmPeriod + s.options.slack)
	s.checkUsableServers()
}

// startFault begins one fault; the one before need not have ended.
func (s *soak) startFault() {
	total := 0
	for _, k := range s.options.kinds {
		total += k.weight
	}
	drawn := s.random.IntN(total)
	for _, k := range s.options.kinds {
		if drawn -= k.weight; drawn < 0 {
			k.begin(s, drawFault(s))
			return
		}
	}
}

// addServer starts a server with an identity of its own, which is cold for a time.
func (s *soak) addServer(service string, cold time.Duration) *modelServer {
	s.mu.Lock()
	s.number++
	number, zone := s.number, s.leastUsedZone(service)
	s.mu.Unlock()
	m := &modelServer{
		id: fmt.Sprintf("i-%d", number), service: service, zone: zone, loadTime: 300 * time.Millisecond, streamPause: 30 * time.Millisecond,
		models: make(map[string]map[string]bool), runs: make(map[string]int), startedAt: make(map[string]time.Time), modelMB: 60, memoryMB: 200,
	}
	m.onPoison = func(writer http.ResponseWriter, request *http.Request, body string) {
		s.crashOnPoison(m, writer, request, body)
	}
	server := httptest.NewServer(m)
	s.t.Cleanup(server.Close)
	m.httpServer, m.startID = server, time.Now().UnixMilli()
	m.address = strings.TrimPrefix(server.URL, "http://")
	if s.options.hasProxies {
		m.proxy = newProxy(s.t, "127.0.0.1:0", m.address)
		m.address = m.proxy.address()
	}
	if cold > 0 {
		m.coldSince, m.coldUntil = time.Now(), time.Now().Add(cold)
	}
	m.register(s.store, "ready")
	s.mu.Lock()
	s.servers = append(s.servers, m)
	s.mu.Unlock()
	return m
}

// activeServers are the servers that have not left.
func (s *soak) activeServers() []*modelServer {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(s.servers), func(m *modelServer) bool {
		_, left := s.drainedAt[m.id]
		return left
	})
}

// changeConfiguration writes the next version, with one route more.
func (s *soak) changeConfiguration() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	models := []map[string]any{}
	for i := range soakModels {
		models = append(models, map[string]any{"name": fmt.Sprintf("m%d", i), "weightsMb": 60, "loadS": 0.3})
	}
	var added []map[string]any
	for version := 1; version <= s.version; version++ {
		added = append(added, map[string]any{
			"name": fmt.Sprintf("added-%d", version), "host": "host.example", "pathPrefix": fmt.Sprintf("/v%d/", version),
			"type": "safe", "service": "commands", "goalMs": 500,
		})
	}
	config := newConfig(s.version, added...)
	engine := config["services"].([]map[string]any)[1]["engine"].(map[string]any)
	engine["models"], engine["weightsMb"] = models, 200
	if s.hasColdServers() {
		config["services"].([]map[string]any)[1]["coldStartS"] = soakColdTime.Seconds()
		config["services"].([]map[string]any)[1]["coldPerS"] = soakColdPerS
	}
	s.setAllowedRegions(config)
	// The second key is another in each version: tenants come and go beside callers.
	config["tenants"] = []map[string]any{{
		"name": soakTenant, "apiKeys": []string{soakKey, versionKey(s.version)},
		"unit": "tokens", "plainTokens": 1, "ratePerS": 1e6, "burst": 1e6,
	}}
	s.config = config
	s.store.put("config", "main", config)
	s.configTimes[s.version] = time.Now()
}

// pickAddedRoute is a route that has been in force long enough, 0 where there is none.
func (s *soak) pickAddedRoute(random *rand.Rand) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	known := 0
	for version, at := range s.configTimes {
		if version > 1 && time.Since(at) > soakReconnect {
			known = max(known, version)
		}
	}
	if known < 2 {
		return 0
	}
	return 2 + random.IntN(known-1)
}

// writeLogs writes the nodes' logs where SOAK_LOGS says.
func (s *soak) writeLogs() {
	dir := os.Getenv("SOAK_LOGS")
	if dir == "" {
		return
	}
	for _, n := range s.nodes {
		_ = os.WriteFile(fmt.Sprintf("%s/seed-%d-%s.log", dir, s.options.seed, n.name), []byte(n.log()), 0o600)
	}
}
