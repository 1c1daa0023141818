package gateway

import "github.com/prometheus/client_golang/prometheus"

// metrics are the Prometheus metrics of the gateway.
type metrics struct {
	requests      *prometheus.CounterVec
	firstToken    *prometheus.HistogramVec
	duration      *prometheus.HistogramVec
	tokens        prometheus.Counter
	waiting       prometheus.Gauge
	waitingBytes  prometheus.Gauge
	queueWait     prometheus.Histogram
	coldStarts    prometheus.Counter
	retries       prometheus.Counter
	resumes       prometheus.Counter
	dropped       *prometheus.CounterVec
	running       prometheus.Gauge
	rateLimitHeld prometheus.Counter
}

// secondsBuckets range from a millisecond to ten minutes.
var secondsBuckets = prometheus.ExponentialBuckets(0.001, 2, 20)

const metricPrefix = "spanlanding_gateway_"

func newMetrics(registerer prometheus.Registerer) *metrics {
	created := &metrics{
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{Name: metricPrefix + "requests_total",
			Help: "Finished requests by kind, outcome and code."}, []string{"kind", "outcome", "code"}),
		firstToken: prometheus.NewHistogramVec(prometheus.HistogramOpts{Name: metricPrefix + "first_token_seconds",
			Help: "Time from arrival to the first token, by whether a load was waited for.", Buckets: secondsBuckets}, []string{"cold"}),
		duration: prometheus.NewHistogramVec(prometheus.HistogramOpts{Name: metricPrefix + "request_duration_seconds",
			Help: "Time from arrival to the end of the answer.", Buckets: secondsBuckets}, []string{"kind"}),
		tokens: prometheus.NewCounter(prometheus.CounterOpts{Name: metricPrefix + "tokens_total",
			Help: "Tokens delivered to callers."}),
		waiting: prometheus.NewGauge(prometheus.GaugeOpts{Name: metricPrefix + "waiting_requests",
			Help: "Requests in the queue."}),
		waitingBytes: prometheus.NewGauge(prometheus.GaugeOpts{Name: metricPrefix + "waiting_bytes",
			Help: "Bytes of the requests in the queue."}),
		queueWait: prometheus.NewHistogram(prometheus.HistogramOpts{Name: metricPrefix + "queue_wait_seconds",
			Help: "Time from arrival to release.", Buckets: secondsBuckets}),
		coldStarts: prometheus.NewCounter(prometheus.CounterOpts{Name: metricPrefix + "cold_starts_total",
			Help: "Requests that waited for a load."}),
		retries: prometheus.NewCounter(prometheus.CounterOpts{Name: metricPrefix + "retries_total",
			Help: "Further attempts after the first."}),
		resumes: prometheus.NewCounter(prometheus.CounterOpts{Name: metricPrefix + "resumes_total",
			Help: "Streams resumed at the same engine."}),
		dropped: prometheus.NewCounterVec(prometheus.CounterOpts{Name: metricPrefix + "dropped_chunks_total",
			Help: "Chunks not taken: crossed, late or duplicated."}, []string{"reason"}),
		running: prometheus.NewGauge(prometheus.GaugeOpts{Name: metricPrefix + "running_requests",
			Help: "Requests in progress, those in the queue included."}),
		rateLimitHeld: prometheus.NewCounter(prometheus.CounterOpts{Name: metricPrefix + "limited_held_total",
			Help: "Times that a send was held back at a back end that names a rate limit."}),
	}
	registerer.MustRegister(created.requests, created.firstToken, created.duration, created.tokens, created.waiting,
		created.waitingBytes, created.queueWait, created.coldStarts, created.retries, created.resumes, created.dropped, created.running, created.rateLimitHeld)
	return created
}
