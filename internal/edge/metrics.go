package edge

import (
	"net/http"
	"strconv"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"github.com/spanlanding/spanlanding/internal/clock"
	"github.com/spanlanding/spanlanding/internal/dispatch"
	"github.com/spanlanding/spanlanding/internal/inventory"
	"github.com/spanlanding/spanlanding/internal/locality"
	"github.com/spanlanding/spanlanding/internal/placer"
	"github.com/spanlanding/spanlanding/internal/storecall"
)

// metrics holds the Prometheus metrics of a node. Counters kept elsewhere are read on each
// scrape.
type metrics struct {
	registry          *prometheus.Registry
	requests          *prometheus.HistogramVec
	orders            *prometheus.CounterVec
	hints             *prometheus.CounterVec
	storeCalls        *prometheus.CounterVec
	storeWriteLatency prometheus.Histogram
	staleAnswers      *prometheus.CounterVec
	// eraChanges counts how often the store was restored from a copy, and invalidEras counts
	// responses whose era was rejected.
	eraChanges, invalidEras prometheus.Counter
	// outages counts how often a service became unreachable from this node.
	outages prometheus.Counter
}

const metricsPrefix = "spanlanding_edge_"

func newMetrics(node *Node) *metrics {
	m := &metrics{
		registry: prometheus.NewRegistry(),
		requests: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: metricsPrefix + "request_seconds", Help: "Time from arrival to the end of the final answer.",
			Buckets: []float64{0.01, 0.03, 0.1, 0.3, 1, 3, 10, 30},
		}, []string{"route", "outcome"}),
		orders: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: metricsPrefix + "orders_total", Help: "Orders given to servers, by their answer.",
		}, []string{"operation", "result"}),
		storeCalls: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: metricsPrefix + "store_calls_total", Help: "Calls to the object store; status 0 is no answer.",
		}, []string{"method", "kind", "status"}),
		storeWriteLatency: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: metricsPrefix + "store_write_seconds", Help: "Time of writes to the object store.",
			Buckets: []float64{0.005, 0.02, 0.1, 0.5, 2},
		}),
	}
	m.hints = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: metricsPrefix + "server_words_total", Help: "What servers told of themselves with answers, by where it was heard.",
	}, []string{"word", "from"})
	m.staleAnswers = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: metricsPrefix + "store_answers_left_out_total", Help: "Answers of the object store that changed nothing, as older than what is known.",
	}, []string{"kind", "from"})
	m.eraChanges = prometheus.NewCounter(prometheus.CounterOpts{
		Name: metricsPrefix + "store_era_changes_total", Help: "Times that the object store came back from a copy.",
	})
	m.invalidEras = prometheus.NewCounter(prometheus.CounterOpts{
		Name: metricsPrefix + "store_eras_doubtful_total", Help: "Answers of the object store whose era is not believed.",
	})
	m.outages = prometheus.NewCounter(prometheus.CounterOpts{
		Name: metricsPrefix + "services_unreachable_total", Help: "Times that no connection to any server of a service came up.",
	})
	m.registry.MustRegister(m.requests, m.orders, m.hints, m.storeCalls, m.storeWriteLatency, m.staleAnswers, m.eraChanges, m.invalidEras, m.outages)
	m.gauges(node)
	m.counters(node)
	return m
}

func (m *metrics) gauge(name, help string, read func() float64) {
	m.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: metricsPrefix + name, Help: help}, read))
}

func (m *metrics) counter(name, help string, read func() int64) {
	m.registry.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{Name: metricsPrefix + name, Help: help},
		func() float64 { return float64(read()) }))
}

