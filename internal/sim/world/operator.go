package world

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/spanlanding/spanlanding/internal/objectstore"
	"github.com/spanlanding/spanlanding/internal/sim"
)

const (
	operatorCount       = 2
	minOperatorInterval = time.Second
	maxOperatorInterval = 8 * time.Second
	readBackInterval    = 500 * time.Millisecond
	maxReadBackTries    = 60
)

// operator changes declarations by compare-and-set in the same way as the apply
// command: it reads the object, writes it with a change ID, and reads it back if
// the answer is lost. Operators compete for the same objects.
type operator struct {
	world   *World
	process *sim.Process
	random  *rand.Rand
	name    string
	changes int
}

func newOperator(world *World, index int) *operator {
	name := fmt.Sprintf("operator%d", index+1)
	created := &operator{world: world, name: name, random: world.streams.Stream("operator/" + name)}
	created.process = sim.NewProcess(world.scheduler, world.trace, sim.ProcessOptions{
		Name: name, Zone: "operators", Start: func(uint64) { created.next() },
	})
	return created
}

func (o *operator) next() {
	pause := sim.Between(o.random, minOperatorInterval, maxOperatorInterval)
	o.world.scheduler.After(pause, func() { o.change(o.world.drawDeclaration(o.random)) })
}

func (o *operator) change(declared objectstore.Object) {
	o.changes++
	declared.ChangeID = fmt.Sprintf("%s-%d", o.name, o.changes)
	declared.ChangedBy = o.name
	o.world.store.get(o.process, declared.Key(), func(answer storeAnswer, outcome sim.CallOutcome) {
		if outcome != sim.Answered {
			o.next()
			return
		}
		o.write(objectstore.WriteRequest{Object: declared, ExpectedVersion: answer.object.Version})
	})
}

func (o *operator) write(request objectstore.WriteRequest) {
	o.world.store.write(o.process, request, func(answer storeAnswer, outcome sim.CallOutcome) {
		switch {
		case outcome == sim.TimedOut:
			o.world.count("operator-answer-lost")
			o.readBack(request, maxReadBackTries)
			return
		case outcome == sim.Answered && answer.conflict != nil && answer.conflict.Current.ChangeID == request.Object.ChangeID:
			o.world.checker.writeAccepted(answer.conflict.Current)
		case outcome == sim.Answered && answer.conflict != nil:
			o.world.count("operator-conflict")
		case outcome == sim.Answered:
			o.world.count("operator-accepted")
			o.world.checker.writeAccepted(answer.object)
		}
		o.next()
	})
}

// readBack determines the outcome of a write whose answer was lost. The write
// was accepted if the object has its change ID, and counts as a conflict if the
// object has another change at a version later than the expected one.
func (o *operator) readBack(request objectstore.WriteRequest, tries int) {
	if tries == 0 {
		o.next()
		return
	}
	o.world.store.get(o.process, request.Object.Key(), func(answer storeAnswer, outcome sim.CallOutcome) {
		if outcome == sim.Answered && answer.object.ChangeID == request.Object.ChangeID {
			o.world.count("operator-read-back")
			o.world.checker.writeAccepted(answer.object)
			o.next()
			return
		}
		if outcome == sim.Answered && answer.object.Version > request.ExpectedVersion {
			o.world.count("operator-conflict")
			o.next()
			return
		}
		o.world.scheduler.After(readBackInterval, func() { o.readBack(request, tries-1) })
	})
}
