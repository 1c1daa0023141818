package relay

import (
	"strconv"
	"strings"
	"time"

	"github.com/phuslu/log"

	"github.com/spanlanding/spanlanding/internal/clock"
	"github.com/spanlanding/spanlanding/internal/dispatch"
)

// log writes the event with all that is known of the request.
func (x *exchange) log(event string, status int, reason string) {
	entry := x.handler.options.Logger.Info()
	entry.Str("request", x.head.RequestID).Int("status", status).Str("reason", reason)
	x.logRoute(entry)
	x.logSends(entry)
	x.logTimes(entry)
	x.logHint(entry)
	x.logEnding(entry)
	if x.serverLiveness != "" {
		entry.Str("fingerprint", x.fingerprint().String()).Str("server_end", string(x.serverLiveness)).
			Str("parts", formatParts(x.sharedParts()))
	}
	if event == "request_"+outcomeRefused && x.route != nil {
		x.logServerCounts(entry)
	}
	x.logOrigin(entry)
	if x.peer != "" {
		entry.Str("peer", x.peer)
	}
	if x.forwarded != nil {
		entry.Bool("from_peer", true)
	}
	entry.Int("events", x.eventCount).Msg(event)
}

// logRoute adds where the request leads, and for whom.
func (x *exchange) logRoute(entry *log.Entry) {
	if x.route != nil {
		entry.Str("route", x.route.Name).Str("service", x.service)
		if x.tenant != nil {
			entry.Str("tenant", x.tenant.Name).Str("quota_by", x.quotaDecidedBy).Float64("quota_cost", x.quotaCost)
		}
		if x.route.LatencyGoal > 0 {
			entry.Int64("goal_ms", x.route.LatencyGoal.Milliseconds())
		}
		if x.route.EventGapGoal > 0 {
			entry.Int64("gap_goal_ms", x.route.EventGapGoal.Milliseconds())
		}
	}
	if x.table != nil {
		entry.Int64("config", x.table.Version)
	}
	if x.head.Model != "" {
		entry.Str("model", x.head.Model).Str("adapter", x.head.Adapter).Int("prompt", x.head.PromptTokens)
	}
}

// logSends adds which servers were asked.
func (x *exchange) logSends(entry *log.Entry) {
	if x.estimate > 0 {
		entry.Str("estimate_ms", formatMilliseconds(x.estimate))
	}
	entry.Str("server", x.serverID).Str("sent", strings.Join(x.sentTo, ",")).Int("sends", x.sends).Int("unreached", x.unreached)
	if x.localPort != "" {
		entry.Str("local_port", x.localPort)
	}
	if x.rejectedBy != "" {
		entry.Str("not_run_by", string(x.rejectedBy))
	}
}

// logTimes adds how long the request took, and waited.
func (x *exchange) logTimes(entry *log.Entry) {
	entry.Str("waited_ms", formatMilliseconds(x.totalWaited())).Str("took_ms", formatMilliseconds(clock.Since(x.arrived)))
	if x.timing.first > 0 {
		entry.Str("first_ms", formatMilliseconds(x.timing.first)).Str("pause_ms", formatMilliseconds(x.timing.longestPause))
	}
	if x.allowedRegions.IsBounded() {
		entry.Str("regions", x.allowedRegions.String())
	}
	if x.isRetry {
		entry.Bool("returned", true)
	}
}

// logHint adds what the last response announced about its server.
func (x *exchange) logHint(entry *log.Entry) {
	if x.hint.Draining {
		entry.Bool("server_leaving", true)
	}
	if x.hint.Backoff > 0 {
		entry.Str("rest_ms", formatMilliseconds(x.hint.Backoff))
	}
	if x.hint.Limit.IsSet() {
		entry.Float64("server_limit", x.hint.Limit.PerSecond)
	}
}

// logServerCounts adds how many servers the service has.
func (x *exchange) logServerCounts(entry *log.Entry) {
	var counts dispatch.ServerCounts
	x.handler.options.Dispatch.Do(func(core *dispatch.Core) { counts = core.ServerCounts(clock.Now(), x.service) })
	entry.Int("servers", counts.Known).Int("servers_going", counts.Draining).Int("servers_closed", counts.Evacuated).
		Int("servers_resting", counts.BackingOff).Int("servers_limited", counts.RateLimited)
}

// logOrigin adds where the stream began.
func (x *exchange) logOrigin(entry *log.Entry) {
	if x.softwareVersion != "" {
		entry.Str("version", x.softwareVersion)
	}
	if x.head.Resumes != "" {
		entry.Str("resumes", x.head.Resumes)
	}
	if x.origin != nil {
		entry.Str("began_version", x.origin.SoftwareVersion).Str("began_told_by", string(x.originSource))
	}
	if x.originCheck != "" {
		entry.Str("began_check", string(x.originCheck))
	}
}

// totalWaited is how long the request has waited for servers, including the choice in progress.
func (x *exchange) totalWaited() time.Duration {
	if x.waitingSince.IsZero() {
		return x.waitedBefore
	}
	return x.waitedBefore + clock.Since(x.waitingSince)
}

// formatMilliseconds formats a duration in milliseconds with one decimal.
func formatMilliseconds(d time.Duration) string {
	return strconv.FormatFloat(float64(d)/float64(time.Millisecond), 'f', 1, 64)
}
