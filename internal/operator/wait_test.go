package operator

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/spanlanding/spanlanding/internal/fleet"
)

// fakeFleet simulates the operator ports of the nodes of a fleet. The version at
// a node may change during a wait.
type fakeFleet struct {
	zones       map[fleet.Zone][]fleet.Member
	unreachable map[string]bool
	listed      []fleet.NodeName
	versions    func(fleet.NodeName) uint64
}

type fakeNode struct {
	fleet *fakeFleet
	zone  fleet.Zone
	name  string
}

var errUnreachable = errors.New("no answer")

func (n fakeNode) Versions(context.Context) (VersionReport, error) {
	if n.fleet.unreachable[n.name] {
		return VersionReport{}, errUnreachable
	}
	report := VersionReport{Zone: n.zone, Listed: n.fleet.listed}
	for zone, members := range n.fleet.zones {
		for _, member := range members {
			// Reports on other zones are outdated: a node does not learn their
			// current versions.
			if zone == n.zone {
				member.ConfigVersion = n.fleet.versions(member.Name)
			}
			report.Members = append(report.Members, member)
		}
	}
	return report, nil
}

func (f *fakeFleet) dial(address string) VersionSource {
	for zone, members := range f.zones {
		for _, member := range members {
			if member.Addresses.Operator == address {
				return fakeNode{fleet: f, zone: zone, name: string(member.Name)}
			}
		}
	}
	return fakeNode{fleet: &fakeFleet{unreachable: map[string]bool{"": true}}}
}

func newFakeFleet() *fakeFleet {
	f := &fakeFleet{zones: make(map[fleet.Zone][]fleet.Member), unreachable: make(map[string]bool)}
	for _, zone := range []fleet.Zone{"a", "b"} {
		for number := range 2 {
			name := fmt.Sprintf("%s%d", zone, number)
			f.zones[zone] = append(f.zones[zone], fleet.Member{
				Name: fleet.NodeName(name), Zone: zone, State: fleet.MemberAlive,
				Addresses: fleet.Addresses{Operator: name + ":1"},
			})
		}
	}
	return f
}

func TestWaitEndsOnlyWhenEveryLiveNodeHasTheVersion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		start := time.Now()
		f := newFakeFleet()
		f.zones["b"] = append(f.zones["b"], fleet.Member{Name: "b9", Zone: "b", State: fleet.MemberDead})
		f.versions = func(name fleet.NodeName) uint64 {
			if name == "b1" && time.Since(start) < 2*time.Second {
				return 6
			}
			return 7
		}
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		defer cancel()
		result, err := Wait(ctx, f.dial("a0:1"), f.dial, 7)
		if err != nil || result.Live != 4 || result.InForce != 4 {
			t.Errorf("wait: %+v, error %v", result, err)
		}
		if waited := time.Since(start); waited < 2*time.Second || waited > 3*time.Second {
			t.Errorf("wait ended after %v, want 2s to 3s: the last node had the version after 2s", waited)
		}
	})
}

func TestWaitListsWhoLacksTheVersion(t *testing.T) {
	cases := []struct {
		name    string
		prepare func(*fakeFleet)
		want    []Lacking
	}{
		{"old version", func(f *fakeFleet) {
			f.versions = func(name fleet.NodeName) uint64 {
				if name == "a1" {
					return 3
				}
				return 8
			}
		}, []Lacking{{Zone: "a", Node: "a1", ConfigVersion: 3, Reason: "has an older version in force"}}},
		{"suspect node counts as live", func(f *fakeFleet) {
			f.zones["b"][1].State = fleet.MemberSuspect
			f.versions = func(name fleet.NodeName) uint64 {
				if name == "b1" {
					return 6
				}
				return 7
			}
		}, []Lacking{{Zone: "b", Node: "b1", ConfigVersion: 6, Reason: "has an older version in force"}}},
		{"zone unreachable", func(f *fakeFleet) {
			f.unreachable["b0"], f.unreachable["b1"] = true, true
		}, []Lacking{{Zone: "b", Reason: "no node of the zone answered"}}},
		{"listed node without a record", func(f *fakeFleet) {
			f.listed = []fleet.NodeName{"a0", "c0"}
		}, []Lacking{{Node: "c0", Reason: "is on the machine list, but no zone has heard of it"}}},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFakeFleet()
				f.versions = func(fleet.NodeName) uint64 { return 7 }
				test.prepare(f)
				ctx, cancel := context.WithTimeout(t.Context(), time.Second)
				defer cancel()
				result, err := Wait(ctx, f.dial("a0:1"), f.dial, 7)
				if CodeOf(err) != ExitTimeout {
					t.Errorf("error %v, want one with ExitTimeout", err)
				}
				if difference := cmp.Diff(test.want, result.Lacking); difference != "" {
					t.Errorf("lacking (-want +got):\n%s", difference)
				}
			})
		})
	}
}

func TestOneSilentNodeDoesNotHideItsZone(t *testing.T) {
	f := newFakeFleet()
	f.unreachable["b0"] = true
	f.versions = func(fleet.NodeName) uint64 { return 7 }
	result, err := Wait(t.Context(), f.dial("a0:1"), f.dial, 7)
	if err != nil || result.InForce != 4 {
		t.Errorf("wait: %+v, error %v", result, err)
	}
}
