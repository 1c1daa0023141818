package placement

import (
	"testing"
	"time"
)

func TestPartOfTheWeightStore(t *testing.T) {
	cases := map[string]struct {
		zones, waiting int
		additional     int
		others         StoreUsage
		rate           float64
		slots          int
	}{
		"no other zone waits":          {4, 3, 0, StoreUsage{}, 12, 8},
		"others load some":             {4, 1, 0, StoreUsage{Loading: 5}, 12, 3},
		"others use all slots":         {4, 1, 0, StoreUsage{Loading: 9}, 12, 2},
		"others wait too":              {4, 2, 0, StoreUsage{Waiting: 4}, 4, 8},
		"all other zones unknown":      {4, 3, 0, StoreUsage{UnknownZones: 3}, 3, 2},
		"one zone unknown":             {4, 2, 0, StoreUsage{Waiting: 1, UnknownZones: 1}, 6, 6},
		"additional replicas only":     {4, 0, 2, StoreUsage{}, 3, 8},
		"additional while others wait": {4, 0, 2, StoreUsage{Waiting: 2}, 1, 8},
		"single zone":                  {1, 1, 0, StoreUsage{}, 12, 8},
		"more zones than slots":        {16, 1, 0, StoreUsage{Loading: 8, Waiting: 11}, 1, 1},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			settings := DefaultSettings()
			settings.StoreLoadsPerSecond, settings.StoreConcurrency = 12, 8
			core := New(Options{Settings: settings})
			core.zones, core.zoneIndex = test.zones, test.zones-1
			core.store.waiting, core.store.additional, core.store.others = test.waiting, test.additional, test.others
			if rate := core.storeRate(); rate != test.rate {
				t.Errorf("got rate %v, want %v", rate, test.rate)
			}
			if slots := core.storeSlots(); slots != test.slots {
				t.Errorf("got %d slots, want %d", slots, test.slots)
			}
			now := time.Unix(1, 0)
			core.refillTokens(now)
			core.refillTokens(now.Add(time.Minute))
			if limit := 1 + test.rate*planInterval.Seconds(); core.store.tokens != limit {
				t.Errorf("got %v tokens, want %v", core.store.tokens, limit)
			}
		})
	}
}
