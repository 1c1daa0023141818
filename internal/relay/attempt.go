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

// verdict says how an attempt ended.
type verdict int

const (
	// verdictDone is a final answer.
	verdictDone verdict = iota + 1
	// verdictNotSent is an attempt that reached no server.
	verdictNotSent
	// verdictAgain is an attempt that failed; the request may be sent again.
	verdictAgain
)

// attempt sends the request to the chosen server.
func (x *exchange) attempt(choice dispatch.Choice) verdict {
	x.serverID, x.hint = choice.ServerID, inventory.Hint{}
	x.estimate = choice.Estimate
	admitted := x.admitsServer(choice)
	if !admitted.Granted {
		x.release(choice, dispatch.OutcomeAbandoned)
		return verdictNotSent
	}
	conn, ended, ok := x.connect(choice, &admitted)
	if !ok {
		x.giveBackGrant(choice, admitted)
		return ended
	}
	if !x.hasSent(choice.ServerID) {
		x.sent = append(x.sent, choice.ServerID)
	}
	x.countBytes(choice, len(x.body))
	x.sentAt = clock.Now()
	answer, err := conn.RoundTrip(x.ctx, x.outgoing(choice))
	if err != nil && conn.Reused {
		// The others that were kept may be as silent or as dead; new ones may work.
		x.handler.options.Pool.CloseIdle(choice.Address)
	}
	if err != nil {
		return x.noAnswer(choice, err)
	}
	return x.answered(choice, answer)
}

// connect takes a connection to the chosen server, and looks whether the request may still leave.
// Where ok is false nothing was sent, and ended says how the attempt ended.
func (x *exchange) connect(choice dispatch.Choice, admitted *AdmissionDecision) (conn *backendconn.Conn, ended verdict, ok bool) {
	conn, err := x.handler.options.Pool.Get(x.ctx, choice.Address)
	if err != nil {
		x.noteUnreachable(choice)
		return nil, x.notSent(choice), false
	}
	ended, ok = x.maySend(choice, conn, admitted)
	return conn, ended, ok
}

// maySend looks right before the send whether it may still be: opening a connection may
// have taken long. Where it may not the connection is closed, and ended says how the attempt
// ended. What asks another node comes before what may change meanwhile; a trial is claimed for a
// server that was reached and takes work, since one claimed and not sent bars the request as long
// again.
func (x *exchange) maySend(choice dispatch.Choice, conn *backendconn.Conn, admitted *AdmissionDecision) (ended verdict, ok bool) {
	switch {
	case !x.isStillAdmitted(choice, admitted):
		x.withdraw(choice, conn)
		return verdictNotSent, false
	case x.isBarred():
		x.withdraw(choice, conn)
		x.answerBarred()
		return verdictDone, false
	case clock.Until(x.deadline) <= waiting.ResponseMargin:
		x.withdraw(choice, conn)
		x.giveUp(reasonDeadline)
		return verdictDone, false
	case !x.isStillGood(choice):
		// The choice leaves the server out from now on, for as long as that holds.
		x.withdraw(choice, conn)
		return verdictNotSent, false
	case !x.mayTry():
		x.withdraw(choice, conn)
		x.answerBarred()
		return verdictDone, false
	case x.isTrial && !x.isStillGood(choice):
		x.withdraw(choice, conn)
		return verdictNotSent, false
	default:
		return 0, true
	}
}

// withdraw gives up a send before it leaves.
func (x *exchange) withdraw(choice dispatch.Choice, conn *backendconn.Conn) {
	x.release(choice, dispatch.OutcomeAbandoned)
	_ = conn.Close()
}

// isStillGood checks right before the send what was believed when the server
// was chosen: opening a connection may have taken long.
func (x *exchange) isStillGood(choice dispatch.Choice) bool {
	good := false
	x.handler.options.Dispatch.Do(func(core *dispatch.Core) {
		good = core.MayStillSend(clock.Now(), choice.Attempt, x.regions())
	})
	return good
}

// countBytes counts a body's bytes by how far its server is.
func (x *exchange) countBytes(choice dispatch.Choice, count int) {
	x.handler.Metrics.ServerBytes[choice.Distance].Add(int64(count))
}

