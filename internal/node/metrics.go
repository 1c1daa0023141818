package node

import (
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/spanlanding/spanlanding/internal/backend"
	"github.com/spanlanding/spanlanding/internal/catalog"
	"github.com/spanlanding/spanlanding/internal/fleet"
	"github.com/spanlanding/spanlanding/internal/leadership"
	"github.com/spanlanding/spanlanding/internal/placement"
	"github.com/spanlanding/spanlanding/internal/views"
)

// metricPrefix starts the names of the node's own metrics. The gateway and the traffic
// counters have prefixes of their own.
const metricPrefix = "spanlanding_node_"

// controlMetrics counts what the control shell does. Units are part of the metric names.
type controlMetrics struct {
	claims            *prometheus.CounterVec
	leadershipChanges prometheus.Counter
	orders            *prometheus.CounterVec
	refusedWants      prometheus.Counter
	leading           atomic.Bool
}

func newControlMetrics(registerer prometheus.Registerer) *controlMetrics {
	created := &controlMetrics{
		claims: prometheus.NewCounterVec(prometheus.CounterOpts{Name: metricPrefix + "engine_claims_total",
			Help: "Claims of engines for this node's leadership, by result."}, []string{"result"}),
		leadershipChanges: prometheus.NewCounter(prometheus.CounterOpts{Name: metricPrefix + "leadership_changes_total",
			Help: "Times that this node began or ceased to lead its zone."}),
		orders: prometheus.NewCounterVec(prometheus.CounterOpts{Name: metricPrefix + "orders_total",
			Help: "Orders sent to engines, by action and result."}, []string{"action", "result"}),
		refusedWants: prometheus.NewCounter(prometheus.CounterOpts{Name: metricPrefix + "refused_loads_total",
			Help: "Models that waiting requests wanted and that the zone's leader refused to load, told to this node."}),
	}
	register(registerer, created.claims, created.leadershipChanges, created.orders, created.refusedWants)
	return created
}

func register(registerer prometheus.Registerer, collectors ...prometheus.Collector) {
	if registerer != nil {
		registerer.MustRegister(collectors...)
	}
}

func (m *controlMetrics) claimAnswered(result leadership.ClaimResult) {
	m.claims.WithLabelValues(claimResultNames[result]).Inc()
}

var claimResultNames = map[leadership.ClaimResult]string{
	leadership.ClaimGranted:    "granted",
	leadership.ClaimRefused:    "refused",
	leadership.ClaimUnanswered: "lost",
}

func (m *controlMetrics) orderAnswered(action backend.Action, result placement.OrderResult, fenceStale bool) {
	name := orderResultNames[result]
	if fenceStale {
		name = "stale-fence"
	}
	m.orders.WithLabelValues(string(action), name).Inc()
}

var orderResultNames = map[placement.OrderResult]string{
	placement.OrderAccepted:   "accepted",
	placement.OrderRefused:    "refused",
	placement.OrderUnanswered: "lost",
}

func (m *controlMetrics) leadershipChanged(leading bool) {
	m.leading.Store(leading)
	m.leadershipChanges.Inc()
}

// catalogAge records when the catalog in force was published.
type catalogAge struct {
	changes prometheus.Counter
	// updatedAt is in Unix nanoseconds; 0 before the first catalog.
	updatedAt atomic.Int64
}

func watchCatalog(published *views.Views, registerer prometheus.Registerer) *catalogAge {
	age := &catalogAge{
		changes: prometheus.NewCounter(prometheus.CounterOpts{Name: metricPrefix + "config_changes_total",
			Help: "Configurations that this node put in force."}),
	}
	register(registerer, age.changes)
	published.Catalog.Watch(func(*catalog.Snapshot) {
		age.changes.Inc()
		age.updatedAt.Store(time.Now().UnixNano())
	})
	return age
}

// viewCollector reads the views that the shells publish at each scrape.
type viewCollector struct {
	node *Node
}

var _ prometheus.Collector = viewCollector{}

func describe(name, help string, labels ...string) *prometheus.Desc {
	return prometheus.NewDesc(name, help, labels, nil)
}

