package engine

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	_ "github.com/spanlanding/spanlanding/internal/testseed"

	"github.com/spanlanding/spanlanding/internal/backend"
	"github.com/spanlanding/spanlanding/internal/fleet"
	"github.com/spanlanding/spanlanding/internal/standin/books"
)

func TestClaimIsGrantedOnlyAboveTheGrantedFenceInTheSameIncarnation(t *testing.T) {
	granted := fleet.NewFence(2, 5, 1)
	cases := []struct {
		name        string
		fence       fleet.Fence
		incarnation uint64
		want        bool
	}{
		{"greater", granted + 1, rigIncarnation, true},
		{"equal", granted, rigIncarnation, false},
		{"lower", granted - 1, rigIncarnation, false},
		{"greater, earlier incarnation", granted + 1, rigIncarnation - 1, false},
		{"greater, later incarnation", granted + 1, rigIncarnation + 1, false},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			r := newRig(t, Options{})
			r.claim(granted)
			claim := backend.Claim{Fence: test.fence, Incarnation: test.incarnation}
			effect := r.onlyEffect(r.step(TakeClaim{Call: 9, Claim: claim}))
			if _, got := effect.(StateRead); got != test.want {
				t.Fatalf("got %#v", effect)
			}
			if test.want {
				return
			}
			want := FenceRefused{Call: 9, Refusal: backend.FenceRefusal{Fence: granted, Incarnation: rigIncarnation}}
			if diff := cmp.Diff(Effect(want), effect); diff != "" {
				t.Error(diff)
			}
		})
	}
}

func TestOrderIsTakenOnlyUnderTheGrantedFenceAndIncarnation(t *testing.T) {
	granted := fleet.NewFence(2, 5, 1)
	cases := []struct {
		name        string
		fence       fleet.Fence
		incarnation uint64
	}{
		{"lower fence", granted - 1, rigIncarnation},
		{"greater fence", granted + 1, rigIncarnation},
		{"earlier incarnation", granted, rigIncarnation - 1},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			r := newRig(t, Options{})
			r.claim(granted)
			effect := r.order(backend.Order{
				ID: "1", Fence: test.fence, Incarnation: test.incarnation,
				Action: backend.ActionLoad, Model: modelA, Bytes: GiB,
			})
			if _, refused := effect.(FenceRefused); !refused {
				t.Errorf("got %#v", effect)
			}
			if len(r.core.models) != 0 || r.core.Book(r.now).RefusedOrders != 1 {
				t.Errorf("models %v, book %v", r.core.models, r.core.Book(r.now))
			}
		})
	}
}

func TestOrderBeforeAnyClaimIsRefused(t *testing.T) {
	r := newRig(t, Options{})
	effect := r.order(backend.Order{ID: "1", Action: backend.ActionLoad, Model: modelA, Bytes: GiB})
	if _, refused := effect.(FenceRefused); !refused {
		t.Fatalf("got %#v", effect)
	}
}

func TestRestartForgetsFenceAndModelsAndRefusesTheOldIncarnation(t *testing.T) {
	r := newRig(t, Options{})
	r.loadModelA()
	before := r.core.State(r.now)
	r.step(Restart{})
	after := r.core.State(r.now)
	if after.Incarnation == before.Incarnation || after.Fence != 0 || len(after.Models) != 0 {
		t.Fatalf("after the restart: %+v", after)
	}
	effect := r.order(backend.Order{
		ID: "2", Fence: before.Fence, Incarnation: before.Incarnation,
		Action: backend.ActionLoad, Model: modelA, Bytes: GiB,
	})
	if _, refused := effect.(FenceRefused); !refused {
		t.Fatalf("got %#v", effect)
	}
	if residency := r.core.Book(r.now).Residencies[0]; residency.To != r.now {
		t.Errorf("the residency ended at %v, want %v", residency.To, r.now)
	}
}

func TestRepeatedOrderHasNoSecondEffect(t *testing.T) {
	r := newRig(t, Options{MemoryBytes: 20 * GiB})
	r.claim(1)
	r.load("1", modelA, 10*GiB)
	r.order(backend.Order{ID: "2", Action: backend.ActionUnload, Model: modelA})
	r.run(time.Minute)
	if _, again := r.load("1", modelA, 10*GiB).(StateRead); !again || len(r.core.models) != 0 {
		t.Errorf("repeated load: accepted %v, models %d; want true and 0", again, len(r.core.models))
	}
}

func TestRefusedOrderStaysRefusedWhenItComesAgain(t *testing.T) {
	r := newRig(t, Options{MemoryBytes: 20 * GiB})
	r.claim(1)
	r.load("1", modelA, 15*GiB)
	r.load("2", modelB, 15*GiB)
	r.order(backend.Order{ID: "3", Action: backend.ActionUnload, Model: modelA})
	r.run(time.Minute)
	effect := r.load("2", modelB, 15*GiB)
	if refused, ok := effect.(OrderRefused); !ok || refused.Reason != backend.ReasonNoMemory {
		t.Errorf("got %#v", effect)
	}
}

