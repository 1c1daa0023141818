package faults

import (
	"context"
	"encoding/json"
	"io"
	"regexp"
	"slices"
	"strconv"
	"time"

	"github.com/spanlanding/spanlanding/internal/allotment"
	"github.com/spanlanding/spanlanding/internal/fleet"
	"github.com/spanlanding/spanlanding/internal/lab/history"
	"github.com/spanlanding/spanlanding/internal/operator"
	"github.com/spanlanding/spanlanding/internal/peer"
	"github.com/spanlanding/spanlanding/internal/peer/peerpb"
	"github.com/spanlanding/spanlanding/internal/standin/books"
	"github.com/spanlanding/spanlanding/internal/standin/faults"
	"github.com/spanlanding/spanlanding/internal/traffic"
)

// pauseLeader pauses the leader of a zone while an engine executes one of its load orders.
func (f *testFleet) pauseLeader(zone fleet.Zone) *testNode {
	f.Helper()
	f.awaitLoading(f.enginesOf(zone))
	leader := f.awaitLeader(zone)
	f.pauseNode(leader)
	return leader
}

// awaitSuccessor waits until the other node of the zone leads and an engine has
// granted it a claim.
func (f *testFleet) awaitSuccessor(former *testNode) *testNode {
	f.Helper()
	successor := f.otherNodeInZone(former)
	eventually(f.T, "new leader of zone "+string(former.settings.Zone), func() bool {
		leader, fence := f.leaderSeenBy(successor)
		return leader == successor && f.holdsClaim(former.settings.Zone, fence)
	})
	f.Logf("%s leads instead of %s", successor.settings.Name, former.settings.Name)
	return successor
}

// holdsClaim reports whether an engine of the zone has granted a claim with the fence.
func (f *testFleet) holdsClaim(zone fleet.Zone, fence string) bool {
	for _, engine := range f.enginesOf(zone) {
		if state, ok := engine.state(); ok && state.Fence.String() == fence {
			return true
		}
	}
	return false
}

// chatVersion is a model version for which the examples declare a minimum of one replica.
var chatVersion = fleet.ModelVersion{Model: "kurv-chat", Version: "v3"}

// declareSecondChatReplica raises the declared number of replicas of chatVersion to two.
func (f *testFleet) declareSecondChatReplica(folder string) {
	f.Helper()
	f.replaceOnce(folder, "capacity.yaml", "    matchLabels: {use: chat}\n  replicas: 1", "    matchLabels: {use: chat}\n  replicas: 2")
}

// awaitSecondChatReplica waits until more than one replica is decided and loaded.
func (f *testFleet) awaitSecondChatReplica() {
	f.Helper()
	eventually(f.T, "second replica of "+chatVersion.String(), func() bool {
		status, _ := f.status(f.nodes[0])
		for _, model := range status.Models {
			if model.Model == chatVersion {
				return model.Decided > 1 && model.Ready > 1
			}
		}
		return false
	})
}

// awaitUnusable waits until a node no longer considers another one usable. Nodes of
// another zone are known only by that zone's reports, so they become suspect at most.
func (f *testFleet) awaitUnusable(observer, observed *testNode) {
	f.Helper()
	eventually(f.T, string(observed.settings.Name)+" becomes unusable", func() bool {
		status, ok := f.status(observer)
		for _, member := range status.Members {
			if member.Name == observed.settings.Name {
				return !member.Usable()
			}
		}
		return ok
	})
}

// awaitAllotments waits until a node confirms an allotment record with which every
// zone can load: its engines are admitted and it has replicas allotted. The first
// records of a new fleet name no engines, and the next ones allot no replicas yet.
func (f *testFleet) awaitAllotments(node *testNode) {
	f.Helper()
	control := peer.NewPool().To(node.settings.Listen.Peer).Control
	eventually(f.T, string(node.settings.Name)+" confirms allotments for all zones", func() bool {
		ctx, cancel := context.WithTimeout(f.Context(), time.Second)
		defer cancel()
		answer, err := control.Allotments(ctx, &peerpb.AllotmentsRequest{})
		if err != nil || answer.GetVersion() == 0 {
			return false
		}
		var record allotment.Record
		if err := json.Unmarshal(answer.GetRecord(), &record); err != nil {
			f.Fatalf("decode the allotment record: %v", err)
		}
		return !slices.ContainsFunc(zones, func(zone fleet.Zone) bool { return !canLoad(record, zone) })
	})
}

// canLoad reports whether the record allows the zone's leader to load any model.
func canLoad(record allotment.Record, zone fleet.Zone) bool {
	if len(record.Engines(zone)) == 0 {
		return false
	}
	for model := range record.Models {
		if record.Limit(model, zone) > 0 {
			return true
		}
	}
	return false
}

// refusedAfterLeaving returns how long after announcing that it leaves a back end last
// refused work, and how often it did.
func (f *testFleet) refusedAfterLeaving(url string) (time.Duration, int) {
	f.Helper()
	var book books.Book
	if !get(url+"/lab/books", &book) {
		f.Fatalf("cannot read the book at %s", url)
	}
	var latest time.Duration
	for _, refused := range book.TurnedAway {
		latest = max(latest, refused.At.Sub(book.LeavingSince))
	}
	return latest, len(book.TurnedAway)
}

// slowEngines delays every later call to the engines of a zone.
func (f *testFleet) slowEngines(zone fleet.Zone, delay time.Duration) {
	f.Helper()
	for _, engine := range f.enginesOf(zone) {
		f.setFaults("http://"+engine.address, faults.Set{Delay: delay})
	}
	f.recordFault(history.FaultInjected, string(zone), "engines slow by "+delay.String())
}

// refusedOrders counts the orders that the engines of a zone refused because of a
// stale fence.
func (f *testFleet) refusedOrders(zone fleet.Zone) int {
	count := 0
	for _, engine := range f.enginesOf(zone) {
		var book books.Book
		if get("http://"+engine.address+"/lab/books", &book) {
			count += book.RefusedOrders
		}
	}
	return count
}

// sentOrderBytes matches the node's metric for the bytes of orders sent to engines.
var sentOrderBytes = regexp.MustCompile(`(?m)^` + traffic.MetricCallBytes + `\{call="orders",channel="engine",direction="sent"\} (\S+)`)

func (f *testFleet) orderBytes(node *testNode) float64 {
	f.Helper()
	response, err := client.Get("http://" + node.operator() + operator.PathMetrics)
	if err != nil {
		f.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	metrics, err := io.ReadAll(response.Body)
	if err != nil {
		f.Fatal(err)
	}
	found := sentOrderBytes.FindSubmatch(metrics)
	if found == nil {
		return 0
	}
	bytes, err := strconv.ParseFloat(string(found[1]), 64)
	if err != nil {
		f.Fatal(err)
	}
	return bytes
}
