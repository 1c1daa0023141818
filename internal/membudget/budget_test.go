package membudget

import (
	"errors"
	"io"
	"math"
	"math/rand/v2"
	"strings"
	"testing"
)

func TestReservationsStayWithinTheLimit(t *testing.T) {
	budget := New(100)
	first := budget.Reserve("", 60)
	if first == nil || budget.Reserve("", 41) != nil {
		t.Fatal("the limit is not kept, or not given in full")
	}
	second := budget.Reserve("", 40)
	if second == nil || first.Grow(1) {
		t.Error("the rest is not given, or the limit is not kept by one that grows")
	}
	if first.Grow(math.MaxInt64) || budget.Reserve("a", math.MaxInt64) != nil {
		t.Error("a reservation wraps around")
	}
	first.Add(50)
	if used, _ := budget.Used(); used != 150 {
		t.Errorf("%d bytes are used, want 150", used)
	}
	first.Release()
	first.Release()
	second.Release()
	if used, _ := budget.Used(); used != 0 {
		t.Errorf("%d bytes are used after all were released", used)
	}
	budget.SetLimit(10)
	if budget.Reserve("", 11) != nil || budget.Reserve("", 10) == nil {
		t.Error("the new limit is not in force")
	}
}

// Guards against one tenant that takes the whole budget, so that the next one finds no room.
func TestTenantsLeaveRoomForTheNext(t *testing.T) {
	const limit = 1200
	budget := New(limit)
	held := map[string]int64{}
	for _, c := range []struct {
		tenant string
		want   int64
	}{{"a", limit / 2}, {"b", limit / 3}, {"c", limit / 6}} {
		for budget.Reserve(c.tenant, 1) != nil {
			held[c.tenant]++
		}
		if held[c.tenant] != c.want {
			t.Errorf("%s got %d bytes, want %d", c.tenant, held[c.tenant], c.want)
		}
	}
	if used, _ := budget.Used(); used != limit {
		t.Errorf("%d of %d bytes are used", used, limit)
	}
}

// Drawn reservations of some tenants: the sums stay right, and within the limit where nothing was added
// beyond it.
func TestDrawnReservationsAddUp(t *testing.T) {
	for seed := range uint64(50) {
		random := rand.New(rand.NewPCG(seed, 7))
		budget := New(10_000)
		tenants := []string{"", "a", "b", "c"}
		var held []*Reservation
		for range 2000 {
			switch random.IntN(4) {
			case 0, 1:
				if r := budget.Reserve(tenants[random.IntN(len(tenants))], random.Int64N(2000)); r != nil {
					held = append(held, r)
				}
			case 2:
				if len(held) > 0 {
					held[random.IntN(len(held))].Grow(random.Int64N(500))
				}
			case 3:
				if len(held) > 0 {
					i := random.IntN(len(held))
					held[i].Release()
					held = append(held[:i], held[i+1:]...)
				}
			}
			var sum int64
			for _, r := range held {
				sum += r.bytes
			}
			if used, limit := budget.Used(); used != sum || used > limit {
				t.Fatalf("seed %d: %d bytes are used of %d, %d are held", seed, used, limit, sum)
			}
		}
		for _, r := range held {
			r.Release()
		}
		if len(budget.byTenant) > 0 {
			t.Errorf("seed %d: tenants are kept that hold nothing: %v", seed, budget.byTenant)
		}
	}
}

func TestReaderReservesWhatItReads(t *testing.T) {
	budget := New(10)
	reservation := budget.Reserve("", 4)
	if text, err := io.ReadAll(reservation.Reader(strings.NewReader("123456"))); err != nil || string(text) != "123456" {
		t.Errorf("%q, %v, want all that there is room for", text, err)
	}
	if _, err := io.ReadAll(reservation.Reader(strings.NewReader("7"))); !errors.Is(err, ErrFull) {
		t.Errorf("error %v, want that the budget is full", err)
	}
	reservation.Release()
	if used, _ := budget.Used(); used != 0 {
		t.Errorf("%d bytes are used after the release", used)
	}
}