func TestOrderRefusals(t *testing.T) {
	adapter := backend.Order{Action: backend.ActionLoadAdapter, Model: modelA, Adapter: "wind", Bytes: GiB}
	cases := []struct {
		name    string
		prepare func(r *rig)
		order   backend.Order
		reason  string
	}{
		{"no memory", nil, backend.Order{Action: backend.ActionLoad, Model: modelB, Bytes: 60 * GiB}, backend.ReasonNoMemory},
		{"negative size", nil, backend.Order{Action: backend.ActionLoad, Model: modelB, Bytes: -1}, backend.ReasonNoMemory},
		{"no memory for an adapter", nil, backend.Order{Action: backend.ActionLoadAdapter, Model: modelA, Adapter: "wind", Bytes: 60 * GiB}, backend.ReasonNoMemory},
		{"already loaded", nil, backend.Order{Action: backend.ActionLoad, Model: modelA, Bytes: GiB}, backend.ReasonDuplicate},
		{"unload of a model that is not loaded", nil, backend.Order{Action: backend.ActionUnload, Model: modelB}, backend.ReasonNotLoaded},
		{"adapter without model", nil, backend.Order{Action: backend.ActionLoadAdapter, Model: modelB, Adapter: "wind"}, backend.ReasonNotLoaded},
		{"load while leaving", func(r *rig) { r.step(Leave{}) }, backend.Order{Action: backend.ActionLoad, Model: modelB, Bytes: GiB}, backend.ReasonLeaving},
		{"load while unloading", func(r *rig) {
			r.order(backend.Order{ID: "u", Action: backend.ActionUnload, Model: modelA})
		}, backend.Order{Action: backend.ActionLoad, Model: modelA, Bytes: GiB}, backend.ReasonBusy},
		{"unload of an adapter in use", func(r *rig) {
			loaded := adapter
			loaded.ID = "adapter"
			r.order(loaded)
			r.run(time.Second)
			r.submit(Request{ID: "r", Adapter: "wind"})
		}, backend.Order{Action: backend.ActionUnloadAdapter, Model: modelA, Adapter: "wind"}, backend.ReasonBusy},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			r := newRig(t, Options{MemoryBytes: 80 * GiB, KVReserveBytes: 8 * GiB})
			r.loadModelA()
			if test.prepare != nil {
				test.prepare(r)
			}
			test.order.ID = "tested"
			effect := r.order(test.order)
			if refused, ok := effect.(OrderRefused); !ok || refused.Reason != test.reason {
				t.Errorf("got %#v, want %s", effect, test.reason)
			}
		})
	}
}

func TestUnloadCancelsALoadAndItsRead(t *testing.T) {
	r := newRig(t, Options{})
	r.weightReadTime = -1
	r.claim(1)
	r.load("1", modelA, GiB)
	load := r.core.models[0].load
	r.order(backend.Order{ID: "2", Action: backend.ActionUnload, Model: modelA})
	r.run(time.Second)
	if len(r.core.models) != 0 || !cmp.Equal(r.cancelled, []LoadID{load}) {
		t.Errorf("models %d, cancelled reads %v; want no model and only its read cancelled", len(r.core.models), r.cancelled)
	}
}

func TestUnloadLetsAcceptedRequestsEnd(t *testing.T) {
	r := newRig(t, Options{})
	r.loadModelA()
	call := r.submit(Request{ID: "r", MaxTokens: 5})
	r.order(backend.Order{ID: "2", Action: backend.ActionUnload, Model: modelA})
	late := r.submit(Request{ID: "late"})
	r.run(time.Minute)
	chunks, _ := r.chunks(call)
	if len(chunks) != 6 || chunks[5].Finish == "" {
		t.Errorf("got chunks %v", chunks)
	}
	if r.refusal(late) != RefusedNotReady || len(r.core.models) != 0 {
		t.Errorf("late request: %q, models %d", r.refusal(late), len(r.core.models))
	}
}

func TestSecondLoadOfACheckpointComesFromHostMemory(t *testing.T) {
	r := newRig(t, Options{Timing: Timing{HostLoad: time.Second}})
	r.loadModelA()
	r.order(backend.Order{ID: "2", Action: backend.ActionUnload, Model: modelA})
	r.run(time.Minute)
	r.effects = nil
	r.load("3", modelA, 14*GiB)
	r.run(time.Second)
	for _, effect := range r.effects {
		if _, fetched := effect.(FetchWeights); fetched {
			t.Error("the checkpoint was read from the weight store")
		}
	}
	if state := r.core.models[0].state; state != fleet.LoadReady {
		t.Errorf("model is %s after the host load time", state)
	}
}

