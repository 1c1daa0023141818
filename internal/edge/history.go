package edge

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"golang.org/x/sync/singleflight"

	"github.com/spanlanding/spanlanding/internal/checkpoint"
	"github.com/spanlanding/spanlanding/internal/clock"
	"github.com/spanlanding/spanlanding/internal/dispatch"
	"github.com/spanlanding/spanlanding/internal/storepos"
)

// CheckpointStore reads and writes what outlives all nodes.
type CheckpointStore interface {
	ReadCheckpoint(ctx context.Context, name string) (object checkpoint.Object, found bool, err error)
	// WriteCheckpoint writes the object if it is still at its position; won is false if it is not.
	WriteCheckpoint(ctx context.Context, object checkpoint.Object) (at storepos.Position, won bool, err error)
}

const (
	// historyCheckPeriod is the interval between checks whether the stored record of versions is current.
	historyCheckPeriod = 200 * time.Millisecond
	// historyWriters is the number of nodes that write the record: the first one at once, each of the
	// others historyDelayPerRank later, if it is not written yet.
	historyWriters      = 3
	historyDelayPerRank = 500 * time.Millisecond
	// historyStartDelay is how long a node listens to its peers before it takes part.
	historyStartDelay = time.Second
	// historyPrunePeriod is the least time between two writes that only remove versions from the record.
	historyPrunePeriod = 10 * time.Second
	// historyRetryPause is the mean pause after a call that failed.
	historyRetryPause = time.Second
	// recallPeriod is the least time between two readings for requests, and recallWait is how long a request
	// waits for one.
	recallPeriod = 500 * time.Millisecond
	recallWait   = 400 * time.Millisecond
)

// versionHistory tells whether this node knows all software versions at which streams of a service may have
// begun: it has observed the servers for long enough, or has read what the fleet recorded before it started.
// The nodes that come first keep that record in the store. It is safe for concurrent use.
type versionHistory struct {
	node *Node
	// recalls makes requests that wait for the record share one reading.
	recalls singleflight.Group
	// witness tells where streams began that no node knows any more.
	witness *lossWitness
	// observed is closed once this node knows all servers.
	observed chan struct{}

	mu sync.Mutex
	// observedSince is when this node first knew all servers; zero until then.
	observedSince time.Time
	// recorded is the record as last read or written here, at position at, since seenAt; nil until then.
	recorded checkpoint.VersionRecord
	at       storepos.Position
	seenAt   time.Time

	// recalledAt is when the record was last read for requests; only one such reading is under way.
	recalledAt time.Time
	// Used by run alone: when the record was first seen to lack a version, when it was last written here,
	// and when the next call is due after one that failed.
	lackingSince, writtenAt, nextCall time.Time
}

func newVersionHistory(node *Node) *versionHistory {
	return &versionHistory{node: node, witness: newLossWitness(node), observed: make(chan struct{})}
}

// observe records that all servers are known. The versions of later ones have joined since.
func (h *versionHistory) observe(now time.Time) {
	if _, isObserved := h.observationBegan(); isObserved {
		return
	}
	h.recentVersions(now)
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.observedSince.IsZero() {
		h.observedSince = now
		close(h.observed)
	}
}

// isKnown reports whether the versions that this node saw lately are all at which streams of the service may
// have begun.
func (h *versionHistory) isKnown(now time.Time, service string) bool {
	if h.node.options.Checkpoints == nil {
		return true
	}
	h.mu.Lock()
	_, isRecorded := h.recorded[service]
	h.mu.Unlock()
	return isRecorded || h.hasObservedLongEnough(now)
}

// recall reads the record unless the history of the service is known. It reports whether it is now.
func (h *versionHistory) recall(ctx context.Context, service string) bool {
	if h.isKnown(clock.Now(), service) {
		return true
	}
	read := h.recalls.DoChan("", func() (any, error) {
		if clock.Since(h.recalledAt) < recallPeriod {
			return nil, nil
		}
		h.recalledAt = clock.Now()
		ctx, cancel := context.WithTimeout(context.Background(), checkpointTimeout)
		defer cancel()
		_, err := h.read(ctx)
		return nil, err
	})
	timer := time.NewTimer(recallWait)
	defer timer.Stop()
	select {
	case <-read:
	case <-timer.C:
	case <-ctx.Done():
	}
	return h.isKnown(clock.Now(), service)
}

// read reads the record and takes over the versions that this node did not see itself. The object returned
// has the position at which the record can be replaced.
func (h *versionHistory) read(ctx context.Context) (checkpoint.Object, error) {
	requestedAt := clock.Now()
	object, found, err := h.node.options.Checkpoints.ReadCheckpoint(ctx, checkpoint.VersionsName)
	if err != nil {
		return object, err
	}
	if !found {
		h.witness.recordRead(nil)
		return object, nil
	}
	record, err := checkpoint.DecodeVersionRecord(object.Data)
	h.witness.recordRead(record)
	switch {
	case err == nil:
		h.adopt(requestedAt, record, object.Position)
		return object, nil
	case h.hasObservedLongEnough(clock.Now()):
		h.node.options.Logger.Warn().Str("error", err.Error()).Msg("version_record_replaced")
		return object, nil
	default:
		// Replacing it now would turn what it hides into versions that never served.
		return object, err
	}
}

// hasObservedLongEnough reports whether this node itself saw all versions that streams may have begun at.
func (h *versionHistory) hasObservedLongEnough(now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return !h.observedSince.IsZero() && now.Sub(h.observedSince) >= dispatch.FormerVersionRetention
}

// isOvertaken reports whether a call made at requestedAt, which tells of the record at the position, was overtaken by
// another one that told of a later record. h.mu must be held.
func (h *versionHistory) isOvertaken(requestedAt time.Time, at storepos.Position) bool {
	return at.IsBefore(h.at) && !requestedAt.After(h.seenAt)
}

