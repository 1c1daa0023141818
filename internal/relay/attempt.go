package relay

import (
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/joomcode/errorx"

	"github.com/spanlanding/spanlanding/internal/backendconn"
	"github.com/spanlanding/spanlanding/internal/clock"
	"github.com/spanlanding/spanlanding/internal/dispatch"
	"github.com/spanlanding/spanlanding/internal/inventory"
	"github.com/spanlanding/spanlanding/internal/waiting"
)

// attemptResult says how an attempt ended.
type attemptResult int

const (
	// attemptDone: the caller got a final response.
	attemptDone attemptResult = iota + 1
	// attemptNotSent: nothing was sent to a server.
	attemptNotSent
	// attemptRetry: the attempt failed, and the request may be sent again.
	attemptRetry
)

// attempt sends the request to the chosen server.
func (x *exchange) attempt(choice dispatch.Choice) attemptResult {
	x.serverID, x.softwareVersion, x.hint = choice.ServerID, choice.SoftwareVersion, inventory.Hint{}
	x.estimate, x.writingSince, x.writtenEvents, x.localPort = choice.Estimate, time.Time{}, 0, ""
	conn := x.takeLiveConn(choice)
	x.asksStart = conn == nil && x.mustConfirmStart()
	decision := x.requestAdmission(choice)
	defer func() { x.returnStartQuestion(choice) }()
	if !decision.Granted {
		if conn != nil {
			conn.PutBack()
		}
		x.endAttempt(choice, dispatch.OutcomeAbandoned)
		return attemptNotSent
	}
	conn, result, ok := x.connect(choice, conn, &decision)
	if !ok {
		x.returnGrant(choice, decision)
		return result
	}
	response, head, err := x.send(choice, conn, decision)
	if x.holdsRetry && !errorx.IsOfType(err, backendconn.ErrNotSent) {
		x.holdsRetry = false
		x.handler.Metrics.Retries.Add(1)
	}
	if err != nil && conn.Reused {
		// The other idle connections may be dead as well; a new one may work.
		x.handler.options.Pool.CloseIdle(choice.Address)
	}
	if err != nil {
		return x.handleNoResponse(choice, err)
	}
	return x.handleResponse(choice, response, head)
}

// send writes the request to the server, and returns its response once the head was read.
func (x *exchange) send(choice dispatch.Choice, conn *backendconn.Conn, decision AdmissionDecision) (response *backendconn.Response, head ResponseHead, err error) {
	if !x.wasSentTo(choice.ServerID) {
		x.sentTo = append(x.sentTo, choice.ServerID)
	}
	x.countBytes(choice, len(x.body))
	x.localPort, x.connOpenedAt = conn.LocalPort(), conn.OpenedAt()
	x.sentAt = clock.Now()
	x.sends++
	x.risk = newSendRisk(x, choice, decision)
	response, err = conn.RoundTrip(x.ctx, x.serverRequest(choice))
	if err != nil {
		x.risk.end(errorx.IsOfType(err, backendconn.ErrNotSent), false)
		return nil, head, err
	}
	head = x.handler.options.Dialect.ReadResponseHead(response.Status, response.Header)
	// A server that is not the intended one did not reject anything.
	x.risk.end(true, head.IsMarkedNotRun && response.Status != http.StatusMisdirectedRequest)
	return response, head, nil
}

// connect takes a connection to the chosen server, unless there is one, and checks that the request may
// still be sent. Where ok is false nothing was sent, and result says how the attempt ended.
func (x *exchange) connect(choice dispatch.Choice, idle *backendconn.Conn, decision *AdmissionDecision) (conn *backendconn.Conn, result attemptResult, ok bool) {
	if conn = idle; conn == nil {
		var err error
		if conn, err = x.handler.options.Pool.Get(x.ctx, choice.Address, x.head.RequestID); err != nil {
			x.markUnreachable(choice)
			x.recordUnreached(choice)
			return nil, x.handleNotSent(choice), false
		}
	}
	result, ok = x.checkBeforeSend(choice, conn, decision)
	return conn, result, ok
}