// checkRandomOrders feeds an engine random orders, claims, restarts and pauses,
// and checks after each that its memory is not overcommitted.
func checkRandomOrders(t *rapid.T, core *Core) {
	now := start
	fence := fleet.Fence(0)
	var reads []LoadID
	models := []fleet.ModelVersion{modelA, modelB, {Model: "swap", Version: "1"}}
	for step := range rapid.IntRange(1, 60).Draw(t, "steps") {
		now = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "pause")) * time.Millisecond)
		order := backend.Order{
			ID:          fmt.Sprint(rapid.IntRange(0, step+1).Draw(t, "id")),
			Fence:       fence,
			Incarnation: core.incarnation,
			Action: rapid.SampledFrom([]backend.Action{
				backend.ActionLoad, backend.ActionUnload, backend.ActionLoadAdapter, backend.ActionUnloadAdapter,
			}).Draw(t, "action"),
			Model:   rapid.SampledFrom(models).Draw(t, "model"),
			Adapter: rapid.SampledFrom([]fleet.AdapterName{"wind", "sea"}).Draw(t, "adapter"),
			Bytes:   rapid.Int64Range(-GiB, 9*GiB).Draw(t, "bytes"),
		}
		var message Message
		kind := rapid.IntRange(0, 20).Draw(t, "kind")
		switch {
		case kind == 0 || fence == 0:
			fence++
			message = TakeClaim{Claim: backend.Claim{Fence: fence, Incarnation: core.incarnation}}
		case kind == 1:
			message = Restart{}
			fence = 0
		case kind < 8 && len(reads) > 0:
			message = WeightsDone{Load: rapid.SampledFrom(reads).Draw(t, "read")}
		default:
			message = TakeOrder{Order: order}
		}
		for _, effect := range core.Step(now, message) {
			if fetch, ok := effect.(FetchWeights); ok {
				reads = append(reads, fetch.Load)
			}
		}
		state := core.State(now)
		if state.FreeBytes() < 0 {
			t.Fatalf("%d bytes in use, limit %d", state.UsedBytes(), state.MemoryBytes-state.KVReserveBytes)
		}
	}
	if book := core.Book(now); book.PeakBytes > book.MemoryBytes {
		t.Fatalf("the book records a peak of %d bytes, limit %d", book.PeakBytes, book.MemoryBytes)
	}
}

func TestMemoryIsNeverOvercommitted(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		checkRandomOrders(t, New(Options{Incarnation: 1, MemoryBytes: 16 * GiB, KVReserveBytes: 2 * GiB}))
	})
}

// Each deliberate defect must be visible in the books or the state, so that a
// checker that reads them can detect it.
func TestDefectsShow(t *testing.T) {
	t.Run("no fence", func(t *testing.T) {
		r := newRig(t, Options{Defects: Defects{NoFence: true}})
		r.claim(5)
		r.order(backend.Order{ID: "1", Fence: 4, Action: backend.ActionLoad, Model: modelA, Bytes: GiB})
		if residencies := r.core.Book(r.now).Residencies; len(residencies) != 1 || residencies[0].Fence != 4 {
			t.Errorf("residencies %+v", residencies)
		}
	})
	t.Run("forgotten orders", func(t *testing.T) {
		r := newRig(t, Options{Defects: Defects{ForgetOrders: true}})
		r.claim(5)
		r.load("1", modelA, GiB)
		r.order(backend.Order{ID: "2", Action: backend.ActionUnload, Model: modelA})
		r.run(time.Minute)
		r.load("1", modelA, GiB)
		if residencies := r.core.Book(r.now).Residencies; len(residencies) != 2 {
			t.Errorf("residencies %+v", residencies)
		}
	})
}

func TestMemoryCheckFailsOnAnEngineThatDoesNotCheck(t *testing.T) {
	core := New(Options{Incarnation: 1, MemoryBytes: GiB, Defects: Defects{NoMemoryCheck: true}})
	core.Step(start, TakeClaim{Claim: backend.Claim{Fence: 1, Incarnation: 1}})
	core.Step(start, TakeOrder{Order: backend.Order{
		ID: "1", Fence: 1, Incarnation: 1, Action: backend.ActionLoad, Model: modelA, Bytes: 2 * GiB,
	}})
	if book := core.Book(start); book.PeakBytes <= book.MemoryBytes {
		t.Errorf("the book does not record the overcommitment: peak %d bytes, limit %d", book.PeakBytes, book.MemoryBytes)
	}
}

// An engine that is shutting down records the new work that it refuses, so that
// the checkers see that work was sent to it even though none of it ran.
func TestLeavingEngineRecordsWhatItTurnsAway(t *testing.T) {
	r := newRig(t, Options{MemoryBytes: 80 * GiB, KVReserveBytes: 8 * GiB})
	r.loadModelA()
	r.step(Leave{})
	r.submit(Request{ID: "late"})
	r.order(backend.Order{ID: "load", Action: backend.ActionLoad, Model: modelB, Bytes: GiB})
	r.order(backend.Order{ID: "unload", Action: backend.ActionUnload, Model: modelA})
	want := []books.TurnedAway{{RequestID: "late", At: r.now}, {OrderID: "load", At: r.now}}
	if diff := cmp.Diff(want, r.core.Book(r.now).TurnedAway); diff != "" {
		t.Error(diff)
	}
}
