package relay

import (
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/spanlanding/spanlanding/internal/clock"
	"github.com/spanlanding/spanlanding/internal/routetable"
)

// Headers between peers. They are canonical, and neither callers nor servers may set them.
const (
	peerHeaderPrefix = "Spanlanding-"
	// forwardedHeader describes a request that a peer forwards.
	forwardedHeader = peerHeaderPrefix + "Forwarded"
	// declinedHeader says why a node does not take a forwarded request; the peer tries another node.
	declinedHeader = peerHeaderPrefix + "Declined"
	// versionHeader names the software version that writes the events of a forwarded stream.
	versionHeader = peerHeaderPrefix + "Software-Version"
	// serversHeader counts the servers that a node asked for a forwarded request until the head of its
	// response. It asks no further one after that.
	serversHeader = peerHeaderPrefix + "Servers"
	// failedHeader marks a failure of the node itself, without a response of a server.
	failedHeader = peerHeaderPrefix + "Failed"
	// notRunHeader marks the refusal of a request that did not run and will not.
	notRunHeader = peerHeaderPrefix + "Not-Run"
)

// setServersHeader tells the peer that forwards the request how many servers were asked for it.
func (x *exchange) setServersHeader(header http.Header) {
	if x.forwarded != nil {
		header.Set(serversHeader, strconv.Itoa(len(x.sentTo)-len(x.forwarded.SentTo)))
	}
}

// parseServersHeader returns how many servers a peer asked for a forwarded request; 0 if it asked none, or
// is of a build that does not tell.
func parseServersHeader(header http.Header) int {
	count, err := strconv.Atoi(header.Get(serversHeader))
	if err != nil {
		return 0
	}
	return max(0, count)
}

// maxServers is the greatest number of servers that may be asked for the request, here and at the peer
// that forwards it.
func (x *exchange) maxServers() int {
	if x.forwarded == nil || x.forwarded.MaxServers <= 0 {
		return x.route.MaxAttempts
	}
	return min(x.route.MaxAttempts, len(x.forwarded.SentTo)+x.forwarded.MaxServers)
}

// maxForwardedActive is the number of forwarded requests in flight beyond which a node declines
// further ones, so that its own callers are served.
const maxForwardedActive = 256

// forwardedState is what the node that its caller chose has done with a forwarded request.
type forwardedState struct {
	// Service is the service that the node chose for the request.
	Service string
	// ConfigVersion is the version of the node's configuration. An older one must not decide.
	ConfigVersion int64
	// Elapsed is the time since the request arrived at the node.
	Elapsed time.Duration
	// SentTo are the servers that the node sent the request to.
	SentTo []string
	// MaxServers is how many servers the peer may ask; 0 leaves that to the route.
	MaxServers int
	// IsCounted is set if the node counted the request for the retry budget.
	IsCounted bool
	// IsRetry is set if the caller was probably refused before.
	IsRetry bool
	// SoftwareVersion is the version at which the stream must go on; empty if it has not begun.
	SoftwareVersion string
}

func (s forwardedState) encode() string {
	values := url.Values{
		"service":    {s.Service},
		"config":     {strconv.FormatInt(s.ConfigVersion, 10)},
		"elapsed_ms": {strconv.FormatInt(s.Elapsed.Milliseconds(), 10)},
		"counted":    {strconv.FormatBool(s.IsCounted)},
		"retry":      {strconv.FormatBool(s.IsRetry)},
	}
	if s.MaxServers > 0 {
		values.Set("servers", strconv.Itoa(s.MaxServers))
	}
	if s.SoftwareVersion != "" {
		values.Set("version", s.SoftwareVersion)
	}
	if len(s.SentTo) > 0 {
		values.Set("sent", strings.Join(s.SentTo, ","))
	}
	return values.Encode()
}

// parseForwardedState parses the header; ok is false if it is malformed.
func parseForwardedState(text string) (state forwardedState, ok bool) {
	values, err := url.ParseQuery(text)
	if err != nil {
		return state, false
	}
	version, versionErr := strconv.ParseInt(values.Get("config"), 10, 64)
	elapsed, elapsedErr := strconv.ParseInt(values.Get("elapsed_ms"), 10, 64)
	if versionErr != nil || elapsedErr != nil || elapsed < 0 {
		return state, false
	}
	state = forwardedState{
		Service: values.Get("service"), ConfigVersion: version, Elapsed: time.Duration(elapsed) * time.Millisecond,
		IsCounted: values.Get("counted") == "true", IsRetry: values.Get("retry") == "true",
		SoftwareVersion: values.Get("version"),
	}
	if servers, err := strconv.Atoi(values.Get("servers")); err == nil {
		state.MaxServers = max(0, servers)
	}
	if sent := values.Get("sent"); sent != "" {
		state.SentTo = strings.Split(sent, ",")
	}
	return state, true
}

// IsForwarded reports whether a peer forwards the request.
func IsForwarded(request *http.Request) bool { return request.Header.Get(forwardedHeader) != "" }

// ServePeer handles a request that a peer forwards.
func (h *Handler) ServePeer(writer http.ResponseWriter, request *http.Request) {
	state, ok := parseForwardedState(request.Header.Get(forwardedHeader))
	if reason := h.declineReason(state, ok); reason != "" {
		writer.Header().Set(declinedHeader, reason)
		writer.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	h.active.Add(1)
	defer h.active.Add(-1)
	h.forwardedActive.Add(1)
	defer h.forwardedActive.Add(-1)
	h.Metrics.TakenFromPeers.Add(1)
	removePeerHeaders(request.Header)
	arrived := clock.Now().Add(-state.Elapsed)
	x := &exchange{handler: h, writer: writer, request: request, arrived: arrived, forwarded: &state, sentTo: state.SentTo}
	x.serve()
}

// declineReason returns why a forwarded request is not taken, or "".
func (h *Handler) declineReason(state forwardedState, isValid bool) string {
	table := h.table.Load()
	switch {
	case !isValid:
		return "malformed"
	case h.isClosed.Load():
		return reasonNodeStopping
	case table == nil || !h.isReady() || table.Version < state.ConfigVersion:
		return reasonNoConfiguration
	case h.options.Reachability != nil && h.options.Reachability.IsUnreachable(state.Service):
		return reasonUnreachable
	case h.forwardedActive.Load() >= maxForwardedActive:
		return reasonQueueFull
	default:
		return ""
	}
}

// ForwardedActive is the number of requests of peers in flight.
func (h *Handler) ForwardedActive() int64 { return h.forwardedActive.Load() }

// chooseService returns the service that serves the request: for a forwarded one that which the peer
// chose, if the route still has it.
func (x *exchange) chooseService(route *routetable.Route) string {
	if x.forwarded != nil && slices.ContainsFunc(route.Services, func(s routetable.WeightedService) bool { return s.Service == x.forwarded.Service }) {
		return x.forwarded.Service
	}
	return x.handler.nextService(route)
}
