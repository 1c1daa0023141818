package node

import "github.com/asynkron/protoactor-go/actor"

// spawn starts an actor and stores its PID before the actor handles its first message. With
// a plain Spawn, work that the first message starts in the background could use the PID
// before Spawn has returned it.
func spawn(system *actor.ActorSystem, props *actor.Props, store func(*actor.PID)) {
	name := system.ProcessRegistry.NextId()
	store(system.NewLocalPID(name))
	if _, err := system.Root.SpawnNamed(props, name); err != nil {
		// The registry never returns the same name twice.
		panic(err)
	}
}
