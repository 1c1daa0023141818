package relay

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/joomcode/errorx"

	"github.com/spanlanding/spanlanding/internal/backendconn"
	"github.com/spanlanding/spanlanding/internal/clock"
	"github.com/spanlanding/spanlanding/internal/locality"
	"github.com/spanlanding/spanlanding/internal/waiting"
)

// Forwarder sends requests to peers that reach servers which this node does not.
type Forwarder interface {
	// Pick chooses a peer that is not excluded, in one of the regions. release must be called once
	// the request is over.
	Pick(service string, regions locality.Regions, exclude []string) (address string, release func(), ok bool)
	// Connect returns a connection to the peer that has not carried a request with this ID.
	Connect(ctx context.Context, address, requestID string) (*backendconn.Conn, error)
}

const (
	// maxForwards is the number of peers that are asked to take a request.
	maxForwards = 4
	// forwardRetryInterval is the time after which a request that no peer took is offered again.
	forwardRetryInterval = 500 * time.Millisecond
	// forwardMargin is the part of the time left that is kept for the way back from the peer, so
	// that the peer's final response arrives before the deadline.
	forwardMargin = 10 * time.Millisecond
)

// reasonUnreachable is the reason of refusals while neither this node nor a peer reaches a server.
const reasonUnreachable = "servers_unreachable"

// forwardResult says how an attempt to forward a request ended.
type forwardResult int

const (
	// forwardDone: the caller got a final response.
	forwardDone forwardResult = iota + 1
	// forwardDeclined: the peer did not take the request.
	forwardDeclined
	// forwardRetry: the peer may have had the request run, and it may be sent again.
	forwardRetry
)

// shouldForward reports whether a peer is to take the request. A forwarded request goes no further:
// two nodes that take each other for reachable would pass it on for ever.
func (x *exchange) shouldForward() bool {
	if x.handler.options.Forwarder == nil || x.forwarded != nil || !x.isUnreachable() {
		return false
	}
	if x.sends > 0 && len(x.sentTo) >= x.route.MaxAttempts {
		return false
	}
	return !clock.Now().Before(x.forwardAgainAt)
}

// forward offers the request to peers. It reports whether the caller got the final response; if not,
// no peer took it.
func (x *exchange) forward() bool {
	var asked []string
	for range maxForwards {
		if clock.Until(x.deadline) <= waiting.ResponseMargin {
			x.giveUp(reasonDeadline)
			return true
		}
		address, release, ok := x.handler.options.Forwarder.Pick(x.service, x.currentRegions(), asked)
		if !ok {
			break
		}
		asked = append(asked, address)
		switch x.forwardTo(address, release) {
		case forwardDone:
			return true
		case forwardDeclined:
			x.handler.Metrics.ForwardsDeclined.Add(1)
		case forwardRetry:
		}
	}
	x.forwardAgainAt = clock.Now().Add(forwardRetryInterval)
	if x.callerGone() {
		x.endCallerGone()
	}
	if x.unreached > 0 {
		// Another node may reach servers: the caller is better served on a new connection.
		x.writer.Header().Set("Connection", "close")
		x.giveUp(reasonUnreachable)
		return true
	}
	return false
}

// forwardTo sends the request to one peer.
func (x *exchange) forwardTo(address string, release func()) forwardResult {
	defer release()
	conn, err := x.handler.options.Forwarder.Connect(x.ctx, address, x.head.RequestID)
	if err != nil {
		return forwardDeclined
	}
	if x.sends > 0 && !x.takeRetry() {
		_ = conn.Close()
		x.refuseWithoutRetry()
		return forwardDone
	}
	x.peer = address
	// A peer that breaks off without a word has asked so many at most; one is kept for the next attempt.
	allowed := max(1, x.route.MaxAttempts-len(x.sentTo)-1)
	response, err := conn.RoundTrip(x.ctx, x.peerRequest(allowed))
	switch {
	case errorx.IsOfType(err, backendconn.ErrNotSent):
		x.returnRetry()
		return forwardDeclined
	case err != nil:
		x.countForwardedSend(address, allowed)
		x.countTooLong(address, err, tooLongHead)
		x.mayHaveRun = true
		return x.endBrokenForward("no_answer_from_peer")
	}
	defer response.Close()
	if response.Header.Get(declinedHeader) != "" {
		x.returnRetry()
		return forwardDeclined
	}
	answer := peerAnswer{
		isNotRun: response.Header.Get(notRunHeader) != "", hasFailed: response.Header.Get(failedHeader) != "",
		version: response.Header.Get(versionHeader), servers: parseServersHeader(response.Header),
	}
	removePeerHeaders(response.Header)
	if answer.isNotRun {
		return x.handlePeerRefusal(response, address, answer)
	}
	x.countForwardedSend(address, answer.servers)
	x.mayHaveRun = true
	x.handler.Metrics.Forwarded.Add(1)
	if answer.hasFailed && !x.headSent {
		return x.endBrokenForward("failed_at_peer")
	}
	return x.passFromPeer(response, answer.version)
}

// peerAnswer is what a peer says of a forwarded request in the head of its response.
type peerAnswer struct {
	// isNotRun is set if no server ran the request, and hasFailed if one may have, without a response.
	isNotRun, hasFailed bool
	// version is the software version of the server that responds; empty if the peer does not say.
	version string
	// servers is how many servers the peer asked.
	servers int
}

