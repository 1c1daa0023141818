package node

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/joomcode/errorx"

	"github.com/spanlanding/spanlanding/internal/claim"
	"github.com/spanlanding/spanlanding/internal/fleet"
	"github.com/spanlanding/spanlanding/internal/objectstore"
	"github.com/spanlanding/spanlanding/internal/peer/peerpb"
)

// coordinator is what the node that keeps the table knows of the seats. Only
// the table's goroutine uses it.
type coordinator struct {
	heard map[claim.Seat]time.Time
	tried map[claim.Seat]time.Time
	gone  map[claim.Seat]bool
}

func newCoordinator() coordinator {
	return coordinator{
		heard: make(map[claim.Seat]time.Time),
		tried: make(map[claim.Seat]time.Time),
		gone:  make(map[claim.Seat]bool),
	}
}

const (
	keepersObject = "fleet"
	// tableInterval is how often the coordinator looks after the table, and
	// others for a first one.
	tableInterval = time.Second
	// quietTableInterval is the same once nothing changes.
	quietTableInterval = 5 * time.Second
	// tableRefresh is how often a node compares its table with another's.
	tableRefresh = 30 * time.Second
	// seatSilence is how long a seat may be silent until it is replaced.
	seatSilence  = 10 * time.Second
	storeTimeout = 2 * time.Second
)

// wakeTable makes the table's goroutine look at once.
func (c *Claims) wakeTable() {
	select {
	case c.refresh <- struct{}{}:
	default:
	}
}

// followTable keeps the table where this node is the coordinator, and learns
// it from others where it is not.
func (c *Claims) followTable() {
	defer c.background.Done()
	var lastWork time.Time
	wait := tableInterval
	for {
		timer := time.NewTimer(wait)
		select {
		case <-c.lifetime.Done():
			timer.Stop()
			return
		case <-c.refresh:
		case <-timer.C:
		}
		timer.Stop()
		if pause := tableInterval - time.Since(lastWork); pause > 0 {
			wait = pause
			continue
		}
		lastWork = time.Now()
		wait = c.lookAfterTable()
	}
}

// lookAfterTable returns how long until the next look.
func (c *Claims) lookAfterTable() time.Duration {
	c.tellGone()
	members, _ := c.dependencies.Views.Members.Get()
	usable := usableForSeats(members)
	first, found := claim.Coordinator(usable)
	if !found {
		return tableInterval
	}
	if first.Name != c.seat.Name || c.dependencies.Store == nil {
		return c.learnTable(first, usable)
	}
	changed, err := c.keepTable(usable)
	if err != nil {
		c.dependencies.Logger.Warn().Err(err).Msg("keeper_table_failed")
	}
	if changed || err != nil {
		return tableInterval
	}
	return quietTableInterval
}

func usableForSeats(members []fleet.Member) []fleet.Member {
	return slices.DeleteFunc(slices.Clone(members), func(member fleet.Member) bool {
		return !member.Usable() || member.Addresses.Peer == ""
	})
}

// learnTable compares the table with the coordinator's, or with that of a
// random member where the coordinator does not answer.
func (c *Claims) learnTable(first fleet.Member, usable []fleet.Member) time.Duration {
	others := slices.DeleteFunc(slices.Clone(usable), func(member fleet.Member) bool {
		return member.Name == c.seat.Name
	})
	if !c.compareTable(first) && len(others) > 0 {
		c.compareTable(others[rand.IntN(len(others))])
	}
	if len(c.currentTable().Slots) == 0 {
		return tableInterval
	}
	return tableRefresh
}

func (c *Claims) compareTable(other fleet.Member) bool {
	if other.Name == c.seat.Name {
		return false
	}
	ctx, cancel := context.WithTimeout(c.lifetime, keeperCallTimeout)
	defer cancel()
	response, err := c.dependencies.Pool.To(other.Addresses.Peer).Claims.Seats(ctx, &peerpb.SeatsRequest{
		From:      string(c.seat.Name),
		WantTable: true,
		TableHash: c.currentTable().Hash(),
	})
	if err != nil {
		return false
	}
	c.takeSlots(decodeSlots(response.GetSlots()))
	return true
}

func decodeSlots(encoded []*peerpb.KeeperSlot) []claim.Slot {
	slots := make([]claim.Slot, 0, len(encoded))
	for _, slot := range encoded {
		slots = append(slots, decodeSlot(slot))
	}
	return slots
}

// keepTable reads the table, asks all seats how far they are and writes what
// has to change. What it rests on is only that the store compares and sets.
func (c *Claims) keepTable(usable []fleet.Member) (bool, error) {
	object, table, err := c.readTable(usable)
	if err != nil {
		return false, err
	}
	c.takeSlots(table.Slots)
	settled := c.askSeats(table)
	planned, changed := claim.Plan(table, claim.PlanInput{
		Usable:   c.responsive(usable),
		Settled:  settled,
		HasEnded: c.knownGone(),
	})
	if !changed {
		return false, nil
	}
	if _, err := c.writeTable(planned, object.Version); err != nil {
		return true, err
	}
	c.takeSlots(planned.Slots)
	c.askSeats(planned)
	return true, nil
}

