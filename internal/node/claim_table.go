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

// seatTracker holds what the coordinator of the keepers' table knows of the seats: when each
// was first queried, when it last answered, and which have ended. Only the table loop uses
// it.
type seatTracker struct {
	lastHeard  map[claim.Seat]time.Time
	firstTried map[claim.Seat]time.Time
	ended      map[claim.Seat]bool
}

func newSeatTracker() seatTracker {
	return seatTracker{
		lastHeard:  make(map[claim.Seat]time.Time),
		firstTried: make(map[claim.Seat]time.Time),
		ended:      make(map[claim.Seat]bool),
	}
}

const (
	keepersObject = "fleet"
	// tablePollInterval is how often the coordinator updates the table, and how often other
	// nodes ask for it while they have none.
	tablePollInterval = time.Second
	// stableTablePollInterval is how often the coordinator checks the table while nothing
	// changes.
	stableTablePollInterval = 5 * time.Second
	// tableCompareInterval is how often a node compares its table with another's.
	tableCompareInterval = 30 * time.Second
	// seatSilenceTimeout is how long a seat may fail to answer until it is replaced.
	seatSilenceTimeout = 10 * time.Second
	storeTimeout       = 2 * time.Second
)

// requestTableRefresh wakes the table loop.
func (c *Claims) requestTableRefresh() {
	select {
	case c.tableRefreshRequests <- struct{}{}:
	default:
	}
}

// runTableLoop maintains the table if this node is the coordinator, and otherwise copies it
// from other nodes. Two runs are at least tablePollInterval apart.
func (c *Claims) runTableLoop() {
	defer c.background.Done()
	var lastRun time.Time
	wait := tablePollInterval
	for {
		timer := time.NewTimer(wait)
		select {
		case <-c.lifetime.Done():
			timer.Stop()
			return
		case <-c.tableRefreshRequests:
		case <-timer.C:
		}
		timer.Stop()
		if pause := tablePollInterval - time.Since(lastRun); pause > 0 {
			wait = pause
			continue
		}
		lastRun = time.Now()
		wait = c.maintainTable()
	}
}

// maintainTable runs one iteration and returns the time until the next one.
func (c *Claims) maintainTable() time.Duration {
	c.reportEndedSeats()
	members, _ := c.dependencies.Views.Members.Get()
	usable := usableForSeats(members)
	coordinator, found := claim.Coordinator(usable)
	if !found {
		return tablePollInterval
	}
	if coordinator.Name != c.seat.Name || c.dependencies.Store == nil {
		return c.syncTable(coordinator, usable)
	}
	changed, err := c.updateTable(usable)
	if err != nil {
		c.dependencies.Logger.Warn().Err(err).Msg("keeper_table_failed")
	}
	if changed || err != nil {
		return tablePollInterval
	}
	return stableTablePollInterval
}

func usableForSeats(members []fleet.Member) []fleet.Member {
	return slices.DeleteFunc(slices.Clone(members), func(member fleet.Member) bool {
		return !member.Usable() || member.Addresses.Peer == ""
	})
}

// syncTable compares the table with the coordinator's, or with a random member's if the
// coordinator does not answer, and returns the time until the next comparison.
func (c *Claims) syncTable(coordinator fleet.Member, usable []fleet.Member) time.Duration {
	others := slices.DeleteFunc(slices.Clone(usable), func(member fleet.Member) bool {
		return member.Name == c.seat.Name
	})
	if !c.pullTable(coordinator) && len(others) > 0 {
		c.pullTable(others[rand.IntN(len(others))])
	}
	if len(c.currentTable().Slots) == 0 {
		return tablePollInterval
	}
	return tableCompareInterval
}

// pullTable merges the other member's table if it differs, and reports whether the member
// answered.
func (c *Claims) pullTable(other fleet.Member) bool {
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
	c.mergeSlots(decodeSlots(response.GetSlots()))
	return true
}

func decodeSlots(encoded []*peerpb.KeeperSlot) []claim.Slot {
	slots := make([]claim.Slot, 0, len(encoded))
	for _, slot := range encoded {
		slots = append(slots, decodeSlot(slot))
	}
	return slots
}