// replace makes the record that a call made at requestedAt read or wrote the known one, unless it was overtaken.
func (h *versionHistory) replace(requestedAt time.Time, record checkpoint.VersionRecord, at storepos.Position) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.isOvertaken(requestedAt, at) {
		h.recorded, h.at, h.seenAt = record, at, clock.Now()
	}
}

// adopt takes over a record that was read by a call made at requestedAt. Versions that were in it before are not
// former ones anew, or they would never leave it. The record counts as known once its versions do.
func (h *versionHistory) adopt(requestedAt time.Time, record checkpoint.VersionRecord, at storepos.Position) {
	h.mu.Lock()
	known, isOvertaken := h.recorded, h.isOvertaken(requestedAt, at)
	h.mu.Unlock()
	if isOvertaken {
		return
	}
	now := clock.Now()
	h.node.dispatch.Do(func(core *dispatch.Core) {
		for service, versions := range record {
			for _, version := range versions {
				if !known.Has(service, version) {
					core.AddFormerVersion(now, service, version)
				}
			}
		}
	})
	h.markRecorded(now, record)
	h.replace(requestedAt, record, at)
	if known == nil {
		h.node.options.Logger.Info().Int("services", len(record)).Str("at", at.String()).Msg("version_record_read")
	}
}

// markRecorded tells the dispatcher which versions the record names.
func (h *versionHistory) markRecorded(now time.Time, record checkpoint.VersionRecord) {
	h.node.dispatch.Do(func(core *dispatch.Core) {
		for service, versions := range record {
			for _, version := range versions {
				core.MarkVersionRecorded(now, service, version)
			}
		}
	})
}

// run reads the record where it tells which versions served before this node started, and keeps it current
// while this node is one of those that write it.
func (h *versionHistory) run(ctx context.Context) {
	if h.node.options.Checkpoints == nil {
		return
	}
	select {
	case <-h.observed:
	case <-ctx.Done():
	}
	for ctx.Err() == nil {
		switch now := clock.Now(); {
		case h.isReadDue(now):
			_, err := h.read(ctx)
			h.pauseAfter(err, "version_record_not_read")
		case h.isWriteDue(now):
			h.pauseAfter(h.update(ctx), "version_record_not_updated")
		}
		h.serveAsWitness(ctx, clock.Now())
		sleep(ctx, historyCheckPeriod)
	}
}

// serveAsWitness finds out what this node can say of lost streams. Others learn it from the nodes that come first.
func (h *versionHistory) serveAsWitness(ctx context.Context, now time.Time) {
	if h.hasObservedLongEnough(now) {
		return
	}
	h.witness.observePeers(now)
	if rank, _ := h.node.peers.rank(now); rank < historyWriters && now.Sub(h.node.started) >= historyStartDelay {
		h.witness.proveAll(ctx, now)
	}
}

// pauseAfter logs an error of a call, and puts off the next one.
func (h *versionHistory) pauseAfter(err error, event string) {
	if err == nil {
		return
	}
	h.node.options.Logger.Warn().Str("error", err.Error()).Msg(event)
	h.nextCall = clock.Now().Add(historyRetryPause/2 + rand.N(historyRetryPause))
}

// isReadDue reports whether this node has started too lately to know which of several versions are recorded.
func (h *versionHistory) isReadDue(now time.Time) bool {
	return !h.witness.hasRead() && !now.Before(h.nextCall) && !h.hasObservedLongEnough(now) && h.node.origins.checkpoints.hasMixedServices(now)
}

func (h *versionHistory) recentVersions(now time.Time) (recent checkpoint.VersionRecord) {
	h.node.dispatch.Do(func(core *dispatch.Core) { recent = core.VersionsByService(now) })
	return recent
}

// isWriteDue reports whether this node should now make the record name the versions that it saw lately.
func (h *versionHistory) isWriteDue(now time.Time) bool {
	rank, _ := h.node.peers.rank(now)
	if rank >= historyWriters || now.Sub(h.node.started) < historyStartDelay || now.Before(h.nextCall) || !h.node.hasServers.Load() {
		h.lackingSince = time.Time{}
		return false
	}
	recent := h.recentVersions(now)
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.recorded.Covers(recent) && h.at.Era >= h.node.directory.position().Era {
		h.lackingSince = time.Time{}
		return rank == 0 && !recent.Covers(h.recorded) && now.Sub(h.writtenAt) >= historyPrunePeriod
	}
	if h.lackingSince.IsZero() {
		h.lackingSince = now
	}
	return now.Sub(h.lackingSince) >= time.Duration(rank)*historyDelayPerRank
}

// update reads the record and replaces it if it is not current. What was recorded before this node started
// stays in it for as long as streams may be resumed.
func (h *versionHistory) update(ctx context.Context) error {
	object, err := h.read(ctx)
	if err != nil {
		return err
	}
	now := clock.Now()
	recent := h.recentVersions(now)
	h.mu.Lock()
	isCurrent := h.at == object.Position && h.recorded.Covers(recent) && recent.Covers(h.recorded)
	h.mu.Unlock()
	if isCurrent {
		return nil
	}
	if object.Data, err = recent.Encode(); err != nil {
		return err
	}
	at, won, err := h.node.options.Checkpoints.WriteCheckpoint(ctx, object)
	if err != nil {
		return err
	}
	if !won {
		return nil
	}
	h.writtenAt = now
	h.replace(now, recent, at)
	h.markRecorded(now, recent)
	h.node.options.Logger.Info().Int("services", len(recent)).Str("at", at.String()).Msg("version_record_written")
	return nil
}
