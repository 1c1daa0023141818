package engine

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/spanlanding/spanlanding/internal/backend"
	"github.com/spanlanding/spanlanding/internal/fleet"
)

func TestCheckpointsFallToDiskAndOutByLastUse(t *testing.T) {
	cache := newCheckpointCache(Options{HostCacheBytes: 2, DiskCacheBytes: 1})
	third := fleet.ModelVersion{Model: "swap", Version: "1"}
	fourth := fleet.ModelVersion{Model: "chat", Version: "1"}
	for _, model := range []fleet.ModelVersion{modelA, modelB, modelA, third} {
		cache.add(model, 1)
	}
	want := map[fleet.ModelVersion]fleet.Tier{
		modelA: fleet.TierMemory, third: fleet.TierMemory, modelB: fleet.TierDisk,
	}
	if diff := cmp.Diff(want, cache.snapshot()); diff != "" {
		t.Error(diff)
	}
	cache.add(fourth, 1)
	if tier := cache.tier(modelB); tier != fleet.TierRemote {
		t.Errorf("the least recently used checkpoint is in tier %s, want it evicted", tier)
	}
}

func TestPrefixCacheKeepsWhatIsUsedLast(t *testing.T) {
	cache := New(Options{PrefixCacheBlocks: 2}).prefixes
	for _, hashes := range [][]uint64{{1}, {2}, {1}, {3}} {
		cache.access(start, Request{Model: modelA, PrefixHashes: hashes})
	}
	cached := []int{
		cache.access(start, Request{Model: modelA, PrefixHashes: []uint64{1}}),
		cache.access(start, Request{Model: modelB, PrefixHashes: []uint64{1}}),
		cache.access(start, Request{Model: modelA, PrefixHashes: []uint64{2}}),
	}
	if diff := cmp.Diff([]int{backend.PrefixBlockTokens, 0, 0}, cached); diff != "" {
		t.Error(diff)
	}
}

func TestCachedPrefixShortensThePrefill(t *testing.T) {
	r := newRig(t, Options{Timing: Timing{
		IterationBase: time.Millisecond, IterationPerSequence: time.Nanosecond, IterationPerPrefillToken: time.Millisecond,
	}})
	r.loadModelA()
	firstToken := func(id fleet.RequestID) time.Duration {
		began := r.now
		call := r.submit(Request{ID: id, PromptTokens: 130, PrefixHashes: []uint64{1, 2}, MaxTokens: 1})
		for chunks, _ := r.chunks(call); len(chunks) == 0; chunks, _ = r.chunks(call) {
			r.run(time.Millisecond)
		}
		return r.now.Sub(began)
	}
	cold, warm := firstToken("1"), firstToken("2")
	saved := time.Duration(2*backend.PrefixBlockTokens) * time.Millisecond
	if cold-warm != saved {
		t.Errorf("first token after %v cold and %v warm, want a difference of %v", cold, warm, saved)
	}
}

func TestCacheEventsComeLateAndWithGaps(t *testing.T) {
	core := New(Options{Seed: 3, Timing: Timing{CacheEventLag: time.Second}})
	for hash := range uint64(200) {
		core.prefixes.access(start, Request{Model: modelA, PrefixHashes: []uint64{hash}})
	}
	read := func(now time.Time, since uint64) backend.CacheEvents {
		return core.Step(now, ReadCacheEvents{Since: since})[0].(CacheEventsRead).Events
	}
	if early := read(start.Add(999*time.Millisecond), 0); len(early.Events) != 0 {
		t.Errorf("%d events are readable before the lag has passed, want none", len(early.Events))
	}
	all := read(start.Add(time.Second), 0)
	if len(all.Events) >= 200 || len(all.Events) < 150 {
		t.Errorf("%d of 200 events are readable, want at least 150 but not all", len(all.Events))
	}
	rest := read(start.Add(time.Second), all.Events[9].Sequence)
	if diff := cmp.Diff(all.Events[10:], rest.Events); diff != "" {
		t.Error(diff)
	}
}

func TestRequestsWaitForKVMemory(t *testing.T) {
	r := newRig(t, Options{KVReserveBytes: 100, KVBytesPerToken: 1})
	r.loadModelA()
	r.submit(Request{ID: "1", PromptTokens: 40, MaxTokens: 20})
	r.submit(Request{ID: "2", PromptTokens: 30, MaxTokens: 20})
	r.submit(Request{ID: "3", PromptTokens: 10, MaxTokens: 20})
	for !r.core.Idle() {
		r.run(time.Millisecond)
		if used := r.core.usedKVBytes(); used > 100 {
			t.Fatalf("%d bytes of KV cache in use, limit 100", used)
		}
	}
	if executions := r.core.Book(r.now).Executions; len(executions) != 3 {
		t.Errorf("%d requests ran, want 3", len(executions))
	}
}

func TestLoadReportLags(t *testing.T) {
	r := newRig(t, Options{Timing: Timing{ReportLag: time.Second}})
	r.loadModelA()
	r.submit(Request{ID: "1", MaxTokens: 1000})
	r.run(900 * time.Millisecond)
	early := r.core.State(r.now).Report
	r.run(200 * time.Millisecond)
	late := r.core.State(r.now).Report
	if early.Running != 0 || late.Running != 1 {
		t.Errorf("reported running requests: %d before the lag, %d after it; want 0 and 1", early.Running, late.Running)
	}
	if age := r.now.Sub(late.AsOf); age < time.Second {
		t.Errorf("the report is %v old, want at least 1s", age)
	}
	r.run(time.Hour)
	if idle := r.core.State(r.now).Report; idle.Running != 0 || idle.AsOf != r.now.Add(-time.Second) {
		t.Errorf("an idle engine reports %+v at %v", idle, r.now)
	}
}