// checkBeforeSend repeats all checks immediately before the send, since opening a connection may have
// taken long. Where ok is false the connection is closed and result says how the attempt ended.
// Checks that ask another node come before those whose answer may change meanwhile. A trial is claimed
// only for a server that was reached and is available: a claimed trial that is not sent leaves the
// request barred for the same time again.
func (x *exchange) checkBeforeSend(choice dispatch.Choice, conn *backendconn.Conn, decision *AdmissionDecision) (result attemptResult, ok bool) {
	switch {
	case x.sends == 0 && x.wouldOutlastStop(), x.handler.isEnded():
		x.abandonSend(choice, conn)
		x.giveUp(reasonNodeStopping)
		return attemptDone, false
	case !x.isStillAdmitted(choice, decision):
		x.abandonSend(choice, conn)
		return attemptNotSent, false
	case x.isBarred():
		x.abandonSend(choice, conn)
		x.refuseBarred()
		return attemptDone, false
	case clock.Until(x.deadline) <= waiting.ResponseMargin:
		x.abandonSend(choice, conn)
		x.giveUp(reasonDeadline)
		return attemptDone, false
	case !x.mayStillSend(choice):
		// Dispatch excludes the server from now on, for as long as the check would fail.
		x.abandonSend(choice, conn)
		return attemptNotSent, false
	case x.isResend && !x.takeRetry():
		x.abandonSend(choice, conn)
		x.refuseWithoutRetry()
		return attemptDone, false
	case !x.claimTrialIfDue():
		x.abandonSend(choice, conn)
		x.refuseBarred()
		return attemptDone, false
	case x.isTrial && !x.mayStillSend(choice):
		x.abandonSend(choice, conn)
		return attemptNotSent, false
	default:
		return 0, true
	}
}

// abandonSend releases the choice and the connection before anything was sent.
func (x *exchange) abandonSend(choice dispatch.Choice, conn *backendconn.Conn) {
	x.returnRetry()
	x.endAttempt(choice, dispatch.OutcomeAbandoned)
	_ = conn.Close()
}

// mayStillSend repeats the dispatcher's checks on the chosen server immediately before the send:
// opening a connection may have taken long.
func (x *exchange) mayStillSend(choice dispatch.Choice) bool {
	allowed := false
	x.handler.options.Dispatch.Do(func(core *dispatch.Core) {
		allowed = core.MayStillSend(clock.Now(), choice.Attempt, x.requirements())
	})
	return allowed
}

// countBytes counts the bytes of a body by the distance of its server.
func (x *exchange) countBytes(choice dispatch.Choice, count int) {
	x.handler.Metrics.ServerBytes[choice.Distance].Add(int64(count))
}

// serverRequest is the request as it goes to the server.
func (x *exchange) serverRequest(choice dispatch.Choice) backendconn.Request {
	header := x.header.Clone()
	x.handler.options.Dialect.SetNodeHeaders(header, NodeHeaders{
		ServerID:    choice.ServerID,
		TimeLeft:    clock.Until(x.deadline),
		Urgency:     x.urgency(),
		LastEventID: x.lastEventID,
		Tenant:      x.tenantName(),
	})
	return backendconn.Request{
		Method:         x.request.Method,
		Target:         x.request.RequestURI,
		Host:           x.request.Host,
		Header:         header,
		Body:           x.body,
		HasBody:        x.request.ContentLength != 0 || len(x.body) > 0,
		Deadline:       x.deadline,
		PartialTimeout: x.partialTimeout(),
		Matches: func(response http.Header) bool {
			return x.handler.options.Dialect.BelongsTo(response, x.head.RequestID)
		},
		OnResponse: func(status int, response http.Header) { x.receiveHint(choice, status, response) },
	}
}

// partialResponseTimeout is how long a request that may be repeated waits for the rest of a head. It allows
// for two losses of a packet.
const partialResponseTimeout = time.Second

