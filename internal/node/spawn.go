package node

import "github.com/asynkron/protoactor-go/actor"

// spawn starts an actor whose process identity is stored before the actor
// handles its first message: what that message starts in the background may
// answer before a plain Spawn has returned.
func spawn(system *actor.ActorSystem, props *actor.Props, store func(*actor.PID)) {
	name := system.ProcessRegistry.NextId()
	store(system.NewLocalPID(name))
	if _, err := system.Root.SpawnNamed(props, name); err != nil {
		// The registry never gives a name twice.
		panic(err)
	}
}