func (x *exchange) outgoing(choice dispatch.Choice) backendconn.Request {
	header := x.header.Clone()
	x.handler.options.Dialect.SetNodeHeaders(header, NodeHeaders{
		ServerID:    choice.ServerID,
		TimeLeft:    clock.Until(x.deadline),
		Urgency:     x.urgency(),
		LastEventID: x.lastEvent,
		Tenant:      x.tenantName(),
	})
	return backendconn.Request{
		Method:   x.request.Method,
		Target:   x.request.RequestURI,
		Host:     x.request.Host,
		Header:   header,
		Body:     x.body,
		HasBody:  x.request.ContentLength != 0 || len(x.body) > 0,
		Deadline: x.deadline,
		Matches: func(answer http.Header) bool {
			return x.handler.options.Dialect.BelongsTo(answer, x.head.RequestID)
		},
		OnResponse: func(status int, answer http.Header) { x.receiveHint(choice, status, answer) },
	}
}

// urgency is the rank of the request at its server, 0 first: by the priority of its
// tenant and then of its route. Where tenants have none it is that of the route, and
// among those of one priority who came back goes before who is new.
func (x *exchange) urgency() int {
	if !x.engine {
		return -1
	}
	if x.tenant != nil && x.tenant.HasPriority {
		return waiting.TenantRank(x.tenant.Priority, x.route.Priority)
	}
	return waiting.Rank(x.route.Priority, x.returned)
}

func (x *exchange) notSent(choice dispatch.Choice) verdict {
	if x.hasLeft() {
		x.release(choice, dispatch.OutcomeAbandoned)
		x.leave()
	}
	x.handler.Metrics.DialFailures.Add(1)
	x.release(choice, dispatch.OutcomeFailed)
	x.failed = append(x.failed, choice.ServerID)
	return verdictNotSent
}

// noAnswer ends an attempt without the head of an answer.
func (x *exchange) noAnswer(choice dispatch.Choice, err error) verdict {
	if errorx.IsOfType(err, backendconn.ErrNotSent) {
		return x.notSent(choice)
	}
	x.ran = true
	x.brokeOff(choice)
	return x.again("no_answer")
}

// again says whether a request that may have run is sent once more.
func (x *exchange) again(reason string) verdict {
	expired := clock.Until(x.deadline) <= waiting.ResponseMargin
	if expired || !x.isRepeatable() || len(x.sent) >= x.route.MaxAttempts {
		x.giveUp(reason)
		return verdictDone
	}
	return verdictAgain
}

// answered goes by the status of an answer.
func (x *exchange) answered(choice dispatch.Choice, answer *backendconn.Response) verdict {
	defer answer.Close()
	told := x.handler.options.Dialect.ReadResponseHead(answer.Status, answer.Header)
	x.note(choice, told)
	switch {
	case told.NotRun:
		return x.rejected(choice, answer)
	case x.headSent && answer.Status != http.StatusOK:
		x.ran = true
		x.release(choice, dispatch.OutcomeFailed)
		x.failed = append(x.failed, choice.ServerID)
		return x.again("resume_failed")
	case x.route.Stream && answer.Status == http.StatusOK:
		x.ran = true
		return x.stream(choice, answer)
	default:
		x.ran = true
		return x.whole(choice, answer)
	}
}

// receiveHint takes what the server tells of its own future with the head of an answer, before
// anything of it goes to the caller: what binds later choices must not wait for it. Heads of
// answers to earlier requests, which come late, count as well.
func (x *exchange) receiveHint(choice dispatch.Choice, status int, header http.Header) {
	if field := x.handler.options.Dialect.UnreadField(header); field != "" {
		x.handler.options.OnUnreadField(choice.ServerID, field)
	}
	told := x.handler.options.Dialect.ReadResponseHead(status, header)
	x.hint = told.Hint
	if x.handler.options.Dialect.BelongsTo(header, x.head.RequestID) {
		x.hint.SentAt = x.sentAt
	}
	if told.ServerID != "" && told.ServerID != choice.ServerID {
		// Another server has the address, and tells of itself; the one that was meant is gone.
		x.hint = inventory.Hint{Draining: status == http.StatusMisdirectedRequest}
	}
	if x.hint.IsEmpty() {
		return
	}
	start, news := choice.Attempt.Start(), false
	x.handler.options.Dispatch.Do(func(core *dispatch.Core) { news = core.ReceiveHint(clock.Now(), start, x.hint) })
	if news {
		x.handler.options.OnHint(start, x.hint)
	}
}

func (x *exchange) note(choice dispatch.Choice, told ResponseHead) {
	start, news := choice.Attempt.Start(), false
	x.handler.options.Dispatch.Do(func(core *dispatch.Core) {
		now := clock.Now()
		if x.hint.IsEmpty() {
			// An answer that names no rate limit ends the one before.
			news = core.ReceiveHint(now, start, x.hint)
		}
		core.RecordFirstByte(now, choice.Attempt)
		if told.Load != nil {
			core.SetReportedLoad(now, choice.ServerID, *told.Load)
		}
		if told.ColdRemaining != nil {
			core.UpdateColdFromResponse(now, choice.ServerID, *told.ColdRemaining)
		}
	})
	if news {
		x.handler.options.OnHint(start, x.hint)
	}
}