// partialTimeout is how long a head that has begun may take; 0 leaves that to the deadline, as for a request
// that may run once: its response may still come.
func (x *exchange) partialTimeout() time.Duration {
	if !x.isRetryable() {
		return 0
	}
	return partialResponseTimeout
}

// urgency is the scheduling rank that the server is told, 0 first: by the priority of the tenant, then
// by that of the route. Without a tenant priority it is the route's, and within one route priority
// retries of refused requests go before new requests. It is below 0 for services without models.
func (x *exchange) urgency() int {
	if !x.needsModel {
		return -1
	}
	if x.tenant != nil && x.tenant.HasPriority {
		return waiting.TenantRank(x.tenant.Priority, x.route.Priority)
	}
	return waiting.Rank(x.route.Priority, x.isRetry)
}

// handleNotSent ends an attempt whose connection failed before anything was sent.
func (x *exchange) handleNotSent(choice dispatch.Choice) attemptResult {
	x.returnRetry()
	if x.callerGone() {
		x.endAttempt(choice, dispatch.OutcomeAbandoned)
		x.endCallerGone()
	}
	x.handler.Metrics.DialFailures.Add(1)
	x.endAttempt(choice, dispatch.OutcomeFailed)
	x.failedServers = append(x.failedServers, choice.ServerID)
	return attemptNotSent
}

// handleNoResponse ends an attempt that got no response headers.
func (x *exchange) handleNoResponse(choice dispatch.Choice, err error) attemptResult {
	if errorx.IsOfType(err, backendconn.ErrNotSent) {
		return x.handleNotSent(choice)
	}
	x.mayHaveRun = true
	x.countTooLong(choice.ServerID, err, tooLongHead)
	x.handleBrokenResponse(choice)
	return x.retryOrGiveUp("no_answer")
}

// retryOrGiveUp decides whether a request that may have run is sent once more. A forwarded one whose
// response has begun is left to the peer, which was told how many servers were asked until then.
func (x *exchange) retryOrGiveUp(reason string) attemptResult {
	expired := clock.Until(x.deadline) <= waiting.ResponseMargin
	isLeftToPeer := x.forwarded != nil && x.headSent
	if x.handler.isEnded() {
		reason = reasonNodeStopping
	}
	if expired || x.handler.isEnded() || isLeftToPeer || !x.isRetryable() || len(x.sentTo) >= x.maxServers() {
		x.giveUp(reason)
		return attemptDone
	}
	return attemptRetry
}

// handleResponse acts on the status of a response.
func (x *exchange) handleResponse(choice dispatch.Choice, response *backendconn.Response, head ResponseHead) attemptResult {
	defer response.Close()
	x.recordResponse(choice, head)
	x.rejectedBy = findRejectionEvidence(choice.ServerID, response.Status, head)
	switch {
	case x.rejectedBy.isProof():
		return x.handleRejection(choice, response)
	case x.rejectedBy == evidenceStatusOnly && x.isRetryable():
		x.mayHaveRun = true
		return x.handleRejection(choice, response)
	case x.headSent && response.Status != http.StatusOK:
		x.mayHaveRun = true
		x.endAttempt(choice, dispatch.OutcomeFailed)
		x.failedServers = append(x.failedServers, choice.ServerID)
		return x.retryOrGiveUp("resume_failed")
	case x.route.Stream && response.Status == http.StatusOK:
		x.mayHaveRun = true
		return x.relayStream(choice, response)
	case promisesNotRun(response.Status):
		x.mayHaveRun = true
		return x.handleUnprovenRefusal(choice, response)
	default:
		x.mayHaveRun = true
		return x.relayWhole(choice, response)
	}
}

