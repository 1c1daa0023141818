package placer

import (
	"slices"
	"time"

	"github.com/spanlanding/spanlanding/internal/inventory"
	"github.com/spanlanding/spanlanding/internal/routetable"
)

// staleOrderTTL is how long an unanswered order may still be executed. An order whose answer was
// lost is usually executed within a few seconds, and within twelve at the latest.
const staleOrderTTL = 13 * time.Second

// staleOrder is an order to an earlier start of a server. The server ID and the expected sequence
// number may both match the following start, which would then execute the order.
type staleOrder struct {
	order Order
	until time.Time
}

// replaceRestarted replaces the state of a restarted server. The new start holds nothing and
// counts its orders from zero. A load in progress may have crashed the previous start.
func (c *Core) replaceRestarted(now time.Time, existing *server, entry inventory.Server) *server {
	isEarlier := existing.info.Start().IsLaterThan(entry.Start())
	if entry.Position.IsBefore(existing.info.Position) || entry.Position == existing.info.Position && isEarlier {
		return existing
	}
	if isEarlier && existing.isStartUnconfirmed {
		// This is usually the last entry of the previous start, received late. A report of the
		// server will decide.
		existing.conflictingEntry = &entry
		existing.scheduleReport(now)
		return existing
	}
	c.recordServerLoss(now, existing)
	restarted := newServer(entry, now)
	restarted.setCachedWeights(entry.InMemory, entry.OnDisk)
	restarted.staleOrders = existing.unansweredLoads(now)
	c.setAvailability(restarted)
	c.servers[entry.ID] = restarted
	c.sortedServers = nil
	c.effects.ViewsChanged = true
	return restarted
}

// unansweredLoads returns the orders to this start and those before it that a later start of the server
// may still execute.
func (s *server) unansweredLoads(now time.Time) []staleOrder {
	unanswered := slices.Clone(s.staleOrders)
	for _, order := range []*Order{s.pendingOrder, s.unconfirmedOrder} {
		if order != nil && order.Operation == Load {
			unanswered = append(unanswered, staleOrder{order: *order, until: now.Add(staleOrderTTL)})
		}
	}
	return unanswered
}

// removeServer forgets a server, but not its unanswered orders: its entry may lapse while it runs, and a
// later start may come under its ID.
func (c *Core) removeServer(now time.Time, id string) {
	if s, ok := c.servers[id]; ok {
		c.formerOrders.add(id, s.unansweredLoads(now)...)
	}
	delete(c.servers, id)
	c.sortedServers = nil
}

// addServer adds a server that had no entry, with the unanswered orders to its ID.
func (c *Core) addServer(now time.Time, entry inventory.Server) {
	added := newServer(entry, now)
	added.setCachedWeights(entry.InMemory, entry.OnDisk)
	added.staleOrders = c.formerOrders.take(entry.ID)
	c.setAvailability(added)
	c.servers[entry.ID] = added
	c.sortedServers = nil
}

// EndTerm hands the unanswered orders on to the next term of this node.
func (c *Core) EndTerm(now time.Time) {
	for id, s := range c.servers {
		c.formerOrders.add(id, s.unansweredLoads(now)...)
	}
}

// dropStaleOrders removes the orders that can no longer be executed, because they expired or
// because the server accepted another order with their sequence number.
func (s *server) dropStaleOrders(now time.Time) {
	s.staleOrders = slices.DeleteFunc(s.staleOrders, func(stale staleOrder) bool {
		return !now.Before(stale.until) || s.sequence > stale.order.ExpectedSequence
	})
}

// staleOrderMB returns the memory of the models that stale orders may still load.
func (s *server) staleOrderMB(engine *routetable.Engine) float64 {
	models := make(map[string]bool)
	for _, stale := range s.staleOrders {
		isLoading := s.loading != nil && s.loading.model == stale.order.Model
		if stale.order.Adapter == "" && !s.hasModel(stale.order.Model) && !isLoading {
			models[stale.order.Model] = true
		}
	}
	used := 0.0
	for model := range models {
		used += engine.Models[model].WeightsMB
	}
	return used
}

// mayStillLoad reports whether a stale order may still load the model, which takes room meanwhile.
func (s *server) mayStillLoad(model string) bool {
	return !s.hasModel(model) && slices.ContainsFunc(s.staleOrders, func(stale staleOrder) bool {
		return stale.order.Adapter == "" && stale.order.Model == model
	})
}

// staleAdapterOrders returns the number of adapters that stale orders may still load.
func (s *server) staleAdapterOrders() int {
	count := 0
	for _, stale := range s.staleOrders {
		if stale.order.Adapter != "" {
			count++
		}
	}
	return count
}
