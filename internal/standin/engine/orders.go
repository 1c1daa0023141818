package engine

import (
	"slices"
	"time"

	"github.com/spanlanding/spanlanding/internal/backend"
	"github.com/spanlanding/spanlanding/internal/fleet"
	"github.com/spanlanding/spanlanding/internal/standin/books"
)

// taken is the answer kept for an order that was carried out.
const taken = ""

func (c *Core) takeOrder(now time.Time, message TakeOrder) {
	order := message.Order
	inForce := order.Incarnation == c.incarnation && order.Fence == c.fence && c.fence != 0
	if !inForce && !c.options.Defects.NoFence {
		c.book.RefusedOrders++
		c.emit(FenceRefused{Call: message.Call, Refusal: c.fenceRefusal()})
		return
	}
	// A refusal is kept too: an order that was refused and comes again late
	// must not be carried out after its sender has counted it as refused.
	reason, known := c.answered[order.ID]
	if !known || c.options.Defects.ForgetOrders {
		reason = c.carryOut(now, order)
		c.answered[order.ID] = reason
	}
	if reason == backend.ReasonLeaving {
		c.book.TurnedAway = append(c.book.TurnedAway, books.TurnedAway{OrderID: order.ID, At: now})
	}
	if reason != taken {
		c.emit(OrderRefused{Call: message.Call, Reason: reason})
		return
	}
	c.emit(StateRead{Call: message.Call, State: c.State(now)})
}

func (c *Core) carryOut(now time.Time, order backend.Order) (reason string) {
	switch order.Action {
	case backend.ActionLoad:
		return c.orderLoad(now, order)
	case backend.ActionUnload:
		return c.orderUnload(now, order)
	case backend.ActionLoadAdapter:
		return c.orderLoadAdapter(now, order)
	case backend.ActionUnloadAdapter:
		return c.orderUnloadAdapter(order)
	case backend.ActionSetRole:
		c.role = order.Role
		return taken
	default:
		return reasonUnknownAction
	}
}

// reasonUnknownAction refuses an order that the engine does not know.
const reasonUnknownAction = "unknown-action"

func (c *Core) orderLoad(now time.Time, order backend.Order) string {
	if c.leaving {
		return backend.ReasonLeaving
	}
	if held := c.find(order.Model); held != nil {
		if held.state == fleet.LoadUnloading {
			return backend.ReasonBusy
		}
		return backend.ReasonDuplicate
	}
	if !c.fits(order.Bytes) {
		return backend.ReasonNoMemory
	}
	c.beginLoad(now, order)
	return taken
}

func (c *Core) orderUnload(now time.Time, order backend.Order) string {
	held := c.find(order.Model)
	if held == nil {
		return backend.ReasonNotLoaded
	}
	if held.state != fleet.LoadUnloading {
		c.beginUnload(now, held)
	}
	return taken
}

func (c *Core) orderLoadAdapter(now time.Time, order backend.Order) string {
	held := c.find(order.Model)
	switch {
	case c.leaving:
		return backend.ReasonLeaving
	case held == nil || held.state != fleet.LoadReady:
		return backend.ReasonNotLoaded
	case held.adapter(order.Adapter) != nil:
		return backend.ReasonDuplicate
	case !c.fits(order.Bytes):
		return backend.ReasonNoMemory
	}
	held.adapters = append(held.adapters, &residentAdapter{
		name:    order.Adapter,
		bytes:   order.Bytes,
		readyAt: now.Add(c.options.Timing.AdapterLoad),
	})
	slices.SortFunc(held.adapters, compareAdapters)
	c.notePeak()
	return taken
}

func (c *Core) orderUnloadAdapter(order backend.Order) string {
	held := c.find(order.Model)
	if held == nil || held.adapter(order.Adapter) == nil {
		return backend.ReasonNotLoaded
	}
	if c.adapterInUse(order.Model, order.Adapter) {
		return backend.ReasonBusy
	}
	held.adapters = slices.DeleteFunc(held.adapters, func(adapter *residentAdapter) bool {
		return adapter.name == order.Adapter
	})
	return taken
}

func (c *Core) adapterInUse(model fleet.ModelVersion, adapter fleet.AdapterName) bool {
	uses := func(sequence *sequence) bool {
		return sequence.request.Model == model && sequence.request.Adapter == adapter
	}
	return slices.ContainsFunc(c.running, uses) || slices.ContainsFunc(c.waiting, uses)
}

// fits reports whether so many further bytes can be held. Sizes below zero
// never fit, so that an order cannot make room by a negative size.
func (c *Core) fits(bytes int64) bool {
	if c.options.Defects.NoMemoryCheck {
		return true
	}
	free := c.options.MemoryBytes - c.options.KVReserveBytes - c.usedBytes()
	return bytes >= 0 && bytes <= free
}

func (c *Core) usedBytes() int64 {
	var used int64
	for _, model := range c.models {
		used += model.totalBytes()
	}
	return used
}

func (c *Core) notePeak() {
	c.book.PeakBytes = max(c.book.PeakBytes, c.options.KVReserveBytes+c.usedBytes())
}

func (c *Core) openResidency(now time.Time, order backend.Order) int {
	c.book.Residencies = append(c.book.Residencies, books.Residency{
		Model:   order.Model,
		Fence:   order.Fence,
		OrderID: order.ID,
		From:    now,
		Bytes:   order.Bytes,
	})
	return len(c.book.Residencies) - 1
}

func (c *Core) closeResidency(now time.Time, model *residentModel) {
	model.stopBusy(now, &c.book.Residencies[model.residency])
	c.book.Residencies[model.residency].To = now
}
