package world

import (
	"math/rand/v2"
	"time"

	"github.com/spanlanding/spanlanding/internal/objectstore"
	"github.com/spanlanding/spanlanding/internal/sim"
	"github.com/spanlanding/spanlanding/internal/standin/objects"
)

const (
	storeCallTimeout  = 2 * time.Second
	storeServiceTime  = 3 * time.Millisecond
	watchHeartbeat    = time.Second
	watchDetection    = 3 * time.Second
	storeHistoryLimit = 200
)

// storeProcess is the platform's object API: the stand-in's model and the faults
// applied to it.
type storeProcess struct {
	world   *World
	process *sim.Process
	objects *objects.Store
	random  *rand.Rand
	watches []*watch

	// down, if positive, refuses all calls. slow is the maximum additional time
	// of each call. answersLost is the probability that the answer to a call is
	// lost after the call has taken effect.
	down        int
	slow        time.Duration
	answersLost float64
}

// watch is one reader's stream of changes.
type watch struct {
	since uint64
	// boot is the boot of the reader that opened the watch.
	boot   uint64
	stream *sim.Stream
	// onEvents runs at the reader.
	onEvents func(version uint64, objects []objectstore.Object)
}

func newStoreProcess(world *World) *storeProcess {
	store := &storeProcess{world: world, objects: objects.New(storeHistoryLimit), random: world.streams.Stream("store")}
	store.process = sim.NewProcess(world.scheduler, world.trace, sim.ProcessOptions{
		Name: "store", Zone: platformZone, Start: store.start,
	})
	return store
}

func (s *storeProcess) start(uint64) {
	s.world.scheduler.Every(watchHeartbeat, func() bool {
		s.sendChanges(true)
		return true
	})
}

// storeAnswer is the answer to a call to the store.
type storeAnswer struct {
	list     objectstore.ObjectList
	object   objectstore.Object
	found    bool
	conflict *objectstore.ConflictResponse
}

// list reads all objects.
func (s *storeProcess) list(from *sim.Process, done func(storeAnswer, sim.CallOutcome)) {
	s.call(from, "store/list", func() storeAnswer {
		return storeAnswer{list: s.objects.List("", false)}
	}, done)
}

// get reads one object.
func (s *storeProcess) get(from *sim.Process, key objectstore.Key, done func(storeAnswer, sim.CallOutcome)) {
	s.call(from, "store/get", func() storeAnswer {
		object, found := s.objects.Get(key)
		return storeAnswer{object: object, found: found}
	}, done)
}

// write changes one object by compare-and-set.
func (s *storeProcess) write(from *sim.Process, request objectstore.WriteRequest, done func(storeAnswer, sim.CallOutcome)) {
	s.call(from, "store/write", func() storeAnswer {
		object, conflict := s.objects.Write(request)
		if conflict == nil {
			s.world.checker.storeChanged(object)
			s.world.trace.Record("written", object.Name, object.Kind, object.Version)
			s.sendChanges(false)
		}
		return storeAnswer{object: object, found: conflict == nil, conflict: conflict}
	}, done)
}

func (s *storeProcess) call(from *sim.Process, kind string, serve func() storeAnswer, done func(storeAnswer, sim.CallOutcome)) {
	s.world.network.Call(sim.Call{
		From: from, To: s.process, Kind: kind, Timeout: storeCallTimeout, Resent: true,
		Serve: func(reply func(any)) { s.serve(serve, reply) },
		Done: func(answer any, outcome sim.CallOutcome) {
			if outcome != sim.Answered {
				done(storeAnswer{}, outcome)
				return
			}
			if answer == nil {
				done(storeAnswer{}, sim.Refused)
				return
			}
			done(answer.(storeAnswer), outcome)
		},
	})
}

// serve answers after the service time. A nil answer stands for an error status
// without any effect.
func (s *storeProcess) serve(serve func() storeAnswer, reply func(any)) {
	if s.down > 0 {
		reply(nil)
		return
	}
	delay := storeServiceTime
	if s.slow > 0 {
		delay += sim.Between(s.random, 0, s.slow)
	}
	s.world.scheduler.After(delay, func() {
		answer := serve()
		if !sim.Chance(s.random, s.answersLost) {
			reply(answer)
		}
	})
}

// watch opens a stream of the changes after a version. ended runs at the reader
// when the stream has ended.
func (s *storeProcess) watch(from *sim.Process, since uint64, take func(uint64, []objectstore.Object), ended func(compacted bool)) *watch {
	opened := &watch{since: since, boot: from.Boot(), onEvents: take}
	s.world.network.Call(sim.Call{
		From: from, To: s.process, Kind: "store/watch", Timeout: storeCallTimeout,
		Serve: func(reply func(any)) { reply(s.openWatch(opened, from, ended)) },
		Done: func(answer any, outcome sim.CallOutcome) {
			if outcome != sim.Answered || answer != watchOpened {
				opened.abandon()
				ended(answer == watchCompacted)
			}
		},
	})
	return opened
}

// watchResult is the answer to opening a watch.
type watchResult int

const (
	watchUnavailable watchResult = iota
	watchOpened
	// watchCompacted means that the store no longer has the requested changes.
	watchCompacted
)

func (s *storeProcess) openWatch(opened *watch, from *sim.Process, ended func(bool)) watchResult {
	if s.down > 0 {
		return watchUnavailable
	}
	if _, complete := s.objects.Changes(opened.since); !complete {
		return watchCompacted
	}
	opened.stream = s.world.network.OpenStream(sim.StreamOptions{
		From: s.process, To: from, ToBoot: opened.boot, Detection: watchDetection, Broken: func() { ended(false) },
	})
	s.watches = append(s.watches, opened)
	s.sendChangesTo(opened, true)
	return watchOpened
}

func (w *watch) abandon() {
	if w.stream != nil {
		w.stream.Abandon()
	}
}

// sendChanges sends each watch what it has not seen; a heartbeat also tells the
// revision where nothing changed.
func (s *storeProcess) sendChanges(heartbeat bool) {
	open := s.watches[:0]
	for _, one := range s.watches {
		if one.stream.Open() {
			open = append(open, one)
		}
	}
	s.watches = open
	if s.down > 0 {
		return
	}
	for _, one := range s.watches {
		s.sendChangesTo(one, heartbeat)
	}
}

func (s *storeProcess) sendChangesTo(one *watch, heartbeat bool) {
	events, complete := s.objects.Changes(one.since)
	if !complete {
		return
	}
	var changed []objectstore.Object
	for _, event := range events {
		changed = append(changed, *event.Object)
		one.since = event.Version
	}
	if len(changed) == 0 && !heartbeat {
		return
	}
	version := max(one.since, s.objects.Version())
	one.stream.Send("store/event", uint64(len(changed)), func() { one.onEvents(version, changed) })
}

// breakWatches ends all watches, like a restart of the store.
func (s *storeProcess) breakWatches() {
	for _, one := range s.watches {
		one.stream.Break()
	}
	s.watches = nil
}
