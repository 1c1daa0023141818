package placer

import (
	"maps"
	"slices"
	"time"
)

// FormerOrders remembers orders that may still be executed although nobody waits for their answers: those
// to servers whose entries went, and those of earlier terms. It outlives the terms of its node and is not
// safe for concurrent use.
type FormerOrders struct{ byServer map[string][]staleOrder }

// NewFormerOrders returns an empty memory.
func NewFormerOrders() *FormerOrders { return &FormerOrders{byServer: make(map[string][]staleOrder)} }

// AddPossibleLoad records that another leader ordered a server to load a model, as told at the given time
// by its view, with the sequence number that the view named.
func (f *FormerOrders) AddPossibleLoad(toldAt time.Time, serverID, model string, sequence int64) {
	f.add(serverID, staleOrder{
		order: Order{ServerID: serverID, Operation: Load, Model: model, ExpectedSequence: sequence},
		until: toldAt.Add(staleOrderTTL),
	})
}

func (f *FormerOrders) add(serverID string, orders ...staleOrder) {
	for _, added := range orders {
		isKnown := slices.ContainsFunc(f.byServer[serverID], func(known staleOrder) bool {
			return known.order.Model == added.order.Model && known.order.Adapter == added.order.Adapter && known.order.ExpectedSequence == added.order.ExpectedSequence
		})
		if !isKnown {
			f.byServer[serverID] = append(f.byServer[serverID], added)
		}
	}
}

// take returns the orders to the server's ID and forgets them.
func (f *FormerOrders) take(serverID string) []staleOrder {
	orders := f.byServer[serverID]
	delete(f.byServer, serverID)
	return orders
}

// drop removes the orders that can no longer be executed.
func (f *FormerOrders) drop(now time.Time) {
	maps.DeleteFunc(f.byServer, func(_ string, orders []staleOrder) bool {
		return !slices.ContainsFunc(orders, func(stale staleOrder) bool { return now.Before(stale.until) })
	})
}
