package edge

import (
	"strings"
	"time"

	"github.com/spanlanding/spanlanding/internal/dispatch"
	"github.com/spanlanding/spanlanding/internal/gossip"
	"github.com/spanlanding/spanlanding/internal/inventory"
	"github.com/spanlanding/spanlanding/internal/locality"
	"github.com/spanlanding/spanlanding/internal/peer/peerpb"
	"github.com/spanlanding/spanlanding/internal/placer"
	"github.com/spanlanding/spanlanding/internal/storepos"
)

func decodeLoads(wire []*peerpb.ServerLoad) []dispatch.PeerLoad {
	loads := make([]dispatch.PeerLoad, 0, len(wire))
	for _, load := range wire {
		loads = append(loads, dispatch.PeerLoad{
			ServerID: load.Server, Running: int(load.Running), PendingTokens: float64(load.PendingTokens),
		})
	}
	return loads
}

func encodeLoads(loads []dispatch.PeerLoad) []*peerpb.ServerLoad {
	encoded := make([]*peerpb.ServerLoad, 0, len(loads))
	for _, load := range loads {
		encoded = append(encoded, &peerpb.ServerLoad{
			Server: load.ServerID, Running: uint32(load.Running), PendingTokens: uint32(load.PendingTokens),
		})
	}
	return encoded
}

// decodeViews decodes the views of the leader's datagram with that number.
func decodeViews(wire []*peerpb.ServerView, datagram uint64) []dispatch.View {
	views := make([]dispatch.View, 0, len(wire))
	for _, encoded := range wire {
		view := dispatch.View{
			ServerID:    encoded.Server,
			StartedAtMs: encoded.Born,
			Sequence:    encoded.Sequence,
			Datagram:    datagram,
			Held:        make(map[string][]string, len(encoded.Held)),
			Loading:     make(map[string]time.Duration, len(encoded.Loading)),
			InMemory:    encoded.InMemory,
			OnDisk:      encoded.OnDisk,
		}
		for _, model := range encoded.Held {
			view.Held[model.Model] = model.Adapters
		}
		for _, loading := range encoded.Loading {
			name := loading.Model
			if loading.Adapter != "" {
				name += "/" + loading.Adapter
			}
			view.Loading[name] = time.Duration(loading.LeftMs) * time.Millisecond
		}
		view.Digest = viewDigest(view.ServerID, viewSignature(view))
		views = append(views, view)
	}
	return views
}

func encodeView(view dispatch.View) *peerpb.ServerView {
	encoded := &peerpb.ServerView{
		Server: view.ServerID, Born: view.StartedAtMs, Sequence: view.Sequence, InMemory: view.InMemory, OnDisk: view.OnDisk,
	}
	for model, adapters := range view.Held {
		encoded.Held = append(encoded.Held, &peerpb.HeldModel{Model: model, Adapters: adapters})
	}
	for name, left := range view.Loading {
		model, adapter, _ := strings.Cut(name, "/")
		encoded.Loading = append(encoded.Loading, &peerpb.LoadingModel{
			Model: model, Adapter: adapter, LeftMs: uint32(left.Milliseconds()),
		})
	}
	return encoded
}

// decodeCounts decodes the demand of a node in the given region.
func decodeCounts(wire []*peerpb.WantedCount, region string) []placer.RequestCount {
	counts := make([]placer.RequestCount, 0, len(wire))
	for _, count := range wire {
		counts = append(counts, placer.RequestCount{
			Requirements: dispatch.Requirements{
				Service: count.Service, Model: count.Model, Adapter: count.Adapter, Regions: decodeRegions(count.Regions), SoftwareVersion: count.SoftwareVersion,
			},
			Requests:     count.Asked,
			Waiting:      int(count.Waiting),
			PromptTokens: count.PromptTokens,
			Region:       region,
			LatencyGoal:  time.Duration(count.GoalMs) * time.Millisecond,
		})
	}
	return counts
}

// decodeRegions decodes a set of regions; no names means no restriction.
func decodeRegions(names []string) locality.Regions {
	if len(names) == 0 {
		return locality.Regions{}
	}
	return locality.Only(names...)
}

func decodeChanges(wire []*peerpb.ServerNews) []gossip.ServerChange {
	items := make([]gossip.ServerChange, 0, len(wire))
	for _, encoded := range wire {
		item := gossip.ServerChange{
			Server: inventory.Server{
				ID: encoded.Server, StartedAtMs: encoded.Born, Service: encoded.Service, Address: encoded.Address, Zone: encoded.Zone, Slots: int(encoded.Slots),
				Draining: encoded.Going, Ended: encoded.Going && encoded.Ended, Position: storepos.At(encoded.Era, encoded.Revision), Announced: true,
				SoftwareVersion: encoded.SoftwareVersion,
			},
			Age: time.Duration(encoded.AgeMs) * time.Millisecond,
		}
		if !isUsable(item.Server) {
			continue
		}
		// The stored value is relative to the store's report, not to the time of receipt.
		item.Server.ColdRemaining, item.Server.ReportsCold = decodeColdRemaining(encoded.ColdLeftMs)
		if item.Server.ColdRemaining > 0 {
			item.Server.ColdRemaining += item.Age
		}
		items = append(items, item)
	}
	return items
}

func encodeChanges(items []gossip.ServerChange) []*peerpb.ServerNews {
	encoded := make([]*peerpb.ServerNews, 0, len(items))
	for _, item := range items {
		change := &peerpb.ServerNews{
			Server: item.Server.ID, Born: item.Server.StartedAtMs, Going: item.Server.Draining, Ended: item.Server.Ended,
			Revision: item.Server.Position.Revision, Era: item.Server.Position.Era,
			AgeMs: uint32(item.Age.Milliseconds()),
		}
		if !change.Going {
			change.Service, change.Address, change.Zone = item.Server.Service, item.Server.Address, item.Server.Zone
			change.Slots, change.SoftwareVersion = uint32(item.Server.Slots), item.Server.SoftwareVersion
			change.ColdLeftMs = encodeColdRemaining(item.Server.ColdRemaining-item.Age, item.Server.ReportsCold)
		}
		encoded = append(encoded, change)
	}
	return encoded
}
