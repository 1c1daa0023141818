package relay

import (
	"context"
	"slices"
	"time"

	"github.com/spanlanding/spanlanding/internal/clock"
	"github.com/spanlanding/spanlanding/internal/dispatch"
	"github.com/spanlanding/spanlanding/internal/inventory"
	"github.com/spanlanding/spanlanding/internal/origins"
	"github.com/spanlanding/spanlanding/internal/routetable"
)

// Origins remembers, across all nodes, at which service and software version streams began.
type Origins interface {
	// Record remembers the origin of a stream that this node passes on, here and at other nodes, before
	// its first event is passed on.
	Record(entry origins.Entry)
	// End says that this node no longer passes the stream on. Its caller may still resume it.
	End(key origins.Key)
	// Find returns the origin of a stream.
	Find(ctx context.Context, key origins.Key, service string) OriginAnswer
	// FindVersions returns what is known of a stream that its caller does not identify: the software
	// versions at which it may have begun.
	FindVersions(ctx context.Context, service string) OriginAnswer
}

// OriginAnswer is what the nodes know about the beginning of a stream.
type OriginAnswer struct {
	// Entry is set if the stream is known.
	Entry   origins.Entry
	IsKnown bool
	// Source is who told.
	Source originSource
	// Versions are the software versions that nodes saw in the service lately, this node's included.
	Versions []string
	// IsHistoryKnown is set if these are all versions at which a stream may have begun. Nodes that have
	// just started do not know that by themselves.
	IsHistoryKnown bool
	// IsPartial is set if not all of those that may know more have answered.
	IsPartial bool
	// Lost says at which versions a stream may have begun that no node knows, by all that answered.
	Lost origins.LostStreams
}

// HasOneVersion reports whether all streams of the service began at the same software version.
func (a OriginAnswer) HasOneVersion() bool { return a.IsHistoryKnown && len(a.Versions) <= 1 }

// lostVersion returns the version at which a stream began that nobody knows any more; ok is false if that may be
// any.
func (a OriginAnswer) lostVersion() (version string, ok bool) {
	version, ok = a.Lost.Version()
	return version, ok && !a.IsKnown && !a.IsPartial
}

// originSource says how the origin of a stream became known, in logs.
type originSource string

const (
	originFromServer     originSource = "server"
	originFromPeerAnswer originSource = "peer_answer"
	originFromForwarder  originSource = "forwarder"
	// OriginHere and OriginFromPeer are for streams that callers resume.
	OriginHere       originSource = "here"
	OriginFromPeer   originSource = "peer"
	OriginFromStore  originSource = "store"
	originOneVersion originSource = "one_version"
	// originBeforeLoss is for streams that began before all nodes were lost.
	originBeforeLoss originSource = "before_loss"
)

// Reasons of refusals and broken-off answers of streams that cannot go on.
const (
	reasonVersionUnknown = "stream_version_unknown"
	// reasonVersionUnsettled is that of streams whose version will be known soon.
	reasonVersionUnsettled = "stream_version_unsettled"
	reasonVersionGone      = "stream_version_gone"
	reasonServiceGone      = "stream_service_gone"
	reasonOtherVersion     = "other_software_version"
)

// partialAnswerRetryDelay is the Retry-After where not all nodes said whether they know a stream.
const partialAnswerRetryDelay = 200 * time.Millisecond

// originMargin is added to the caller's deadline for the time that an origin is kept.
const originMargin = 5 * time.Second

// streamKey identifies the stream by the caller's attempt that received its first event.
func (x *exchange) streamKey() origins.Key {
	first := x.head.RequestID
	if x.isResumption {
		first = x.head.Resumes
	}
	return origins.NewKey(x.head.APIKey, first)
}

// isGoingOn reports whether the caller has the beginning of the stream, from this attempt or an earlier one.
func (x *exchange) isGoingOn() bool { return x.headSent || x.isResumption }

// requiredVersion is the software version at which the stream must go on; empty before its first event.
func (x *exchange) requiredVersion() string {
	if x.origin == nil || !x.isGoingOn() {
		return ""
	}
	return x.origin.SoftwareVersion
}

