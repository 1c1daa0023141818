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

// KeeperStore is what the keepers' table needs of the platform's object API;
// *objectstore.Client has it. Get fails with a trait of errorx.NotFound where
// there is no object, and returns the tombstone beside the error if it has one.
type KeeperStore interface {
	Get(ctx context.Context, key objectstore.Key) (objectstore.Object, error)
	Put(ctx context.Context, object objectstore.Object, expected uint64) (objectstore.Object, error)
}

// ClaimDependencies is what the claim shell needs.
type ClaimDependencies struct {
	System *actor.ActorSystem
	// Self is this node; name, boot and peer address make its seat.
	Self   fleet.Member
	Pool   *peer.Pool
	Views  *views.Views
	Store  KeeperStore
	Logger *log.Logger
	// Keeper sets up the keeper core; Self is filled in.
	Keeper claim.KeeperOptions
}

// Claims is this node's keeper, its view of the table of keepers, and the
// claim.Guard of its gateway.
type Claims struct {
	dependencies ClaimDependencies
	seat         claim.Seat
	pid          *actor.PID
	keeper       *claim.Keeper
	timer        *time.Timer

	// lifetime ends all background calls at Stop.
	lifetime   context.Context
	cancel     context.CancelFunc
	background sync.WaitGroup
	refresh    chan struct{}
	// records counts what the keeper holds, for the figures.
	records atomic.Int64

	mutex    sync.Mutex
	table    claim.Table
	attempts map[string]granted
	sequence uint64

	coordinator  coordinator
	goneMachines goneMachines
}

var (
	_ claim.Guard = (*Claims)(nil)
	_ KeeperStore = (*objectstore.Client)(nil)
)

const (
	// keeperCallTimeout bounds one call to a keeper.
	keeperCallTimeout = time.Second
	// transferTimeout bounds one hand-over of records.
	transferTimeout = 5 * time.Second
)

// keeperCall is a message for the keeper and where its effects go.
type keeperCall struct {
	message claim.KeeperMessage
	reply   chan []claim.KeeperEffect
}

// settledQuery asks the actor for the keeper's settled slots.
type settledQuery struct{ reply chan map[int]uint64 }

// StartClaims spawns the keeper's actor and begins to follow the table.
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
		dependencies: dependencies,
		seat:         seat,
		keeper:       claim.NewKeeper(options),
		lifetime:     lifetime,
		cancel:       cancel,
		refresh:      make(chan struct{}, 1),
		attempts:     make(map[string]granted),
		coordinator:  newCoordinator(),
	}
	props := actor.PropsFromFunc(shell.receive, inPart(dependencies.Self.Name, partClaims))
	spawn(dependencies.System, props, func(pid *actor.PID) { shell.pid = pid })
	shell.background.Add(1)
	go shell.followTable()
	dependencies.Views.Members.Watch(shell.watchMembers())
	dependencies.Views.Machines.Watch(shell.watchMachines)
	return shell
}

// Stop ends the actor and all background calls. The records are lost: Drain
// goes before it at a planned stop.
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

func (c *Claims) step(message claim.KeeperMessage) []claim.KeeperEffect {
	effects := c.keeper.Step(time.Now(), message)
	c.records.Store(int64(c.keeper.Records()))
	for _, effect := range effects {
		if ask, found := effect.(claim.RequestSeal); found {
			c.goBackground(func() { c.askSeal(ask) })
		}
	}
	if c.timer != nil {
		c.timer.Stop()
	}
	delay := max(time.Until(c.keeper.NextWake()), time.Millisecond)
	c.timer = time.AfterFunc(delay, func() { c.tell(claim.Tick{}) })
	return effects
}

// tell sends the keeper a message whose effects need no answer.
func (c *Claims) tell(message claim.KeeperMessage) {
	if c.lifetime.Err() == nil {
		c.dependencies.System.Root.Send(c.pid, message)
	}
}

// call sends the keeper a message and returns the answer of the given type.
func call[Reply claim.KeeperEffect](ctx context.Context, c *Claims, message claim.KeeperMessage) (Reply, error) {
	var none Reply
	request := keeperCall{message: message, reply: make(chan []claim.KeeperEffect, 1)}
	if c.lifetime.Err() != nil {
		return none, context.Canceled
	}
	c.dependencies.System.Root.Send(c.pid, request)
	select {
	case effects := <-request.reply:
		for _, effect := range effects {
			if reply, found := effect.(Reply); found {
				return reply, nil
			}
		}
		return none, context.Canceled
	case <-ctx.Done():
		return none, ctx.Err()
	case <-c.lifetime.Done():
		return none, context.Canceled
	}
}

// goBackground runs the function, which Stop waits for; after Stop it does
// nothing.
func (c *Claims) goBackground(work func()) {
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

// askSeal carries a request to an older keeper. Any other process that answers
// at the seat's address proves that the seat's own has ended: it would still
// hold the port.
func (c *Claims) askSeal(ask claim.RequestSeal) {
	ctx, cancel := context.WithTimeout(c.lifetime, transferTimeout)
	defer cancel()
	response, err := c.dependencies.Pool.To(ask.To.Address).Claims.Transfer(ctx, &peerpb.TransferRequest{
		From:   string(c.seat.Name),
		Slot:   encodeSlot(ask.Slot),
		To:     string(ask.To.Name),
		ToBoot: ask.To.Boot,
	})
	if err != nil {
		return
	}
	if response.GetBoot() != ask.To.Boot {
		c.tell(claim.ProcessEnded{Seat: ask.To})
		return
	}
	c.goneMachines.answered(ask.To, time.Now())
	c.tell(claim.SealAnswered{
		Index:   ask.Slot.Index,
		Version: ask.Slot.Version,
		From:    ask.To,
		Reply:   decodeSealReply(response),
	})
}

// watchMembers tells the keeper of nodes that the failure detector lost.
func (c *Claims) watchMembers() func([]fleet.Member) {
	lost := make(map[fleet.NodeName]bool)
	return func(members []fleet.Member) {
		for _, member := range members {
			isLost := member.State == fleet.MemberDead || member.State == fleet.MemberLeft
			if isLost && !lost[member.Name] {
				c.tell(claim.NodeLost{Node: member.Name})
			}
			lost[member.Name] = isLost
		}
		c.wakeTable()
	}
}

// watchMachines takes a newer machine list.
func (c *Claims) watchMachines(list objectstore.MachineList) {
	c.goneMachines.note(list, time.Now())
	c.tellGone()
}

// tellGone tells the keeper of seats whose machine is gone.
func (c *Claims) tellGone() {
	now := time.Now()
	for _, slot := range c.currentTable().Slots {
		for _, generation := range slices.Concat(slot.Previous, [][]claim.Seat{slot.Seats}) {
			for _, seat := range generation {
				if c.goneMachines.has(seat, now) {
					c.tell(claim.ProcessEnded{Seat: seat})
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

// takeSlots merges newer slots and tells the keeper of them.
func (c *Claims) takeSlots(slots []claim.Slot) {
	c.mutex.Lock()
	merged, newer := c.table.Merge(usableSlots(slots))
	c.table = merged
	c.mutex.Unlock()
	for _, slot := range newer {
		c.tell(claim.SlotUpdate{Slot: slot})
	}
}
