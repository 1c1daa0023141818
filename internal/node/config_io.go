package node

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/joomcode/errorx"
	"github.com/phuslu/log"

	"github.com/spanlanding/spanlanding/internal/configsync"
	"github.com/spanlanding/spanlanding/internal/fleet"
	"github.com/spanlanding/spanlanding/internal/objectstore"
	"github.com/spanlanding/spanlanding/internal/peer/peerpb"
)

const (
	listTimeout     = 30 * time.Second
	machinesTimeout = 5 * time.Second
	pushTimeout     = 2 * time.Second
	digestTimeout   = 5 * time.Second
	// watchIdleLimit ends a watch that delivers nothing, as its connection may be dead. The
	// next watch continues from the same version.
	watchIdleLimit = 10 * time.Second
)

// startReading starts a list or watch and cancels the one that runs.
func (a *configActor) startReading(read func(context.Context)) {
	a.cancelRead()
	ctx, cancel := context.WithCancel(a.lifetime)
	a.cancelRead = cancel
	go read(ctx)
}

func (a *configActor) list(ctx context.Context, effect configsync.ListStore) {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	list, err := a.dependencies.Platform.List(ctx, "")
	a.storeOutage.record(a.dependencies.Logger, storeEvents, err)
	if err != nil {
		a.send(configsync.ListFailed(effect))
		return
	}
	a.send(configsync.StoreListed{Generation: effect.Generation, List: list})
}

func (a *configActor) watch(parent context.Context, effect configsync.WatchStore) {
	ctx, cancel := context.WithCancel(parent)
	defer cancel()
	idle := time.AfterFunc(watchIdleLimit, cancel)
	defer idle.Stop()
	started, err := a.readWatch(ctx, effect, idle)
	if parent.Err() != nil {
		return
	}
	endedIdle := started && ctx.Err() != nil
	if !endedIdle {
		a.storeOutage.record(a.dependencies.Logger, storeEvents, err)
	}
	a.send(configsync.WatchEnded{
		Generation: effect.Generation,
		Compacted:  errorx.IsOfType(err, objectstore.Compacted),
		Idle:       endedIdle,
	})
}

// readWatch reads events until the watch ends, and reports whether the watch was opened.
func (a *configActor) readWatch(ctx context.Context, effect configsync.WatchStore, idle *time.Timer) (started bool, err error) {
	watch, err := a.dependencies.Platform.Watch(ctx, effect.Since)
	if err != nil {
		return false, err
	}
	defer watch.Close()
	a.storeOutage.record(a.dependencies.Logger, storeEvents, nil)
	for {
		event, err := watch.Next()
		if err != nil {
			return true, err
		}
		idle.Reset(watchIdleLimit)
		message := configsync.EventsReceived{Generation: effect.Generation, Version: event.Version}
		if event.Object != nil {
			message.Objects = []objectstore.Object{*event.Object}
		}
		a.send(message)
	}
}

func (a *configActor) listMachines() {
	ctx, cancel := context.WithTimeout(a.lifetime, machinesTimeout)
	defer cancel()
	list, err := a.dependencies.Platform.Machines(ctx)
	a.machineOutage.record(a.dependencies.Logger, machineEvents, err)
	if err != nil {
		a.send(configsync.ListMachinesFailed{})
		return
	}
	a.send(configsync.MachinesListed{List: list})
}

func (a *configActor) sendPush(to fleet.Member, request *peerpb.PushRequest) {
	ctx, cancel := context.WithTimeout(a.lifetime, pushTimeout)
	defer cancel()
	if _, err := a.dependencies.Peers.To(to.Addresses.Peer).Config.Push(ctx, request); err != nil {
		a.dependencies.Logger.Debug().Str("peer", string(to.Name)).Err(err).Msg("config_push_failed")
	}
}

func (a *configActor) sendDigest(effect configsync.SendDigest) {
	ctx, cancel := context.WithTimeout(a.lifetime, digestTimeout)
	defer cancel()
	request := encodeDigest(a.dependencies.Self.Name, effect.Digest)
	response, err := a.dependencies.Peers.To(effect.To.Addresses.Peer).Config.Digest(ctx, request)
	if err != nil {
		a.dependencies.Logger.Debug().Str("peer", string(effect.To.Name)).Err(err).Msg("config_digest_failed")
		a.send(configsync.DigestFailed{To: effect.To.Name, Space: effect.Digest.Space})
		return
	}
	answer, err := decodeDigestAnswer(effect.Digest.Space, response)
	if err != nil {
		a.dependencies.Logger.Warn().Str("peer", string(effect.To.Name)).Err(err).Msg("config_digest_unreadable")
		return
	}
	a.send(configsync.DigestAnswered{From: effect.To.Name, Answer: answer})
}

// outage logs only the first of consecutive failures and the recovery, so that a long outage
// does not fill the log.
type outage struct {
	failing atomic.Bool
}

// outageEvents names the log events for the beginning and the end of an outage.
type outageEvents struct {
	failed    string
	recovered string
}

var (
	storeEvents   = outageEvents{failed: "store_read_failed", recovered: "store_read_recovered"}
	machineEvents = outageEvents{failed: "machine_list_failed", recovered: "machine_list_recovered"}
)

func (o *outage) record(logger *log.Logger, events outageEvents, err error) {
	switch failed := err != nil; {
	case failed == o.failing.Swap(failed):
	case failed:
		logger.Warn().Err(err).Msg(events.failed)
	default:
		logger.Info().Msg(events.recovered)
	}
}