// resolveOrigin finds out where a stream that the caller resumes began. Where it is false the final
// response was given: the stream cannot go on.
func (x *exchange) resolveOrigin() bool {
	x.isResumption = x.route.RetryPolicy == routetable.RetryResume && (x.head.LastEventID != "" || x.head.Resumes != "")
	if !x.isResumption {
		return true
	}
	if x.forwarded != nil && x.forwarded.SoftwareVersion != "" {
		x.setOrigin(origins.Origin{Service: x.service, SoftwareVersion: x.forwarded.SoftwareVersion}, originFromForwarder)
		return true
	}
	answer := x.findOrigin()
	x.heardVersions = len(answer.Versions)
	origin := answer.Entry.Origin
	switch {
	case answer.IsKnown && !x.leadsTo(origin.Service):
		x.handler.Metrics.VersionGone.Add(1)
		x.refusePermanently(reasonServiceGone)
		return false
	case answer.IsKnown && origin.SoftwareVersion != "":
		x.setService(origin.Service)
		x.setOrigin(origin, answer.Source)
		x.originServer, x.originSentAt = answer.Entry.Server, answer.Entry.RecordedAt
		x.isOriginConfirmed.Store(answer.Entry.IsCertain)
		isMixed := len(answer.Versions) > 1
		x.isOriginOpen = isMixed && !x.isOriginSettled(answer.Entry)
		if x.shouldForward() {
			return true
		}
		if !isMixed && x.mayBeOfLaterStart(answer.Entry) {
			x.handler.Metrics.VersionUnknown.Add(1)
			x.refusePermanently(reasonVersionUnknown)
			return false
		}
		return x.settleOrigin()
	case answer.HasOneVersion():
		x.setOrigin(origins.Origin{Service: x.service, SoftwareVersion: onlyVersion(answer.Versions)}, originOneVersion)
		return true
	}
	// Another service of the route may have begun a stream that nobody knows, and servers without models do not
	// tell whether they did.
	if version, ok := answer.lostVersion(); ok && x.needsModel && len(x.route.Services) == 1 {
		x.setOrigin(origins.Origin{Service: x.service, SoftwareVersion: version}, originBeforeLoss)
		return true
	}
	x.handler.Metrics.VersionUnknown.Add(1)
	if answer.IsPartial {
		x.refuse(reasonVersionUnknown, partialAnswerRetryDelay)
	} else {
		x.refusePermanently(reasonVersionUnknown)
	}
	return false
}

// settleOrigin finds out whether the recorded start began the stream, unless a peer that takes the request is
// to do that: a node that reaches no server can't. Where it is false the final response was given.
func (x *exchange) settleOrigin() bool {
	if !x.isOriginOpen {
		return true
	}
	x.isOriginOpen = false
	entry := x.recordedOrigin()
	switch x.checkOrigin(entry) {
	case originCertain:
		return true
	case originUnsettled:
		x.refuse(reasonVersionUnsettled, originSettlesIn(entry))
	default:
		x.refusePermanently(reasonVersionUnknown)
	}
	x.handler.Metrics.VersionUnknown.Add(1)
	return false
}

// recordedOrigin is what is known of the start that began the stream.
func (x *exchange) recordedOrigin() origins.Entry {
	return origins.Entry{Server: x.originServer, RecordedAt: x.originSentAt, IsCertain: x.isOriginConfirmed.Load()}
}

// findOrigin asks for the origin of the stream that the caller resumes.
func (x *exchange) findOrigin() OriginAnswer {
	switch {
	case x.handler.options.Origins == nil:
		return OriginAnswer{Versions: x.recentVersions(), IsHistoryKnown: true}
	case x.head.Resumes == "":
		return x.handler.options.Origins.FindVersions(x.ctx, x.service)
	}
	return x.handler.options.Origins.Find(x.ctx, x.streamKey(), x.service)
}

func (x *exchange) setOrigin(origin origins.Origin, source originSource) {
	x.origin, x.originSource = &origin, source
}

func onlyVersion(versions []string) string {
	if len(versions) == 0 {
		return ""
	}
	return versions[0]
}

// leadsTo reports whether the route leads to the service.
func (x *exchange) leadsTo(service string) bool {
	return slices.ContainsFunc(x.route.Services, func(s routetable.WeightedService) bool { return s.Service == service })
}

// recentVersions are the software versions that this node saw in the service lately.
func (x *exchange) recentVersions() (versions []string) {
	x.handler.options.Dispatch.Do(func(core *dispatch.Core) { versions = core.RecentVersions(clock.Now(), x.service) })
	return versions
}