// readTable returns the stored table, or writes the first one. A table that
// was lost is neither founded anew nor written from a copy: a copy may be older
// than what keepers already count on, and one version would have two sets of
// seats. Keyed calls then go on with the seats as they are.
func (c *Claims) readTable(usable []fleet.Member) (objectstore.Object, claim.Table, error) {
	ctx, cancel := context.WithTimeout(c.lifetime, storeTimeout)
	defer cancel()
	object, err := c.dependencies.Store.Get(ctx, objectstore.Key{Kind: objectstore.KindKeepers, Name: keepersObject})
	known := len(c.currentTable().Slots) > 0
	switch {
	case err != nil && !errorx.HasTrait(err, errorx.NotFound()):
		return object, claim.Table{}, err
	case err != nil && (known || object.Version > 0):
		return object, claim.Table{}, errorx.IllegalState.New("the keepers' table was deleted: no keeper can be replaced")
	case err != nil:
		founded := claim.NewTable(usable)
		object, err = c.writeTable(founded, 0)
		return object, founded, err
	}
	var table claim.Table
	if err := json.Unmarshal(object.Spec, &table); err != nil {
		return object, table, errorx.Decorate(err, "keepers' table at version %d", object.Version)
	}
	return object, table, nil
}

func (c *Claims) writeTable(table claim.Table, expected uint64) (objectstore.Object, error) {
	encoded, err := json.Marshal(table)
	if err != nil {
		return objectstore.Object{}, err
	}
	ctx, cancel := context.WithTimeout(c.lifetime, storeTimeout)
	defer cancel()
	return c.dependencies.Store.Put(ctx, objectstore.Object{
		Kind:      objectstore.KindKeepers,
		Name:      keepersObject,
		ChangeID:  fmt.Sprintf("%s-%x-%d", c.seat.Name, c.seat.Boot, time.Now().UnixNano()),
		ChangedBy: string(c.seat.Name),
		Spec:      encoded,
	}, expected)
}

// askSeats tells every seat of its slots and returns those that are settled.
func (c *Claims) askSeats(table claim.Table) map[int][]claim.Seat {
	bySeat := slotsBySeat(table.Slots)
	var group sync.WaitGroup
	var mutex sync.Mutex
	responses := make(map[claim.Seat]*peerpb.SeatsResponse)
	for seat, slots := range bySeat {
		group.Go(func() {
			if response := c.askSeat(seat, slots); response != nil {
				mutex.Lock()
				defer mutex.Unlock()
				responses[seat] = response
			}
		})
	}
	group.Wait()
	settled := make(map[int][]claim.Seat)
	for seat := range bySeat {
		c.noteSeat(seat, responses[seat], table, settled)
	}
	return settled
}

func slotsBySeat(slots []claim.Slot) map[claim.Seat][]claim.Slot {
	bySeat := make(map[claim.Seat][]claim.Slot)
	for _, slot := range slots {
		for _, seat := range slot.Seats {
			bySeat[seat] = append(bySeat[seat], slot)
		}
	}
	return bySeat
}

func (c *Claims) askSeat(seat claim.Seat, slots []claim.Slot) *peerpb.SeatsResponse {
	ctx, cancel := context.WithTimeout(c.lifetime, keeperCallTimeout)
	defer cancel()
	request := &peerpb.SeatsRequest{From: string(c.seat.Name)}
	for _, slot := range slots {
		request.Slots = append(request.Slots, encodeSlot(slot))
	}
	if seat.SameProcess(c.seat) {
		response, _ := claimsServer{claims: c}.Seats(ctx, request)
		return response
	}
	response, err := c.dependencies.Pool.To(seat.Address).Claims.Seats(ctx, request)
	if err != nil {
		return nil
	}
	return response
}

func (c *Claims) noteSeat(
	seat claim.Seat, response *peerpb.SeatsResponse, table claim.Table, settled map[int][]claim.Seat,
) {
	now := time.Now()
	if _, found := c.coordinator.tried[seat]; !found {
		c.coordinator.tried[seat] = now
	}
	if response == nil {
		return
	}
	if response.GetBoot() != seat.Boot {
		c.coordinator.gone[seat] = true
		return
	}
	c.coordinator.heard[seat] = now
	c.goneMachines.answered(seat, now)
	for _, slot := range response.GetSettled() {
		index := int(slot.GetIndex())
		if index < len(table.Slots) && table.Slots[index].Version == slot.GetVersion() {
			settled[index] = append(settled[index], seat)
		}
	}
}

// responsive leaves out members whose seat was silent for long.
func (c *Claims) responsive(usable []fleet.Member) []fleet.Member {
	now := time.Now()
	return slices.DeleteFunc(slices.Clone(usable), func(member fleet.Member) bool {
		seat := claim.Seat{Name: member.Name, Boot: member.BootID, Address: member.Addresses.Peer}
		tried, asked := c.coordinator.tried[seat]
		if !asked {
			return false
		}
		last := c.coordinator.heard[seat]
		if last.Before(tried) {
			last = tried
		}
		return now.Sub(last) > seatSilence
	})
}

func (c *Claims) knownGone() func(claim.Seat) bool {
	now := time.Now()
	return func(seat claim.Seat) bool {
		return c.coordinator.gone[seat] || c.goneMachines.has(seat, now)
	}
}