func (m *metrics) gauges(node *Node) {
	m.gauge("requests_active", "Requests under way.", func() float64 { return float64(node.handler.Active()) })
	m.gauge("requests_waiting", "Requests that wait for a server.", func() float64 { return float64(node.handler.Waiting()) })
	build := prometheus.NewGaugeVec(prometheus.GaugeOpts{Name: metricsPrefix + "build_info", Help: "The build that runs; always 1."}, []string{"build"})
	build.WithLabelValues(node.options.Build).Set(1)
	m.registry.MustRegister(build)
	m.gauge("config_version", "Version of the configuration in force; 0 is none.", func() float64 {
		if table := node.handler.Table(); table != nil {
			return float64(table.Version)
		}
		return 0
	})
	m.gauge("ready", "1 while the node says that it is ready.", func() float64 { return boolValue(node.isReady()) })
	m.gauge("store_failing", "1 while the last call to the store failed.", func() float64 { return boolValue(node.storeFailing.Load()) })
	m.gauge("config_confirmed_seconds", "Time since some node's call to the store confirmed the configuration in force; -1 is never.", confirmedSeconds(&node.configConfirmed))
	m.gauge("servers_confirmed_seconds", "The same for the servers known.", confirmedSeconds(&node.serversConfirmed))
	m.gauge("evacuations_confirmed_seconds", "The same for the evacuated zones.", confirmedSeconds(&node.evacuations.confirmed))
	m.gauge("servers_awaiting_rewrite", "Servers of which an entry is kept that the store lost.", func() float64 {
		return float64(node.directory.countEarlierEra(clock.Now()))
	})
	m.gauge("zones_evacuated", "Zones to whose servers nothing new is sent.", func() float64 { return float64(len(node.evacuations.zones())) })
	m.gauge("lease_term", "Fencing token while this node holds the lease, else 0.", func() float64 {
		term, _ := node.leader.leadership()
		return float64(term)
	})
	m.gauge("peers_alive", "Other nodes heard from lately.", func() float64 {
		node.peers.mu.Lock()
		defer node.peers.mu.Unlock()
		return float64(len(node.peers.roster.Alive(clock.Now())))
	})
	m.gauge("services_unreachable", "Services to whose servers no connection comes up.", func() float64 { return float64(len(node.reachable.unreachable())) })
	m.gauge("requests_bytes", "Memory kept for requests in flight.", func() float64 { used, _ := node.memory.Used(); return float64(used) })
	m.gauge("requests_bytes_limit", "Memory that may be kept for requests in flight.", func() float64 { _, limit := node.memory.Used(); return float64(limit) })
	m.gauge("repeats_left", "Repeats that may be sent now, of the service that has least.", func() float64 { return node.handler.MinRetriesRemaining() })
	for _, state := range []dispatch.State{dispatch.StateReady, dispatch.StateDraining, dispatch.StateBackingOff, dispatch.StateEvacuated, dispatch.StateRateLimited, dispatch.StateSuspect} {
		m.gauge("servers_"+string(state), "Servers that are "+string(state)+".", func() float64 {
			count := 0
			node.dispatch.Do(func(core *dispatch.Core) { count = core.CountServers(clock.Now(), state) })
			return float64(count)
		})
	}
}

func confirmedSeconds(confirmed *confirmation) func() float64 {
	return func() float64 {
		age, ok := confirmed.age(clock.Now())
		if !ok {
			return -1
		}
		return age.Seconds()
	}
}

func boolValue(value bool) float64 {
	if value {
		return 1
	}
	return 0
}