// receiveHint applies what the server announces about its own state in the response headers. This
// happens before anything is passed to the caller, since later choices must not wait for the body.
// The headers of late responses to earlier requests count as well.
func (x *exchange) receiveHint(choice dispatch.Choice, status int, header http.Header) {
	x.recordContact(choice)
	if field := x.handler.options.Dialect.UnreadField(header); field != "" {
		x.handler.options.OnUnreadField(choice.ServerID, field)
	}
	head := x.handler.options.Dialect.ReadResponseHead(status, header)
	x.hint = head.Hint
	x.receiveBrittleness(choice, head)
	if x.handler.options.Dialect.BelongsTo(header, x.head.RequestID) {
		x.hint.SentAt = x.sentAt
	}
	if head.ServerID != "" && head.ServerID != choice.ServerID {
		// Another server has taken over the address and reports its own state; the intended one is gone.
		x.hint = inventory.Hint{Draining: status == http.StatusMisdirectedRequest}
	}
	if x.hint.IsEmpty() {
		return
	}
	start, isNew := choice.Attempt.Start(), false
	x.handler.options.Dispatch.Do(func(core *dispatch.Core) { isNew = core.ReceiveHint(clock.Now(), start, x.hint) })
	if isNew {
		x.handler.options.OnHint(start, x.hint)
	}
}

// receiveBrittleness applies what the service's servers bear, unless another service has taken over the
// address.
func (x *exchange) receiveBrittleness(choice dispatch.Choice, head ResponseHead) {
	if head.ServerID != "" && head.ServerID != choice.ServerID {
		return
	}
	changed := false
	x.handler.options.Dispatch.Do(func(core *dispatch.Core) {
		changed = core.ReceiveBrittleness(clock.Now(), x.service, head.Hint.Brittleness)
	})
	if changed {
		x.handler.options.Logger.Info().Str("service", x.service).Int("rejections_per_s", head.Hint.Brittleness).Msg("service_brittle")
	}
}

// recordResponse passes the server's reported load and warm-up to the dispatcher.
func (x *exchange) recordResponse(choice dispatch.Choice, head ResponseHead) {
	start, isNew := choice.Attempt.Start(), false
	x.handler.options.Dispatch.Do(func(core *dispatch.Core) {
		now := clock.Now()
		if x.hint.IsEmpty() {
			// A response without a rate limit cancels the earlier one.
			isNew = core.ReceiveHint(now, start, x.hint)
		}
		core.RecordFirstByte(now, choice.Attempt)
		if head.Load != nil {
			core.SetReportedLoad(now, choice.ServerID, *head.Load)
		}
		if head.ColdRemaining != nil {
			core.UpdateColdFromResponse(now, choice.ServerID, *head.ColdRemaining)
		}
	})
	if isNew {
		x.handler.options.OnHint(start, x.hint)
	}
}

// handleRejection handles a server's statement that it did not run the request.
func (x *exchange) handleRejection(choice dispatch.Choice, response *backendconn.Response) attemptResult {
	x.handler.Metrics.Rejected.Add(1)
	response.Drain()
	x.handler.options.Dispatch.Do(func(core *dispatch.Core) {
		now := clock.Now()
		core.End(now, choice.Attempt, dispatch.OutcomeRejected)
		if x.needsModel && x.hint.Backoff <= 0 {
			core.MarkModelAbsent(now, choice.ServerID, x.head.Model, x.head.Adapter)
		}
	})
	x.log("request_rejected", response.Status, choice.ServerID)
	if !x.needsModel {
		x.failedServers = append(x.failedServers, choice.ServerID)
		return attemptRetry
	}
	if len(x.sentTo) >= x.maxServers() && !x.isReadySoon(choice.ServerID) {
		x.giveUp(reasonRejected)
		return attemptDone
	}
	return attemptRetry
}

// readySoonTime bounds the load time for which a request stays with the server that rejected it.
const readySoonTime = 200 * time.Millisecond

// isReadySoon reports whether the server is about to finish loading what the request needs, usually
// an adapter.
func (x *exchange) isReadySoon(serverID string) bool {
	isSoon := false
	x.handler.options.Dispatch.Do(func(core *dispatch.Core) {
		readyIn, ok := core.ServerReadyIn(clock.Now(), serverID, x.requirements())
		isSoon = ok && readyIn < readySoonTime
	})
	return isSoon
}

