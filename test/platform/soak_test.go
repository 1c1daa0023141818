package platform

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"slices"
	"sync"
	"testing"
	"time"
)

// The soak test runs real processes in real time under random faults drawn from a seed, and
// checks the results against what the fake servers and the fake store recorded. Faults
// overlap and come in sequences. TestShortSoak plays fixed seeds; for a longer run: go test
// ./test/platform -run '^TestSoak$' -soak 60s -soak.seed 1.
var (
	soakTime  = flag.Duration("soak", 0, "how long the soak draws faults; 0 skips it")
	soakSeed  = flag.Uint64("soak.seed", 1, "seed of the random faults")
	soakNodes = flag.Int("soak.nodes", 6, "number of nodes")
	soakKinds = flag.String("soak.kinds", "", "comma-separated kinds of faults to draw; empty means all")
	soakPlain = flag.Bool("soak.plain", false, "no proxies between processes, for builds without --peers-listen")
)

const (
	soakModels       = 8
	soakModelServers = 5
	soakCommands     = 3
	soakDeadline     = 6 * time.Second
	// soakQuietPeriod is the time without faults at the end, of which soakRecovery is left for
	// the fleet to recover.
	soakQuietPeriod = 10 * time.Second
	soakRecovery    = 6 * time.Second
	// soakDrain is the time within which new work at a server has to stop after its entry says
	// that it is draining.
	soakDrain = 2 * time.Second
	// soakReconnect is the time after a disturbance in which rules with a time limit do not
	// apply.
	soakReconnect = 4 * time.Second
	// maxSoakLoads bounds the model loads that start within soakLoadWindow.
	soakLoadWindow = 5 * time.Second
	maxSoakLoads   = 25
	// soakGrace is the grace period of a graceful stop (graceS in the settings), and
	// soakStopDeadline is when the exit is checked.
	soakGrace        = 4 * time.Second
	soakStopDeadline = soakGrace + 500*time.Millisecond
	// maxFaultPause is the longest pause between two faults of runFaults, and maxFaults their
	// maximum number. soakCalmPeriod is the time after them, beyond soakReconnect, in which
	// callers are checked by the rules for undisturbed periods.
	maxFaultPause  = 1200 * time.Millisecond
	maxFaults      = 10
	soakCalmPeriod = 2 * time.Second
	// maxNodes limits a run to a few hundred processes, each with its own address.
	maxNodes = 200
	// firstSoakIP leaves 127.0.0.1 to the callers, so that proxies can identify nodes by their
	// addresses.
	firstSoakIP = 11
)

// outcome is the outcome of one request as seen by its caller.
type outcome struct {
	id, node string
	// route is the type of route: command, models, or added.
	route      string
	sent, done time.Time
	// sending is the time the caller took to send the request.
	sending      time.Duration
	status       int
	bodyComplete bool
	// model is the requested model; empty for commands.
	model string
	// refusedAsPoison is set if the request was refused as a poison request.
	refusedAsPoison bool
	// callerLeft is set if the caller disconnected before the end.
	callerLeft bool
	err        error
}

// soakOptions configures a run.
type soakOptions struct {
	seed     uint64
	duration time.Duration
	nodes    int
	kinds    []kind
	// hasProxies puts proxies between all processes.
	hasProxies bool
	// slack is added to time limits, since the machine may be busy.
	slack time.Duration
	// maxPoisonRefusals bounds the requests refused as poison requests; 0 means no bound.
	maxPoisonRefusals int
}

// soak is one run of the soak test.
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
	// keyProbes holds the results of requests with withdrawn API keys.
	keyProbes []keyProbe
	servers   []*modelServer
	drainedAt map[string]time.Time
	expired   map[string]bool
	// poisons holds the poison requests that were sent, by body.
	poisons  map[string]*soakPoison
	number   int
	findings []string
	// allowedRegions holds where commands may run, in order of time.
	allowedRegions []regionRule
	// ordersHeldUntil is the time until which a lease holder's orders are blocked.
	ordersHeldUntil time.Time
	// evacuations holds the evacuations in order of time.
	evacuations []soakEvacuation
	// ranOlderBuild holds the nodes that have run the previous release.
	ranOlderBuild map[string]bool
	// crashed holds the servers that crashed on a poison request.
	crashed map[string]bool
	// config is the configuration written last, and storeRolledBack is set once the store has
	// been restored from a snapshot.
	config          map[string]any
	storeRolledBack bool
	// loudRequests holds the requests of the loud tenant, and loudCount is the number of those sent.
	loudRequests []loudRequest
	loudCount    int
	// peakMemory is the largest memory that each node has taken, in bytes.
	peakMemory map[string]int64
	// traps are servers that only unreadable entries name.
	traps []*modelServer

	activeFaults sync.WaitGroup
	callers      sync.WaitGroup
	stop         chan struct{}
}

