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

// pauseLeader stops the leader of a zone once an order of its was taken.
func (f *testFleet) pauseLeader(zone fleet.Zone) *testNode {
	f.Helper()
	f.awaitLoading(f.enginesOf(zone))
	leader := f.leaderOf(zone)
	f.pause(leader)
	return leader
}

// awaitSuccessor waits until the other node of the zone leads and an engine
// has granted it a claim.
func (f *testFleet) awaitSuccessor(former *testNode) *testNode {
	f.Helper()
	successor := f.otherOf(former)
	eventually(f.T, "another leader of "+string(former.settings.Zone), func() bool {
		leader, fence := f.leaderSeenBy(successor)
		return leader == successor && f.granted(former.settings.Zone, fence)
	})
	f.Logf("%s leads in place of %s", successor.settings.Name, former.settings.Name)
	return successor
}

// granted reports whether an engine of the zone holds the fence.
func (f *testFleet) granted(zone fleet.Zone, fence string) bool {
	for _, engine := range f.enginesOf(zone) {
		if state, heard := engine.state(); heard && state.Fence.String() == fence {
			return true
		}
	}
	return false
}

// chat is a model version that the examples keep standing.
var chat = fleet.ModelVersion{Model: "kurv-chat", Version: "v3"}

// moreChat declares one more standing replica, which the fleet has to decide.
func (f *testFleet) moreChat(folder string) {
	f.Helper()
	f.redeclare(folder, "capacity.yaml", "    matchLabels: {use: chat}\n  replicas: 1", "    matchLabels: {use: chat}\n  replicas: 2")
}

// awaitMoreChat waits until more than one replica is decided and loaded.
func (f *testFleet) awaitMoreChat() {
	f.Helper()
	eventually(f.T, "a second replica of "+chat.String(), func() bool {
		status, _ := f.status(f.nodes[0])
		for _, model := range status.Models {
			if model.Model == chat {
				return model.Decided > 1 && model.Ready > 1
			}
		}
		return false
	})
}

// awaitMissing waits until a node no longer holds another for usable. It knows
// of another zone's nodes by that zone's reports, so they become suspect only.
func (f *testFleet) awaitMissing(observer, missed *testNode) {
	f.Helper()
	eventually(f.T, string(missed.settings.Name)+" is missed", func() bool {
		status, heard := f.status(observer)
		for _, member := range status.Members {
			if member.Name == missed.settings.Name {
				return !member.Usable()
			}
		}
		return heard
	})
}

// awaitAllotments waits until a node vouches for a record by which every zone
// may load: its engines are admitted and some replicas allotted to it. The
// first records name no engines, and the next ones allot nothing yet.
func (f *testFleet) awaitAllotments(node *testNode) {
	f.Helper()
	control := peer.NewPool().To(node.settings.Listen.Peer).Control
	eventually(f.T, string(node.settings.Name)+" vouches for allotments of all zones", func() bool {
		ctx, cancel := context.WithTimeout(f.Context(), time.Second)
		defer cancel()
		answer, err := control.Allotments(ctx, &peerpb.AllotmentsRequest{})
		if err != nil || answer.GetVersion() == 0 {
			return false
		}
		var record allotment.Record
		if err := json.Unmarshal(answer.GetRecord(), &record); err != nil {
			f.Fatalf("the record of allotments: %v", err)
		}
		return !slices.ContainsFunc(zones, func(zone fleet.Zone) bool { return !mayLoad(record, zone) })
	})
}

// mayLoad reports whether the record lets a leader of the zone load anything.
func mayLoad(record allotment.Record, zone fleet.Zone) bool {
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

// latestTurnedAway is how long after a back end said that it leaves it last
// had to refuse work, and how often it had to.
func (f *testFleet) latestTurnedAway(url string) (time.Duration, int) {
	f.Helper()
	var book books.Book
	if !get(url+"/lab/books", &book) {
		f.Fatalf("the book at %s cannot be read", url)
	}
	var latest time.Duration
	for _, refused := range book.TurnedAway {
		latest = max(latest, refused.At.Sub(book.LeavingSince))
	}
	return latest, len(book.TurnedAway)
}

// slowEngines delays each call to the engines of a zone that comes from now on.
func (f *testFleet) slowEngines(zone fleet.Zone, delay time.Duration) {
	f.Helper()
	for _, engine := range f.enginesOf(zone) {
		f.faultsAt("http://"+engine.address, faults.Set{Delay: delay})
	}
	f.note(history.FaultInjected, string(zone), "engines slow by "+delay.String())
}

// refusedOrders counts the orders that the engines of a zone refused for their
// fence.
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

// sentOrders is the node's own figure of the bytes of orders that it sent.
var sentOrders = regexp.MustCompile(`(?m)^` + traffic.MetricCallBytes + `\{call="orders",channel="engine",direction="sent"\} (\S+)`)

func (f *testFleet) orderBytes(node *testNode) float64 {
	f.Helper()
	response, err := client.Get("http://" + node.operator() + operator.PathMetrics)
	if err != nil {
		f.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	figures, err := io.ReadAll(response.Body)
	if err != nil {
		f.Fatal(err)
	}
	found := sentOrders.FindSubmatch(figures)
	if found == nil {
		return 0
	}
	bytes, err := strconv.ParseFloat(string(found[1]), 64)
	if err != nil {
		f.Fatal(err)
	}
	return bytes
}