// maxBufferedBytes is the size up to which a response is read before its head goes to the caller, so
// that the request can be retried if the response breaks off.
const maxBufferedBytes = 64 << 10

// relayWhole passes on a response that is not a stream.
func (x *exchange) relayWhole(choice dispatch.Choice, response *backendconn.Response) attemptResult {
	failed := response.Status >= http.StatusInternalServerError
	if failed && x.canRetryElsewhere() {
		response.Drain()
		x.endAttempt(choice, dispatch.OutcomeFailed)
		x.failedServers = append(x.failedServers, choice.ServerID)
		return attemptRetry
	}
	body, err := io.ReadAll(io.LimitReader(response, maxBufferedBytes))
	x.recordEnding(response, err)
	x.countMemory(len(body))
	x.countBytes(choice, len(body))
	isLong := len(body) == maxBufferedBytes
	if err != nil || !isLong && !x.isEndBelieved(choice, response) {
		x.handleBrokenResponse(choice)
		return x.retryOrGiveUp("broken_answer")
	}
	outcome := dispatch.OutcomeServed
	if failed {
		outcome = dispatch.OutcomeFailed
	}
	defer func() { x.endAttempt(choice, outcome) }()
	x.passWhole(response, body, func() bool {
		copied, err := io.Copy(x.writer, response)
		x.recordEnding(response, err)
		x.countBytes(choice, int(copied))
		if err == nil && x.isEndBelieved(choice, response) {
			return true
		}
		outcome = dispatch.OutcomeFailed
		if !x.callerGone() && !x.handler.isEnded() {
			x.reportIfCrashed(choice)
			x.markVersionUncertain(choice)
		}
		return false
	})
	if !failed {
		x.reportSuccess()
	}
	return attemptDone
}

// passWhole passes on a response of which the beginning was read. copyRest passes on the rest of a longer
// one, and reports whether that came to its end.
func (x *exchange) passWhole(response *backendconn.Response, begin []byte, copyRest func() bool) {
	x.writeResponseHead(response, len(begin) < maxBufferedBytes, len(begin))
	_, _ = x.writer.Write(begin)
	if len(begin) == maxBufferedBytes && !copyRest() {
		x.truncate("broken_answer")
	}
	x.releaseEnd()
	x.finish(outcomeAnswered, response.Status, "")
}

// canRetryElsewhere reports whether a request that got a 5xx response can be sent to another server.
func (x *exchange) canRetryElsewhere() bool {
	if !x.isRetryable() || len(x.sentTo) >= x.maxServers() || clock.Until(x.deadline) <= waiting.ResponseMargin {
		return false
	}
	found := false
	x.handler.options.Dispatch.Do(func(core *dispatch.Core) {
		request := x.dispatchRequest()
		request.Exclude = append(append([]string(nil), x.failedServers...), x.serverID)
		found = core.CanPick(clock.Now(), request)
	})
	return found && x.hasRetryLeft()
}

// writeResponseHead passes on the status and headers of a server's response.
func (x *exchange) writeResponseHead(response *backendconn.Response, isWhole bool, length int) {
	header := x.writer.Header()
	for name, values := range endToEndHeader(response.Header, x.handler.options.Dialect.IsEndToEnd) {
		header[name] = values
	}
	removePeerHeaders(header)
	x.setServersHeader(header)
	if x.forwarded != nil && x.origin != nil {
		header.Set(versionHeader, x.origin.SoftwareVersion)
	}
	if _, ok := response.Header["Content-Type"]; !ok {
		header["Content-Type"] = nil
	}
	// The length in an answer to HEAD is that of the body which GET would bring.
	isToHead := x.request.Method == http.MethodHead
	switch {
	case isWhole && !isToHead:
		header.Set("Content-Length", strconv.Itoa(length))
	case response.ContentLength >= 0 && (isToHead || !x.route.Stream):
		header.Set("Content-Length", strconv.FormatInt(response.ContentLength, 10))
	}
	x.headSent = true
	x.guardEnd(header)
	x.writer.WriteHeader(response.Status)
}