func TestSoak(t *testing.T) {
	if *soakTime == 0 {
		t.Skip("skipped by default; use -soak 60s")
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

// check validates the options.
func (o soakOptions) check() error {
	switch {
	case o.duration <= 0:
		return fmt.Errorf("soak: duration %v is not positive", o.duration)
	case o.nodes < 1 || o.nodes > maxNodes:
		return fmt.Errorf("soak: %d nodes, want 1 to %d", o.nodes, maxNodes)
	case len(o.kinds) == 0:
		return fmt.Errorf("soak: no kinds of faults")
	}
	return nil
}

// draws reports whether the run draws this kind of fault. What a kind needs of the fleet, such as zones,
// cold servers or a second tenant, is there only in runs that draw it: others keep the setup that their
// seeds were recorded with.
func (o soakOptions) draws(name string) bool {
	return slices.ContainsFunc(o.kinds, func(k kind) bool { return k.name == name })
}

func newSoak(f *fleet, options soakOptions) *soak {
	return &soak{
		fleet: f, options: options, random: rand.New(rand.NewPCG(options.seed, 0x50a4)),
		configTimes: make(map[int]time.Time), drainedAt: make(map[string]time.Time), expired: make(map[string]bool),
		poisons: make(map[string]*soakPoison), ranOlderBuild: make(map[string]bool), crashed: make(map[string]bool),
		probes: make(map[string][]probe), peakMemory: make(map[string]int64), stop: make(chan struct{}),
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
	settings := fleetOptions{
		count: options.nodes, seeds: `"127.0.0.11:1", "127.0.0.12:1"`, firstIP: firstSoakIP, hasProxies: options.hasProxies, hasMetrics: true,
	}
	if options.draws(evacuateKind) {
		settings.bounds = evacuateLine
	}
	if options.draws(endlessKind) {
		settings.memoryMb = machineMemoryMb
	}
	if options.draws(loudTenantKind) {
		settings.bounds += quotaBounds()
	}
	if options.draws(allowedRegionsKind) {
		settings.zones = options.nodeZones()
	}
	s := newSoak(newFleetWithOptions(t, settings), options)
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

// run starts the callers, injects the faults, and waits for the quiet period. It returns the
// time at which the last fault ended.
func (s *soak) run(injectFaults func()) (faultsEndedAt time.Time) {
	s.awaitReady()
	s.hidesLogs = true
	s.startCallers()
	go s.checkPeriodically()
	injectFaults()
	faultsEndedAt = time.Now()
	time.Sleep(soakQuietPeriod + s.options.slack)
	return faultsEndedAt
}

// finish runs all checks and reports the violations.
func (s *soak) finish(faultsEndedAt time.Time) {
	s.checkUsableServers()
	close(s.stop)
	s.callers.Wait()
	s.checkAll(faultsEndedAt)
	s.writeLogs()
	for _, finding := range s.findings {
		s.t.Error(finding)
	}
}

// runFaults starts a number of overlapping faults, waits for their end and a calm period,
// and checks that all nodes have recovered.
func (s *soak) runFaults() {
	for range 1 + s.random.IntN(maxFaults) {
		s.startFault()
		time.Sleep(time.Duration(s.random.Float64() * float64(maxFaultPause)))
	}
	s.activeFaults.Wait()
	time.Sleep(soakReconnect + soakCalmPeriod + s.options.slack)
	s.checkUsableServers()
}

// startFault draws and starts one fault; earlier ones may still be active.
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

// addServer starts a server with a new identity, cold for the given time.
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
	m.endsWithConnection = s.options.draws(killedServerKind)
	m.listen(s.t)
	m.startID = time.Now().UnixMilli()
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

// activeServers returns the servers that have not started to drain.
func (s *soak) activeServers() []*modelServer {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(s.servers), func(m *modelServer) bool {
		_, isLeaving := s.drainedAt[m.id]
		return isLeaving
	})
}

// changeConfiguration writes the next version of the configuration, which has one more
// route.
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
	if s.options.draws(coldServersKind) {
		config["services"].([]map[string]any)[1]["coldStartS"] = soakColdTime.Seconds()
		config["services"].([]map[string]any)[1]["coldPerS"] = soakColdPerS
	}
	s.setAllowedRegions(config)
	// The second key differs in each version, so that API keys are added and withdrawn during
	// the run.
	config["tenants"] = []map[string]any{{
		"name": soakTenant, "apiKeys": []string{soakKey, versionKey(s.version)},
		"unit": "tokens", "plainTokens": 1, "ratePerS": 1e6, "burst": 1e6,
	}}
	if s.options.draws(loudTenantKind) {
		config["tenants"] = append(config["tenants"].([]map[string]any), loudTenantConfig())
	}
	s.config = config
	s.store.put("config", "main", config)
	s.configTimes[s.version] = time.Now()
}

// pickAddedRoute returns the version of an added route that has been in force long enough,
// or 0.
func (s *soak) pickAddedRoute(random *rand.Rand) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	newest := 0
	for version, at := range s.configTimes {
		if version > 1 && time.Since(at) > soakReconnect {
			newest = max(newest, version)
		}
	}
	if newest < 2 {
		return 0
	}
	return 2 + random.IntN(newest-1)
}

// writeLogs writes the nodes' logs to the directory in SOAK_LOGS, if set.
func (s *soak) writeLogs() {
	dir := os.Getenv("SOAK_LOGS")
	if dir == "" {
		return
	}
	for _, n := range s.nodes {
		_ = os.WriteFile(fmt.Sprintf("%s/seed-%d-%s.log", dir, s.options.seed, n.name), []byte(n.log()), 0o600)
	}
}