// updateTable reads the table, queries all seats, and writes the changes that claim.Plan
// asks for. Its safety depends only on the store's compare-and-set.
func (c *Claims) updateTable(usable []fleet.Member) (bool, error) {
	object, table, err := c.readOrCreateTable(usable)
	if err != nil {
		return false, err
	}
	c.mergeSlots(table.Slots)
	settled := c.querySeats(table)
	planned, changed := claim.Plan(table, claim.PlanInput{
		Usable:   c.responsiveMembers(usable),
		Settled:  settled,
		HasEnded: c.hasEndedFunc(),
	})
	if !changed {
		return false, nil
	}
	if _, err := c.writeTable(planned, object.Version); err != nil {
		return true, err
	}
	c.mergeSlots(planned.Slots)
	c.querySeats(planned)
	return true, nil
}

// readOrCreateTable returns the stored table, or writes the first one. A table that was
// deleted is neither created anew nor restored from a local copy: the copy may be older than
// the table that keepers already work with, and one version would then have two sets of
// seats. Calls with idempotency keys continue with the current seats.
func (c *Claims) readOrCreateTable(usable []fleet.Member) (objectstore.Object, claim.Table, error) {
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
		created := claim.NewTable(usable)
		object, err = c.writeTable(created, 0)
		return object, created, err
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

// querySeats sends every seat its slots and returns, by slot index, the seats that have
// settled the current version.
func (c *Claims) querySeats(table claim.Table) map[int][]claim.Seat {
	bySeat := slotsBySeat(table.Slots)
	var group sync.WaitGroup
	var mutex sync.Mutex
	responses := make(map[claim.Seat]*peerpb.SeatsResponse)
	for seat, slots := range bySeat {
		group.Go(func() {
			if response := c.querySeat(seat, slots); response != nil {
				mutex.Lock()
				defer mutex.Unlock()
				responses[seat] = response
			}
		})
	}
	group.Wait()
	settled := make(map[int][]claim.Seat)
	for seat := range bySeat {
		c.recordSeatResponse(seat, responses[seat], table, settled)
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

func (c *Claims) querySeat(seat claim.Seat, slots []claim.Slot) *peerpb.SeatsResponse {
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

// recordSeatResponse records the answer of a seat, or nil if there was none. A response with
// another boot ID means that the seat's process has ended.
func (c *Claims) recordSeatResponse(
	seat claim.Seat, response *peerpb.SeatsResponse, table claim.Table, settled map[int][]claim.Seat,
) {
	now := time.Now()
	if _, found := c.seatTracker.firstTried[seat]; !found {
		c.seatTracker.firstTried[seat] = now
	}
	if response == nil {
		return
	}
	if response.GetBoot() != seat.Boot {
		c.seatTracker.ended[seat] = true
		return
	}
	c.seatTracker.lastHeard[seat] = now
	c.goneMachines.recordAnswer(seat, now)
	for _, slot := range response.GetSettled() {
		index := int(slot.GetIndex())
		if index < len(table.Slots) && table.Slots[index].Version == slot.GetVersion() {
			settled[index] = append(settled[index], seat)
		}
	}
}

// responsiveMembers leaves out members whose seat has not answered for seatSilenceTimeout.
func (c *Claims) responsiveMembers(usable []fleet.Member) []fleet.Member {
	now := time.Now()
	return slices.DeleteFunc(slices.Clone(usable), func(member fleet.Member) bool {
		seat := claim.Seat{Name: member.Name, Boot: member.BootID, Address: member.Addresses.Peer}
		firstTried, queried := c.seatTracker.firstTried[seat]
		if !queried {
			return false
		}
		last := c.seatTracker.lastHeard[seat]
		if last.Before(firstTried) {
			last = firstTried
		}
		return now.Sub(last) > seatSilenceTimeout
	})
}

// hasEndedFunc returns a function that reports whether the process of a seat has ended.
func (c *Claims) hasEndedFunc() func(claim.Seat) bool {
	now := time.Now()
	return func(seat claim.Seat) bool {
		return c.seatTracker.ended[seat] || c.goneMachines.isGone(seat, now)
	}
}