// rejected takes a server's word that it did not run the request.
func (x *exchange) rejected(choice dispatch.Choice, answer *backendconn.Response) verdict {
	x.handler.Metrics.Rejected.Add(1)
	_, _ = io.Copy(io.Discard, answer)
	x.handler.options.Dispatch.Do(func(core *dispatch.Core) {
		now := clock.Now()
		core.End(now, choice.Attempt, dispatch.OutcomeRejected)
		if x.engine && x.hint.Backoff <= 0 {
			core.MarkModelAbsent(now, choice.ServerID, x.head.Model, x.head.Adapter)
		}
	})
	x.log("request_rejected", answer.Status, choice.ServerID)
	if !x.engine {
		x.failed = append(x.failed, choice.ServerID)
		return verdictAgain
	}
	if len(x.sent) >= x.route.MaxAttempts && !x.comesSoon(choice.ServerID) {
		x.giveUp(reasonRejected)
		return verdictDone
	}
	return verdictAgain
}

// soonTime is how long a request waits at a server that rejected it for what it
// is bringing.
const soonTime = 200 * time.Millisecond

// comesSoon reports whether the server is bringing what the request wants: an
// adapter, as a rule.
func (x *exchange) comesSoon(serverID string) bool {
	soon := false
	x.handler.options.Dispatch.Do(func(core *dispatch.Core) {
		left, ok := core.ServerReadyIn(clock.Now(), serverID, x.wanted())
		soon = ok && left < soonTime
	})
	return soon
}

// maxWholeBytes is the size up to which an answer is read before its head goes
// to the caller, so that one that breaks off can be asked for again.
const maxWholeBytes = 64 << 10

// whole passes on an answer that is no stream.
func (x *exchange) whole(choice dispatch.Choice, answer *backendconn.Response) verdict {
	failed := answer.Status >= http.StatusInternalServerError
	content, err := io.ReadAll(io.LimitReader(answer, maxWholeBytes))
	x.countBytes(choice, len(content))
	if err != nil {
		x.brokeOff(choice)
		return x.again("broken_answer")
	}
	if failed && x.canAskAnother() {
		x.release(choice, dispatch.OutcomeFailed)
		x.failed = append(x.failed, choice.ServerID)
		return verdictAgain
	}
	outcome := dispatch.OutcomeServed
	if failed {
		outcome = dispatch.OutcomeFailed
	} else {
		x.endedWell()
	}
	defer x.release(choice, outcome)
	x.writeHead(answer, len(content) < maxWholeBytes, len(content))
	_, _ = x.writer.Write(content)
	if len(content) == maxWholeBytes {
		copied, err := io.Copy(x.writer, answer)
		x.countBytes(choice, int(copied))
		if err != nil {
			x.cut("broken_answer")
		}
	}
	x.finish(outcomeAnswered, answer.Status, "")
	return verdictDone
}

// canAskAnother reports whether a server's own failure may be tried elsewhere.
func (x *exchange) canAskAnother() bool {
	if !x.isRepeatable() || len(x.sent) >= x.route.MaxAttempts || clock.Until(x.deadline) <= waiting.ResponseMargin {
		return false
	}
	found := false
	x.handler.options.Dispatch.Do(func(core *dispatch.Core) {
		ask := x.ask()
		ask.Exclude = append(append([]string(nil), x.failed...), x.serverID)
		found = core.CanPick(clock.Now(), ask)
	})
	return found && x.hasRepeat()
}

func (x *exchange) hasRepeat() bool {
	x.handler.mu.Lock()
	defer x.handler.mu.Unlock()
	return x.handler.budget.Remaining(clock.Since(x.handler.started), x.service) >= 1
}

// writeHead passes the head of a server's answer on.
func (x *exchange) writeHead(answer *backendconn.Response, isWhole bool, length int) {
	header := x.writer.Header()
	for name, values := range forwarded(answer.Header, x.handler.options.Dialect.IsEndToEnd) {
		header[name] = values
	}
	if _, ok := answer.Header["Content-Type"]; !ok {
		header["Content-Type"] = nil
	}
	switch {
	case isWhole:
		header.Set("Content-Length", strconv.Itoa(length))
	case answer.ContentLength >= 0 && !x.route.Stream:
		header.Set("Content-Length", strconv.FormatInt(answer.ContentLength, 10))
	}
	x.headSent = true
	x.writer.WriteHeader(answer.Status)
}
