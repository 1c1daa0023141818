package node

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/asynkron/protoactor-go/actor"
	"github.com/phuslu/log"

	"github.com/spanlanding/spanlanding/internal/claim"
	"github.com/spanlanding/spanlanding/internal/fleet"
	"github.com/spanlanding/spanlanding/internal/objectstore"
	"github.com/spanlanding/spanlanding/internal/peer"
	"github.com/spanlanding/spanlanding/internal/peer/peerpb"
	"github.com/spanlanding/spanlanding/internal/views"
)

// KeeperStore is the part of the platform's object API that the keepers' table is stored
// with. *objectstore.Client implements it. If there is no object, Get fails with an error
// that has the trait errorx.NotFound, and returns the tombstone beside the error if there is
// one.
type KeeperStore interface {
	Get(ctx context.Context, key objectstore.Key) (objectstore.Object, error)
	Put(ctx context.Context, object objectstore.Object, expected uint64) (objectstore.Object, error)
}

// ClaimDependencies is what the claim shell needs.
type ClaimDependencies struct {
	System *actor.ActorSystem
	// Self is this node. Its name, boot ID and peer address form its seat.
	Self   fleet.Member
	Pool   *peer.Pool
	Views  *views.Views
	Store  KeeperStore
	Logger *log.Logger
	// Keeper configures the keeper core; Self is filled in.
	Keeper claim.KeeperOptions
}

// Claims runs this node's keeper, holds its copy of the keepers' table, and implements
// claim.Guard for the node's gateway.
type Claims struct {
	dependencies ClaimDependencies
	seat         claim.Seat
	pid          *actor.PID
	keeper       *claim.Keeper
	timer        *time.Timer

	// lifetime ends all background calls at Stop.
	lifetime             context.Context
	cancel               context.CancelFunc
	background           sync.WaitGroup
	tableRefreshRequests chan struct{}
	// recordCount is the number of records that the keeper holds, for the metrics.
	recordCount atomic.Int64

	mutex    sync.Mutex
	table    claim.Table
	attempts map[string]grantedAttempt
	sequence uint64

	seatTracker  seatTracker
	goneMachines goneMachines
}

var (
	_ claim.Guard = (*Claims)(nil)
	_ KeeperStore = (*objectstore.Client)(nil)
)

const (
	// keeperCallTimeout bounds one call to a keeper.
	keeperCallTimeout = time.Second
	// transferTimeout bounds one transfer of records.
	transferTimeout = 5 * time.Second
)

// keeperCall is a message for the keeper whose effects are returned to the sender.
type keeperCall struct {
	message claim.KeeperMessage
	reply   chan []claim.KeeperEffect
}

// settledQuery asks the actor for the keeper's settled slots.
type settledQuery struct{ reply chan map[int]uint64 }

// StartClaims spawns the keeper's actor and starts the loop that maintains the keepers'
// table.
func StartClaims(dependencies ClaimDependencies) *Claims {
	seat := claim.Seat{
		Name:    dependencies.Self.Name,
		Boot:    dependencies.Self.BootID,
		Address: dependencies.Self.Addresses.Peer,
	}
	options := dependencies.Keeper
	options.Self = seat
	lifetime, cancel := context.WithCancel(context.Background())
	shell := &Claims{
		dependencies:         dependencies,
		seat:                 seat,
		keeper:               claim.NewKeeper(options),
		lifetime:             lifetime,
		cancel:               cancel,
		tableRefreshRequests: make(chan struct{}, 1),
		attempts:             make(map[string]grantedAttempt),
		seatTracker:          newSeatTracker(),
	}
	props := actor.PropsFromFunc(shell.receive, withProfileLabels(dependencies.Self.Name, partClaims))
	spawn(dependencies.System, props, func(pid *actor.PID) { shell.pid = pid })
	shell.background.Add(1)
	go shell.runTableLoop()
	dependencies.Views.Members.Watch(shell.watchMembers())
	dependencies.Views.Machines.Watch(shell.watchMachines)
	return shell
}

// Stop ends the actor and all background calls. The records are lost: at a planned stop,
// call Drain first.
func (c *Claims) Stop() {
	c.mutex.Lock()
	c.cancel()
	c.mutex.Unlock()
	c.background.Wait()
	_ = c.dependencies.System.Root.StopFuture(c.pid).Wait()
}

// Server returns the handlers for the peers' calls.
func (c *Claims) Server() peerpb.Claims {
	return claimsServer{claims: c}
}

func (c *Claims) receive(context actor.Context) {
	switch message := context.Message().(type) {
	case *actor.Stopping:
		if c.timer != nil {
			c.timer.Stop()
		}
	case keeperCall:
		message.reply <- c.step(message.message)
	case settledQuery:
		message.reply <- c.keeper.Settled()
	case claim.KeeperMessage:
		c.step(message)
	}
}

