package placement

import (
	"testing"
	"time"
)

func TestPartOfTheWeightStore(t *testing.T) {
	cases := map[string]struct {
		zones, waiting int
		further        int
		others         StoreUsage
		rate           float64
		slots          int
	}{
		"alone wanting":          {4, 3, 0, StoreUsage{}, 12, 8},
		"others load":            {4, 1, 0, StoreUsage{Loading: 5}, 12, 3},
		"others took all":        {4, 1, 0, StoreUsage{Loading: 9}, 12, 2},
		"others wait as well":    {4, 2, 0, StoreUsage{Waiting: 4}, 4, 8},
		"nothing is heard":       {4, 3, 0, StoreUsage{UnknownZones: 3}, 3, 2},
		"one zone is not heard":  {4, 2, 0, StoreUsage{Waiting: 1, UnknownZones: 1}, 6, 6},
		"further replicas only":  {4, 0, 2, StoreUsage{}, 3, 8},
		"further after others":   {4, 0, 2, StoreUsage{Waiting: 2}, 1, 8},
		"a zone by itself":       {1, 1, 0, StoreUsage{}, 12, 8},
		"more zones than a load": {16, 1, 0, StoreUsage{Loading: 8, Waiting: 11}, 1, 1},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			settings := DefaultSettings()
			settings.StoreLoadsPerSecond, settings.StoreConcurrency = 12, 8
			core := New(Options{Settings: settings})
			core.zones, core.zoneIndex = test.zones, test.zones-1
			core.store.waiting, core.store.further, core.store.others = test.waiting, test.further, test.others
			if rate := core.storeRate(); rate != test.rate {
				t.Errorf("rate %v, want %v", rate, test.rate)
			}
			if slots := core.storeSlots(); slots != test.slots {
				t.Errorf("%d slots, want %d", slots, test.slots)
			}
			now := time.Unix(1, 0)
			core.refillTokens(now)
			core.refillTokens(now.Add(time.Minute))
			if most := 1 + test.rate*planInterval.Seconds(); core.store.tokens != most {
				t.Errorf("%v loads saved up, want %v", core.store.tokens, most)
			}
		})
	}
}
