package gateway

import (
	"strconv"
	"time"

	"github.com/phuslu/log"

	"github.com/spanlanding/spanlanding/internal/attempt"
	"github.com/spanlanding/spanlanding/internal/fleet"
)

// requestRecord holds what is logged and counted for one request.
type requestRecord struct {
	kind       string
	route      string
	model      fleet.ModelVersion
	backend    fleet.BackendName
	outcome    attempt.Outcome
	code       string
	detail     string
	status     int
	tokens     int
	attempts   int
	resumes    int
	cold       bool
	waited     time.Duration
	firstToken time.Duration
	dropped    attempt.Dropped
}

// eventFinished is the log event at the end of each request.
const eventFinished = "request_finished"

// report logs and counts a request once, at its end.
func (c *call) report() {
	record := &c.record
	duration := c.gateway.now().Sub(c.arrived)
	metrics := c.gateway.metrics
	metrics.requests.WithLabelValues(record.kind, string(record.outcome), record.code).Inc()
	metrics.duration.WithLabelValues(record.kind).Observe(duration.Seconds())
	if record.firstToken > 0 {
		metrics.firstToken.WithLabelValues(strconv.FormatBool(record.cold)).Observe(record.firstToken.Seconds())
	}
	if record.cold {
		metrics.coldStarts.Inc()
	}
	countDropped(metrics, record.dropped)
	c.log(duration)
}

func countDropped(metrics *metrics, dropped attempt.Dropped) {
	metrics.dropped.WithLabelValues("crossed").Add(float64(dropped.Crossed))
	metrics.dropped.WithLabelValues("late").Add(float64(dropped.Late))
	metrics.dropped.WithLabelValues("duplicated").Add(float64(dropped.Duplicated))
}

func (c *call) log(duration time.Duration) {
	record := &c.record
	entry := c.gateway.options.Logger.Info()
	if record.outcome == attempt.OutcomeUnknown || record.outcome == attempt.OutcomeFailed {
		entry = c.gateway.options.Logger.Warn()
	}
	c.logFields(entry, duration).Msg(eventFinished)
}

func (c *call) logFields(entry *log.Entry, duration time.Duration) *log.Entry {
	record := &c.record
	entry = entry.Str("request", c.id).Str("kind", record.kind).
		Str("outcome", string(record.outcome)).Int("status", record.status).Dur("took", duration)
	if record.code != "" {
		entry = entry.Str("code", record.code).Str("detail", record.detail)
	}
	if c.tenant != nil {
		entry = entry.Str("tenant", c.tenant.Name)
	}
	if record.route != "" {
		entry = entry.Str("route", record.route).Str("backend", string(record.backend)).Int("attempts", record.attempts)
	}
	if !record.model.IsZero() {
		entry = entry.Str("model", record.model.String()).Int("tokens", record.tokens).Bool("cold", record.cold).
			Dur("waited", record.waited).Dur("first_token", record.firstToken).Int("resumes", record.resumes)
	}
	return entry
}