// servedVersion is the software version that answers the attempt; empty if it is uncertain.
func (x *exchange) servedVersion(choice dispatch.Choice) (version string) {
	x.handler.options.Dispatch.Do(func(core *dispatch.Core) { version = core.ServedVersion(choice.Attempt) })
	return version
}

// beginEvents records the origin of a stream whose first event is about to be passed on. Where the
// stream goes on, it reports whether the version that is about to write is the one that began it.
func (x *exchange) beginEvents(version string, source originSource) bool {
	if required := x.requiredVersion(); x.isGoingOn() {
		if required != version && !x.servesOneVersion() {
			return false
		}
		if x.isResumption && !x.headSent {
			x.handler.Metrics.StreamsContinued.Add(1)
		}
	} else {
		x.setOrigin(origins.Origin{Service: x.service, SoftwareVersion: version}, source)
	}
	x.recordOrigin()
	return true
}

// servesOneVersion reports whether the service had one software version lately, known or not. A node that was cut
// off may hear of others only as it asks where a stream began.
func (x *exchange) servesOneVersion() bool {
	return x.heardVersions <= 1 && len(x.recentVersions()) <= 1
}

// recordOrigin tells other nodes where the stream began. A node that takes a forwarded stream leaves
// that to the node of the caller.
func (x *exchange) recordOrigin() {
	if x.handler.options.Origins == nil || x.route.RetryPolicy != routetable.RetryResume || x.forwarded != nil || x.isResumption && x.head.Resumes == "" {
		return
	}
	x.handler.options.Origins.Record(x.originEntry(*x.origin))
}

// originEntry is the record of the origin.
func (x *exchange) originEntry(origin origins.Origin) origins.Entry {
	expires := x.deadline
	if x.head.Deadline > 0 {
		expires = x.arrived.Add(x.head.Deadline)
	}
	return origins.Entry{
		Key: x.streamKey(), Origin: origin, ExpiresAt: expires.Add(originMargin), Server: x.originServer, RecordedAt: x.originSentAt,
		IsCertain: x.isOriginConfirmed.Load(),
	}
}

// reviewOrigin corrects the origin of a stream that broke off, if its server turns out to have started
// again: it is uncertain which start wrote its events. version is what its last server runs by now. It
// reports whether the stream may go on in this response; where that is not settled yet, its caller may
// resume it later.
func (x *exchange) reviewOrigin(version string) bool {
	if x.origin == nil || x.servesOneVersion() {
		return true
	}
	entry := x.recordedOrigin()
	if entry.IsCertain {
		return true
	}
	certainty := originDoubtful
	if version == x.origin.SoftwareVersion {
		certainty = x.checkOrigin(entry)
	}
	if certainty == originDoubtful {
		x.origin.SoftwareVersion = ""
		x.recordOrigin()
	}
	return certainty != originUnsettled
}

// endOrigin says that this node no longer passes the stream on.
func (x *exchange) endOrigin() {
	if x.handler.options.Origins != nil && x.origin != nil && x.forwarded == nil {
		x.handler.options.Origins.End(x.streamKey())
	}
}

// forgetOriginServer drops the server of an attempt that brought no event: a peer does not say which
// server writes its events.
func (x *exchange) forgetOriginServer() {
	x.onFirstEvent = nil
	if !x.isGoingOn() {
		x.originServer, x.originSentAt = inventory.Start{}, time.Time{}
	}
}

// checkVersion reports whether the stream can go on: its version is known, and a server of it takes
// work. If not it gives the final response, since waiting would not help.
func (x *exchange) checkVersion() bool {
	if x.origin == nil || !x.isGoingOn() {
		return true
	}
	if x.origin.SoftwareVersion == "" {
		if x.servesOneVersion() {
			return true
		}
		x.handler.Metrics.VersionUnknown.Add(1)
		x.giveUp(reasonVersionUnknown)
		return false
	}
	found, isUncertain := false, false
	var settlesIn time.Duration
	x.handler.options.Dispatch.Do(func(core *dispatch.Core) {
		now := clock.Now()
		if found = core.HasServer(now, x.requirements()); !found {
			settlesIn, isUncertain = core.VersionsSettleIn(now, x.requirements())
		}
	})
	switch {
	case found:
	case isUncertain:
		x.handler.Metrics.VersionUnknown.Add(1)
		x.refuse(reasonVersionUnknown, settlesIn)
	default:
		x.handler.Metrics.VersionGone.Add(1)
		x.refusePermanently(reasonVersionGone)
	}
	return found
}
