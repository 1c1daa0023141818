package node

import (
	"testing"

	"github.com/asynkron/protoactor-go/actor"

	"github.com/spanlanding/spanlanding/internal/logging"
)

func TestSpawnStoresTheIdentityBeforeTheFirstMessage(t *testing.T) {
	system := actor.NewActorSystem(actor.WithLoggerFactory(actorLoggerFactory(logging.Discard())))
	var stored *actor.PID
	seen := make(chan *actor.PID, 1)
	spawn(system, actor.PropsFromFunc(func(ctx actor.Context) {
		if _, started := ctx.Message().(*actor.Started); started {
			seen <- stored
		}
	}), func(pid *actor.PID) { stored = pid })
	if atStart := <-seen; atStart == nil || atStart != stored {
		t.Fatalf("the first message saw %v, stored is %v", atStart, stored)
	}
	if err := system.Root.StopFuture(stored).Wait(); err != nil {
		t.Error(err)
	}
}