// handlePeerRefusal passes the refusal of a peer on, or offers the request to another peer if servers
// rejected it and further ones may be asked.
func (x *exchange) handlePeerRefusal(response *backendconn.Response, address string, answer peerAnswer) forwardResult {
	if answer.servers == 0 {
		x.returnRetry()
		return x.passRefusal(response)
	}
	x.countForwardedSend(address, answer.servers)
	if len(x.sentTo) >= x.route.MaxAttempts {
		return x.passRefusal(response)
	}
	return forwardRetry
}

// countForwardedSend records that the peer sent the request to that many servers, one at least. The
// route's maximum bounds what a peer claims.
func (x *exchange) countForwardedSend(address string, servers int) {
	if x.holdsRetry {
		x.holdsRetry = false
		x.handler.Metrics.Retries.Add(1)
	}
	x.sends++
	for range min(max(1, servers), max(1, x.route.MaxAttempts)) {
		x.sentTo = append(x.sentTo, address)
	}
	x.wasForwarded = true
}

// peerRequest is the request as it goes to a peer: as the caller sent it, with the time left, and
// what this node has done with it. The peer may ask so many servers.
func (x *exchange) peerRequest(maxServers int) backendconn.Request {
	header := endToEndHeader(x.request.Header, x.handler.options.Dialect.IsEndToEnd)
	x.handler.options.Dialect.SetNodeHeaders(header, NodeHeaders{
		TimeLeft: clock.Until(x.deadline) - forwardMargin, Urgency: -1, LastEventID: x.lastEventID,
	})
	state := forwardedState{
		Service: x.service, ConfigVersion: x.table.Version, Elapsed: clock.Since(x.arrived), SentTo: x.sentTo, MaxServers: maxServers,
		IsCounted: x.isCounted, IsRetry: x.isRetry,
	}
	if !x.isOriginOpen {
		state.SoftwareVersion = x.requiredVersion()
	}
	header.Set(forwardedHeader, state.encode())
	return backendconn.Request{
		Method: x.request.Method, Target: x.request.RequestURI, Host: x.request.Host, Header: header, Body: x.body,
		HasBody: x.request.ContentLength != 0 || len(x.body) > 0, Deadline: x.deadline,
	}
}

// passRefusal passes on that the peer did not have the request run.
func (x *exchange) passRefusal(response *backendconn.Response) forwardResult {
	reason := "refused_by_peer"
	if x.mayHaveRun || x.headSent {
		x.giveUp(reason)
		return forwardDone
	}
	x.refundQuota()
	body, err := io.ReadAll(io.LimitReader(response, maxBufferedBytes))
	if err != nil {
		x.giveUp(reason)
		return forwardDone
	}
	x.writeResponseHead(response, true, len(body))
	_, _ = x.writer.Write(body)
	x.finish(outcomeRefused, response.Status, reason)
	return forwardDone
}

// passFromPeer passes on the response of a server, or a failure of the peer. version is the software
// version of the server; empty if the peer does not say.
func (x *exchange) passFromPeer(response *backendconn.Response, version string) forwardResult {
	x.forgetOriginServer()
	switch {
	case response.Framing == backendconn.FramedByClose:
		// Peers frame what they write, so that a part of it never looks whole.
		return x.endBrokenForward("broken_answer")
	case x.headSent && response.Status != http.StatusOK:
		return x.endBrokenForward("resume_failed")
	case promisesNotRun(response.Status):
		x.handler.Metrics.UnprovenRefusals.Add(1)
		return x.endBrokenForward(reasonUnprovenRefusal)
	case x.route.Stream && response.Status == http.StatusOK && !x.beginEvents(version, originFromPeerAnswer):
		return x.endBrokenForward(reasonOtherVersion)
	case x.route.Stream && response.Status == http.StatusOK:
		if err := x.copyEvents(response, func(int) {}); !errors.Is(err, io.EOF) {
			x.countTooLong(x.peer, err, tooLongEvent)
			return x.endBrokenStreamOfPeer(err)
		}
		if !x.headSent {
			x.writeResponseHead(response, true, 0)
		}
		x.releaseEnd()
		x.finish(outcomeAnswered, response.Status, "")
		return forwardDone
	}
	body, err := io.ReadAll(io.LimitReader(response, maxBufferedBytes))
	if err != nil {
		return x.endBrokenForward("broken_answer")
	}
	x.passWhole(response, body, func() bool {
		_, err := io.Copy(x.writer, response)
		return err == nil
	})
	return forwardDone
}

// endBrokenStreamOfPeer decides whether a stream that ended with the error at a peer is taken up again.
func (x *exchange) endBrokenStreamOfPeer(err error) forwardResult {
	switch {
	case !x.order.CanResume():
		x.giveUp("broken_stream")
		return forwardDone
	case isDisorder(err):
		return x.endBrokenForward(reasonDisorder)
	default:
		return x.endBrokenForward("broken_stream")
	}
}

// endBrokenForward decides whether a request whose peer broke off is sent once more.
func (x *exchange) endBrokenForward(reason string) forwardResult {
	if x.callerGone() {
		x.endCallerGone()
	}
	if x.retryOrGiveUp(reason) == attemptDone {
		return forwardDone
	}
	return forwardRetry
}

// removePeerHeaders removes the headers by which peers talk to each other.
func removePeerHeaders(header http.Header) {
	for name := range header {
		if strings.HasPrefix(name, peerHeaderPrefix) {
			delete(header, name)
		}
	}
}
