package engine

import (
	"slices"
	"time"

	"github.com/spanlanding/spanlanding/internal/backend"
	"github.com/spanlanding/spanlanding/internal/fleet"
	"github.com/spanlanding/spanlanding/internal/standin/books"
)

// orderAccepted is the result recorded for an order that was executed.
const orderAccepted = ""

func (c *Core) takeOrder(now time.Time, message TakeOrder) {
	order := message.Order
	fenceValid := order.Incarnation == c.incarnation && order.Fence == c.fence && c.fence != 0
	if !fenceValid && !c.options.Defects.NoFence {
		c.book.RefusedOrders++
		c.emit(FenceRefused{Call: message.Call, Refusal: c.fenceRefusal()})
		return
	}
	// Refusals are recorded too: a late duplicate of a refused order must not
	// be executed after its sender has counted the order as refused.
	reason, known := c.orderResults[order.ID]
	if !known || c.options.Defects.ForgetOrders {
		reason = c.executeOrder(now, order)
		c.orderResults[order.ID] = reason
	}
	if reason == backend.ReasonLeaving {
		c.book.TurnedAway = append(c.book.TurnedAway, books.TurnedAway{OrderID: order.ID, At: now})
	}
	if reason != orderAccepted {
		c.emit(OrderRefused{Call: message.Call, Reason: reason})
		return
	}
	c.emit(StateRead{Call: message.Call, State: c.State(now)})
}

func (c *Core) executeOrder(now time.Time, order backend.Order) (reason string) {
	switch order.Action {
	case backend.ActionLoad:
		return c.executeLoad(now, order)
	case backend.ActionUnload:
		return c.executeUnload(now, order)
	case backend.ActionLoadAdapter:
		return c.executeLoadAdapter(now, order)
	case backend.ActionUnloadAdapter:
		return c.executeUnloadAdapter(order)
	case backend.ActionSetRole:
		c.role = order.Role
		return orderAccepted
	default:
		return reasonUnknownAction
	}
}

// reasonUnknownAction refuses an order with an unknown action.
const reasonUnknownAction = "unknown-action"

func (c *Core) executeLoad(now time.Time, order backend.Order) string {
	if c.leaving {
		return backend.ReasonLeaving
	}
	if resident := c.findModel(order.Model); resident != nil {
		if resident.state == fleet.LoadUnloading {
			return backend.ReasonBusy
		}
		return backend.ReasonDuplicate
	}
	if !c.fits(order.Bytes) {
		return backend.ReasonNoMemory
	}
	c.beginLoad(now, order)
	return orderAccepted
}

func (c *Core) executeUnload(now time.Time, order backend.Order) string {
	resident := c.findModel(order.Model)
	if resident == nil {
		return backend.ReasonNotLoaded
	}
	if resident.state != fleet.LoadUnloading {
		c.beginUnload(now, resident)
	}
	return orderAccepted
}

func (c *Core) executeLoadAdapter(now time.Time, order backend.Order) string {
	resident := c.findModel(order.Model)
	switch {
	case c.leaving:
		return backend.ReasonLeaving
	case resident == nil || resident.state != fleet.LoadReady:
		return backend.ReasonNotLoaded
	case resident.adapter(order.Adapter) != nil:
		return backend.ReasonDuplicate
	case !c.fits(order.Bytes):
		return backend.ReasonNoMemory
	}
	resident.adapters = append(resident.adapters, &residentAdapter{
		name:    order.Adapter,
		bytes:   order.Bytes,
		readyAt: now.Add(c.options.Timing.AdapterLoad),
	})
	slices.SortFunc(resident.adapters, compareAdapters)
	c.recordPeak()
	return orderAccepted
}

func (c *Core) executeUnloadAdapter(order backend.Order) string {
	resident := c.findModel(order.Model)
	if resident == nil || resident.adapter(order.Adapter) == nil {
		return backend.ReasonNotLoaded
	}
	if c.adapterInUse(order.Model, order.Adapter) {
		return backend.ReasonBusy
	}
	resident.adapters = slices.DeleteFunc(resident.adapters, func(adapter *residentAdapter) bool {
		return adapter.name == order.Adapter
	})
	return orderAccepted
}

func (c *Core) adapterInUse(model fleet.ModelVersion, adapter fleet.AdapterName) bool {
	uses := func(sequence *sequence) bool {
		return sequence.request.Model == model && sequence.request.Adapter == adapter
	}
	return slices.ContainsFunc(c.running, uses) || slices.ContainsFunc(c.waiting, uses)
}

// fits reports whether the free memory holds this many more bytes. Negative sizes
// never fit, so that an order cannot free memory by a negative size.
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

func (c *Core) recordPeak() {
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
	model.stopAllRunning(now, &c.book.Residencies[model.residencyIndex])
	c.book.Residencies[model.residencyIndex].To = now
}
