package membudget

import "sync"

// Budget is a number of bytes that requests share. It is safe for concurrent use.
type Budget struct {
	mu    sync.Mutex
	limit int64
	used  int64
	// byTenant are the bytes of each tenant that has reservations.
	byTenant map[string]int64
}

// New returns a budget of so many bytes.
func New(limit int64) *Budget {
	return &Budget{limit: limit, byTenant: make(map[string]int64)}
}

// SetLimit changes the budget. Reservations stay, even beyond it.
func (b *Budget) SetLimit(limit int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.limit = limit
}

// Used returns the bytes that are reserved, and the limit.
func (b *Budget) Used() (used, limit int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used, b.limit
}

// Reserve reserves bytes for a request of the tenant, which is empty for requests without one. It returns nil
// if there is no room.
func (b *Budget) Reserve(tenant string, bytes int64) *Reservation {
	r := &Reservation{budget: b, tenant: tenant}
	if !r.Grow(bytes) {
		return nil
	}
	return r
}

// hasRoom reports whether the tenant may reserve so many bytes more. No tenant may hold more than its share
// among those that hold any and one more, so that there is room for the next one. b.mu is held.
func (b *Budget) hasRoom(tenant string, bytes int64) bool {
	if bytes > b.limit-b.used {
		return false
	}
	if tenant == "" {
		return true
	}
	holders := int64(len(b.byTenant))
	if _, holds := b.byTenant[tenant]; !holds {
		holders++
	}
	return bytes <= b.limit/(holders+1)-b.byTenant[tenant]
}

// Reservation is what one request holds of a Budget. It is not safe for concurrent use.
type Reservation struct {
	budget *Budget
	tenant string
	bytes  int64
}

// Grow reserves more bytes; it reports whether there was room.
func (r *Reservation) Grow(bytes int64) bool {
	r.budget.mu.Lock()
	defer r.budget.mu.Unlock()
	if !r.budget.hasRoom(r.tenant, bytes) {
		return false
	}
	r.add(bytes)
	return true
}

// Add reserves more bytes even where there is no room: what is bounded otherwise must only be counted.
func (r *Reservation) Add(bytes int64) {
	r.budget.mu.Lock()
	defer r.budget.mu.Unlock()
	r.add(bytes)
}

// Release returns all bytes. It may be called more than once.
func (r *Reservation) Release() {
	r.budget.mu.Lock()
	defer r.budget.mu.Unlock()
	r.add(-r.bytes)
}

// add changes what is reserved. The budget's mutex is held.
func (r *Reservation) add(bytes int64) {
	r.bytes += bytes
	r.budget.used += bytes
	if r.tenant == "" {
		return
	}
	if r.budget.byTenant[r.tenant] += bytes; r.budget.byTenant[r.tenant] <= 0 {
		delete(r.budget.byTenant, r.tenant)
	}
}
