package relay

import (
	"sync/atomic"

	"github.com/spanlanding/spanlanding/internal/locality"
)

// Outcomes of requests, as metrics and logs name them.
const (
	// outcomeAnswered is a server's response, whatever its status.
	outcomeAnswered = "answered"
	// outcomeRefused is a request that did not run and will not.
	outcomeRefused = "refused"
	// outcomeFailed is a request that may have run, without a whole response.
	outcomeFailed = "failed"
	// outcomeTruncated is a response that was broken off after its head.
	outcomeTruncated = "cut"
	// outcomeCallerGone is a request whose caller closed the connection.
	outcomeCallerGone = "left"
	// outcomeDenied is a malformed request, or one that the configuration does not allow.
	outcomeDenied = "denied"
)

// Metrics counts events on the way to final responses.
type Metrics struct {
	Retries       atomic.Int64
	Resumed       atomic.Int64
	Rejected      atomic.Int64
	BudgetEmpty   atomic.Int64
	DialFailures  atomic.Int64
	BarredRefused atomic.Int64
	// RegionRefused counts requests refused because no allowed region has a server.
	RegionRefused atomic.Int64
	// StreamsContinued counts the streams that callers resumed and that a server went on with,
	// VersionUnknown those refused because nobody knows which software version began them, and
	// VersionGone those ended because no server of that version takes work.
	StreamsContinued, VersionUnknown, VersionGone atomic.Int64
	// ServerBytes are the bytes of bodies to and from servers, by the distance of the server.
	ServerBytes [locality.DistanceCount]atomic.Int64
	// Forwarded counts the requests that a peer took, ForwardsDeclined the times that a peer did not
	// take one, and TakenFromPeers the requests taken from peers.
	Forwarded, ForwardsDeclined, TakenFromPeers atomic.Int64
	// UnprovenRefusals counts the responses of servers and peers whose status promises that the request did
	// not run, without a proof.
	UnprovenRefusals atomic.Int64
	// HeadsTooLong and EventsTooLong count the responses that were broken off since their head, or an event,
	// was longer than is read.
	HeadsTooLong, EventsTooLong atomic.Int64
	// UnframedEnds counts the responses of servers that ended with their connection, in order, and
	// EndedWithServer counts those of them that were not taken for whole, as their server had ended too or gave no
	// sign of life.
	UnframedEnds, EndedWithServer atomic.Int64
	// EndedByReset counts those that were not taken for whole, as a reset followed their end.
	EndedByReset atomic.Int64
	// EventsOutOfOrder counts the events that were not passed on, as they may not follow the ones before.
	EventsOutOfOrder atomic.Int64
	// MemoryRefused counts the requests for which there was no memory.
	MemoryRefused atomic.Int64
	// ColdHeld counts sends that admission denied.
	ColdHeld atomic.Int64
}