func (m *metrics) counters(node *Node) {
	handlerMetrics := &node.handler.Metrics
	m.counter("repeats_total", "Requests sent to a server again.", handlerMetrics.Retries.Load)
	m.counter("resumed_total", "Streams taken up at another server.", handlerMetrics.Resumed.Load)
	m.counter("unproven_refusals_total", "Answers of servers and peers whose status promises that the request did not run, without a proof.", handlerMetrics.UnprovenRefusals.Load)
	m.counter("unframed_ends_total", "Answers of servers without a length that ended with their connection.", handlerMetrics.UnframedEnds.Load)
	m.counter("ended_with_server_total", "Answers without a length broken off, as their server had ended with them or gave no sign of life.", handlerMetrics.EndedWithServer.Load)
	m.counter("ended_by_reset_total", "Answers without a length broken off, as a reset followed their end.", handlerMetrics.EndedByReset.Load)
	m.counter("events_out_of_order_total", "Events not passed on, as they may not follow those before.", handlerMetrics.EventsOutOfOrder.Load)
	m.counter("heads_too_long_total", "Answers of servers and peers broken off, as their head was longer than is read.", handlerMetrics.HeadsTooLong.Load)
	m.counter("events_too_long_total", "Streams of servers and peers broken off, as an event was longer than is read.", handlerMetrics.EventsTooLong.Load)
	m.counter("memory_refused_total", "Requests for which there was no memory.", handlerMetrics.MemoryRefused.Load)
	m.counter("rejected_total", "Sends that a server did not run.", handlerMetrics.Rejected.Load)
	m.counter("budget_empty_total", "Requests given up for want of a repeat.", handlerMetrics.BudgetEmpty.Load)
	m.counter("forwarded_total", "Requests that a peer took, as this node reaches no server.", handlerMetrics.Forwarded.Load)
	m.counter("forwards_declined_total", "Times that a peer did not take a request.", handlerMetrics.ForwardsDeclined.Load)
	m.counter("taken_from_peers_total", "Requests taken from peers that reach no server.", handlerMetrics.TakenFromPeers.Load)
	m.counter("dial_failures_total", "Connections to servers that did not come up.", handlerMetrics.DialFailures.Load)
	m.counter("connections_total", "Connections opened to servers.", node.pool.DialCount)
	m.counter("surplus_answers_total", "Answers of servers passed over, as they belong to another request than the one under way.", node.pool.StaleResponseCount)
	m.counter("requests_blamed_total", "Requests of this node under which servers ended.", node.suspects.reportedCrashes.Load)
	m.counter("requests_barred_total", "Requests that this node learned to bar, as they end each server that runs them.", node.suspects.barred.Load)
	m.counter("barred_refused_total", "Times that barred requests were refused.", node.handler.Metrics.BarredRefused.Load)
	m.counter("region_refused_total", "Requests refused as their regions have no server, or meet nowhere.", handlerMetrics.RegionRefused.Load)
	m.counter("streams_continued_total", "Streams that callers took up again and that went on.", handlerMetrics.StreamsContinued.Load)
	m.counter("stream_version_unknown_total", "Streams that did not go on, as no node knows which software version began them.", handlerMetrics.VersionUnknown.Load)
	m.counter("stream_version_gone_total", "Streams that did not go on, as no server of the software version that began them takes work.", handlerMetrics.VersionGone.Load)
	m.gauge("stream_origins", "Streams whose beginning this node remembers.", func() float64 { return float64(node.origins.size()) })
	m.counter("origin_checkpoints_written_total", "Writes to the store of where streams began.", node.origins.checkpoints.writes.Load)
	m.counter("origin_checkpoints_failed_total", "Reads and writes of these that failed.", node.origins.checkpoints.failures.Load)
	m.counter("stream_origins_recalled_total", "Streams whose beginning only the store knew.", node.origins.checkpoints.recalled.Load)
	m.gauge("requests_barred", "Requests that are barred now.", func() float64 { return float64(node.suspects.count()) })
	m.counter("quota_granted_total", "Requests of limited tenants within their quota.", node.quotas.granted.Load)
	m.counter("quota_refused_total", "Requests refused as beyond their tenant's quota.", node.quotas.refused.Load)
	m.counter("quota_alone_total", "Requests decided without a coordinator of quotas.", node.quotas.uncoordinated.Load)
	m.counter("quota_unanswered_total", "Questions to coordinators of quotas without an answer.", node.quotas.unanswered.Load)
	m.gauge("servers_cold", "Servers that bear little yet, as they have just started or come back.", func() float64 {
		count := 0
		node.dispatch.Do(func(core *dispatch.Core) { count = core.CountCold(clock.Now()) })
		return float64(count)
	})
	m.counter("cold_admitted_total", "Sends to cold servers that were granted.", node.admissions.admitted.Load)
	m.counter("limited_admitted_total", "Sends to servers that name a rate limit that were granted.", node.admissions.limitedAdmitted.Load)
	m.counter("limited_given_back_total", "Grants of such sends that were not used.", node.admissions.returnedGrants.Load)
	m.counter("cold_held_total", "Times that a send was held back at a cold or limited server.", node.handler.Metrics.ColdHeld.Load)
	m.counter("brittle_held_total", "Times that a send was held back as a brittle server might have to reject it.", node.admissions.riskHeld.Load)
	m.counter("cold_alone_total", "Sends to cold servers decided without a coordinator.", node.admissions.uncoordinated.Load)
	for kind := range trafficKindCount {
		m.counter("peer_"+kind.String()+"_bytes_total", "Bytes sent to peers: "+kind.String()+".", func() int64 { return node.peers.sentBytes.byKind(kind) })
	}
	for distance := range locality.DistanceCount {
		m.counter("peer_"+distance.String()+"_bytes_total", "Bytes sent to peers there.", func() int64 { return node.peers.sentBytes.byDistance(distance) })
		m.counter("servers_"+distance.String()+"_bytes_total", "Bytes of bodies to and from servers there.", handlerMetrics.ServerBytes[distance].Load)
	}
	m.counter("server_fields_unread_total", "Answers with a field by which a server tells of itself and which nodes do not read.", node.hints.unreadCount.Load)
	m.counter("datagrams_unreadable_total", "Datagrams of peers dropped as they could not be read.", func() int64 { return node.peers.unreadable.Load() })
	if node.options.UnreadableEntries != nil {
		m.counter("entries_unreadable_total", "Entries of servers that could not be read, each time that they came.", node.options.UnreadableEntries)
	}
	if node.options.DroppedLogLines != nil {
		m.counter("log_lines_dropped_total", "Log lines left out.", node.options.DroppedLogLines)
	}
}