// step feeds the keeper one message, starts the seal requests that it asks for, schedules
// the next tick and returns all effects.
func (c *Claims) step(message claim.KeeperMessage) []claim.KeeperEffect {
	effects := c.keeper.Step(time.Now(), message)
	c.recordCount.Store(int64(c.keeper.Records()))
	for _, effect := range effects {
		if request, found := effect.(claim.RequestSeal); found {
			c.runInBackground(func() { c.requestSeal(request) })
		}
	}
	if c.timer != nil {
		c.timer.Stop()
	}
	delay := max(time.Until(c.keeper.NextWake()), time.Millisecond)
	c.timer = time.AfterFunc(delay, func() { c.send(claim.Tick{}) })
	return effects
}

// send sends the keeper a message whose effects the sender does not need.
func (c *Claims) send(message claim.KeeperMessage) {
	if c.lifetime.Err() == nil {
		c.dependencies.System.Root.Send(c.pid, message)
	}
}

// callKeeper sends the keeper a message and returns its reply of the given type.
func callKeeper[Reply claim.KeeperEffect](ctx context.Context, c *Claims, message claim.KeeperMessage) (Reply, error) {
	var zero Reply
	request := keeperCall{message: message, reply: make(chan []claim.KeeperEffect, 1)}
	if c.lifetime.Err() != nil {
		return zero, context.Canceled
	}
	c.dependencies.System.Root.Send(c.pid, request)
	select {
	case effects := <-request.reply:
		for _, effect := range effects {
			if reply, found := effect.(Reply); found {
				return reply, nil
			}
		}
		return zero, context.Canceled
	case <-ctx.Done():
		return zero, ctx.Err()
	case <-c.lifetime.Done():
		return zero, context.Canceled
	}
}

// runInBackground runs the function in a goroutine that Stop waits for. After Stop it does
// nothing.
func (c *Claims) runInBackground(work func()) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.lifetime.Err() != nil {
		return
	}
	c.background.Add(1)
	go func() {
		defer c.background.Done()
		work()
	}()
}

// requestSeal asks a keeper of an older version to seal a slot and hand over its records. If
// another process answers at the seat's address, the seat's own process has ended, as it
// would still hold the port.
func (c *Claims) requestSeal(request claim.RequestSeal) {
	ctx, cancel := context.WithTimeout(c.lifetime, transferTimeout)
	defer cancel()
	response, err := c.dependencies.Pool.To(request.To.Address).Claims.Transfer(ctx, &peerpb.TransferRequest{
		From:   string(c.seat.Name),
		Slot:   encodeSlot(request.Slot),
		To:     string(request.To.Name),
		ToBoot: request.To.Boot,
	})
	if err != nil {
		return
	}
	if response.GetBoot() != request.To.Boot {
		c.send(claim.ProcessEnded{Seat: request.To})
		return
	}
	c.goneMachines.recordAnswer(request.To, time.Now())
	c.send(claim.SealAnswered{
		Index:   request.Slot.Index,
		Version: request.Slot.Version,
		From:    request.To,
		Reply:   decodeSealReply(response),
	})
}

// watchMembers returns a view watcher that reports nodes to the keeper that the failure
// detector found dead or that left.
func (c *Claims) watchMembers() func([]fleet.Member) {
	lost := make(map[fleet.NodeName]bool)
	return func(members []fleet.Member) {
		for _, member := range members {
			isLost := member.State == fleet.MemberDead || member.State == fleet.MemberLeft
			if isLost && !lost[member.Name] {
				c.send(claim.NodeLost{Node: member.Name})
			}
			lost[member.Name] = isLost
		}
		c.requestTableRefresh()
	}
}

// watchMachines applies a newer machine list.
func (c *Claims) watchMachines(list objectstore.MachineList) {
	c.goneMachines.update(list, time.Now())
	c.reportEndedSeats()
}

// reportEndedSeats reports to the keeper the seats whose machine is gone.
func (c *Claims) reportEndedSeats() {
	now := time.Now()
	for _, slot := range c.currentTable().Slots {
		for _, generation := range slices.Concat(slot.Previous, [][]claim.Seat{slot.Seats}) {
			for _, seat := range generation {
				if c.goneMachines.isGone(seat, now) {
					c.send(claim.ProcessEnded{Seat: seat})
				}
			}
		}
	}
}

func (c *Claims) currentTable() claim.Table {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.table
}

// mergeSlots merges newer slot versions into the table and passes them to the keeper.
func (c *Claims) mergeSlots(slots []claim.Slot) {
	c.mutex.Lock()
	merged, newer := c.table.Merge(validSlots(slots))
	c.table = merged
	c.mutex.Unlock()
	for _, slot := range newer {
		c.send(claim.SlotUpdate{Slot: slot})
	}
}
