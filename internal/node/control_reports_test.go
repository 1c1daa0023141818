package node

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/spanlanding/spanlanding/internal/control"
	"github.com/spanlanding/spanlanding/internal/fleet"
)

func TestAnUpdateOfReportsComesBackFromTheWire(t *testing.T) {
	update := control.TableUpdate{
		BaseSequence: 4,
		Table:        fleet.RouteTable{Zone: "z", Leader: "a", Fence: 9, Sequence: 5},
		Reports: []control.EngineReport{
			{Engine: "e1", Report: fleet.LoadReport{
				AsOf: time.Unix(1000, 5).UTC(), Running: 1, Waiting: 2, QueuedTokens: 3, TokensPerSecond: 4.5, KVUsedBytes: 6,
			}},
			{Engine: "e2"},
		},
		Removed: []fleet.BackendName{"e3"},
	}
	encoded, err := encodeUpdate(update)
	if err != nil {
		t.Fatal(err)
	}
	decoded, err := decodeUpdate(encoded)
	if err != nil {
		t.Fatal(err)
	}
	if difference := cmp.Diff(update, decoded); difference != "" {
		t.Error(difference)
	}
}