// RecordStoreCall counts and logs a call to the object store.
func (n *Node) RecordStoreCall(call storecall.Call) {
	n.options.Logger.Info().Str("method", call.Method).Str("kind", call.Kind).Int("status", call.Status).
		Str("era", call.Era).Str("from", call.FromRevision).Int64("at", call.AtRevision).
		Int64("took_ms", call.Duration.Milliseconds()).Bool("sentinel", n.peers.isSentinel()).Msg("store_call")
	n.trackEra(call)
	n.metrics.storeCalls.WithLabelValues(call.Method, call.Kind, strconv.Itoa(call.Status)).Inc()
	if call.Method != http.MethodGet {
		n.metrics.storeWriteLatency.Observe(call.Duration.Seconds())
	}
}

// trackEra logs and counts changes of the era reported by the store.
func (n *Node) trackEra(call storecall.Call) {
	if call.Status == 0 {
		return
	}
	if call.EraError != nil {
		n.metrics.invalidEras.Inc()
		n.options.Logger.Warn().Str("kind", call.Kind).Str("era", call.Era).Str("error", call.EraError.Error()).Msg("store_era_doubtful")
		return
	}
	previous := n.storeEra.Swap(&call.Era)
	if previous == nil || *previous == call.Era {
		return
	}
	n.metrics.eraChanges.Inc()
	n.options.Logger.Warn().Str("before", *previous).Str("era", call.Era).Str("kind", call.Kind).Int64("at", call.AtRevision).Msg("store_era_changed")
}

func (m *metrics) order(order placer.Order, result placer.Result) {
	m.orders.WithLabelValues(order.Operation.String(), result.String()).Inc()
}

func (m *metrics) hint(hint inventory.Hint, from hintSource) {
	if hint.Draining {
		m.hints.WithLabelValues("leaving", string(from)).Inc()
	}
	if hint.Backoff > 0 {
		m.hints.WithLabelValues("rest", string(from)).Inc()
	}
	if hint.Limit.IsSet() {
		m.hints.WithLabelValues("limit", string(from)).Inc()
	}
}

func (m *metrics) handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{DisableCompression: true})
}