var (
	readyDesc     = describe(metricPrefix+"ready", "1 if the node has declarations in force and takes callers.")
	drainingDesc  = describe(metricPrefix+"draining", "1 during a planned stop.")
	membersDesc   = describe(metricPrefix+"members", "Members known, this node included, by zone and state.", "zone", "state")
	versionDesc   = describe(metricPrefix+"config_version", "Store revision of the configuration in force.")
	evacuatedDesc = describe(metricPrefix+"evacuated_zones", "Zones out of service by the configuration in force.")
	barredDesc    = describe(metricPrefix+"barred_requests", "Requests that end each server that runs them, and are sent to none.")
	ageDesc       = describe(metricPrefix+"config_age_seconds", "Time since the configuration in force was put in force.")
	leadingDesc   = describe(metricPrefix+"leading", "1 if this node leads its zone.")
	tableAgeDesc  = describe(metricPrefix+"table_age_seconds", "Time since a zone's route table last changed here.", "zone")
	enginesDesc   = describe(metricPrefix+"engines", "Engines in the own zone's route table, by whether they leave.", "leaving")
	memoryDesc    = describe(metricPrefix+"accelerator_bytes", "Accelerator memory of the own zone's engines, by use.", "use")
	replicasDesc  = describe(metricPrefix+"replicas", "Models on the own zone's engines, by state.", "state")
	recordsDesc   = describe(metricPrefix+"keeper_records", "Records of keys that this node keeps.")
	seatsDesc     = describe(metricPrefix+"keeper_seats", "Slots of the table of keepers that this node has a seat in.")
)

// Describe implements prometheus.Collector.
func (c viewCollector) Describe(descs chan<- *prometheus.Desc) {
	for _, desc := range []*prometheus.Desc{
		readyDesc, drainingDesc, membersDesc, versionDesc, evacuatedDesc, barredDesc, ageDesc, leadingDesc,
		tableAgeDesc, enginesDesc, memoryDesc, replicasDesc, recordsDesc, seatsDesc,
	} {
		descs <- desc
	}
}

// gauges is a metrics channel with helpers for gauge values.
type gauges chan<- prometheus.Metric

func (g gauges) set(desc *prometheus.Desc, value float64, labels ...string) {
	g <- prometheus.MustNewConstMetric(desc, prometheus.GaugeValue, value, labels...)
}

func (g gauges) flag(desc *prometheus.Desc, value bool) {
	if value {
		g.set(desc, 1)
		return
	}
	g.set(desc, 0)
}

// Collect implements prometheus.Collector. It takes no lock that a shell holds for long, and
// waits for no mailbox.
func (c viewCollector) Collect(metrics chan<- prometheus.Metric) {
	node, gauges, now := c.node, gauges(metrics), time.Now()
	gauges.flag(readyDesc, operatorSource{node: node}.Ready() == nil)
	gauges.flag(drainingDesc, node.draining.Load())
	gauges.flag(leadingDesc, node.control.metrics.leading.Load())
	gauges.set(versionDesc, float64(node.configVersion()))
	gauges.set(barredDesc, float64(node.suspects.Barred()))
	gauges.set(evacuatedDesc, float64(len(node.evacuatedZones())))
	if since := node.catalogAge.updatedAt.Load(); since > 0 {
		gauges.set(ageDesc, now.Sub(time.Unix(0, since)).Seconds())
	}
	gauges.set(recordsDesc, float64(node.claims.recordCount.Load()))
	gauges.set(seatsDesc, float64(len(node.claims.ownSlots())))
	c.collectMembers(gauges)
	c.collectTables(gauges, now)
}

func (c viewCollector) collectMembers(gauges gauges) {
	type group struct {
		zone  fleet.Zone
		state fleet.MemberState
	}
	counts := make(map[group]int)
	members, _ := c.node.views.Members.Get()
	for _, member := range members {
		counts[group{member.Zone, member.State}]++
	}
	for group, count := range counts {
		gauges.set(membersDesc, float64(count), string(group.zone), string(group.state))
	}
}

func (c viewCollector) collectTables(gauges gauges, now time.Time) {
	for zone, received := range c.node.tableAges.snapshot() {
		gauges.set(tableAgeDesc, now.Sub(received).Seconds(), string(zone))
	}
	tables, _ := c.node.views.RouteTables.Get()
	table := tables[c.node.self.Zone]
	var staying, leaving int
	var total, reserved, used int64
	replicas := make(map[fleet.LoadState]int)
	for _, engine := range table.Engines {
		if engine.Leaving {
			leaving++
		} else {
			staying++
		}
		total += engine.MemoryBytes
		reserved += engine.KVReserveBytes
		used += engine.UsedBytes()
		for _, loaded := range engine.Models {
			replicas[loaded.State]++
		}
	}
	gauges.set(enginesDesc, float64(staying), "false")
	gauges.set(enginesDesc, float64(leaving), "true")
	gauges.set(memoryDesc, float64(used), "models")
	gauges.set(memoryDesc, float64(reserved), "kv-reserve")
	gauges.set(memoryDesc, float64(total-reserved-used), "free")
	for _, state := range []fleet.LoadState{fleet.LoadLoading, fleet.LoadReady, fleet.LoadUnloading} {
		gauges.set(replicasDesc, float64(replicas[state]), string(state))
	}
}
