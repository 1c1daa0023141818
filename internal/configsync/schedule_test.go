package configsync

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "github.com/spanlanding/spanlanding/internal/testseed"

	"github.com/spanlanding/spanlanding/internal/fleet"
	"github.com/spanlanding/spanlanding/internal/objectstore"
)

const (
	scheduleSteps = 120
	settleRounds  = 400
	// defectSeeds is the maximum number of schedules tried to expose a defect.
	defectSeeds = 300
)

// draw chooses a number below n.
type draw func(label string, n int) int

// runSchedule draws writes, lost, duplicated and delayed messages, store faults and restarts, and
// returns the first violated invariant.
func runSchedule(draw draw, defects Defects) string {
	cluster := newCluster([]fleet.Zone{"a", "b"}, 3, Options{
		TombstoneLimit: 1 + draw("tombstones", 4),
		Defects:        defects,
	})
	for range scheduleSteps {
		drawStep(draw, cluster)
		if cluster.violation != "" {
			return cluster.violation
		}
	}
	cluster.store.down = false
	cluster.store.visibleVersion = 0
	cluster.markAllAlive()
	cluster.settle(settleRounds)
	if cluster.violation != "" {
		return cluster.violation
	}
	return cluster.differences()
}

func drawStep(draw draw, c *cluster) {
	switch draw("step", 18) {
	case 0, 1:
		drawWrite(draw, c)
	case 2:
		c.store.write(objectstore.KindLease, "a", false)
	case 3:
		c.store.down = !c.store.down
	case 4:
		if c.store.visibleVersion = c.store.version; draw("fresh", 2) == 0 {
			c.store.visibleVersion = 0
		}
	case 5:
		c.store.compacted = c.store.version
	case 6:
		c.start(c.nodes[draw("restart", len(c.nodes))])
	case 7:
		if len(c.inFlight) > 0 {
			index := draw("lost", len(c.inFlight))
			c.inFlight = append(c.inFlight[:index:index], c.inFlight[index+1:]...)
		}
	case 8:
		if len(c.inFlight) > 0 {
			c.deliver(draw("doubled", len(c.inFlight)), true)
		}
	case 9, 10, 11:
		c.advance(10 * time.Millisecond << draw("time", 10))
	case 12:
		states := []objectstore.MachineState{objectstore.MachineLive, objectstore.MachineLeaving, ""}
		c.setMachine(fmt.Sprintf("m%d", draw("machine", 3)), states[draw("state", len(states))])
	case 13:
		drawMembership(draw, c)
	case 14, 15:
		c.deliverWatchEvent(c.nodes[draw("watch", len(c.nodes))])
	default:
		if len(c.inFlight) > 0 {
			c.deliver(draw("delivered", len(c.inFlight)), false)
		}
	}
}

// drawMembership makes some nodes consider a member dead, or alive again, so that they disagree on
// who reads the store.
func drawMembership(draw draw, c *cluster) {
	subject := c.nodes[draw("subject", len(c.nodes))]
	states := []fleet.MemberState{fleet.MemberAlive, fleet.MemberSuspect, fleet.MemberDead}
	subject.member.State = states[draw("member", len(states))]
	for _, node := range c.nodes {
		if node != subject && draw("hears", 2) == 0 {
			c.step(node, MembersChanged{Members: c.members()})
		}
	}
}

func drawWrite(draw draw, c *cluster) {
	name := fmt.Sprintf("o%d", draw("object", 5))
	current := c.store.stateAt(c.store.version)[objectstore.Key{Kind: "Model", Name: name}]
	exists := current.Version > 0 && !current.Deleted
	c.store.write("Model", name, exists && draw("delete", 2) == 0)
}

func TestScheduleKeepsTheRules(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		draw := func(label string, n int) int { return rapid.IntRange(0, n-1).Draw(t, label) }
		if violation := runSchedule(draw, Defects{}); violation != "" {
			t.Fatal(violation)
		}
	})
}

func TestSchedulesCatchPlantedDefects(t *testing.T) {
	cases := map[string]Defects{
		"versions may go back": {VersionsMayGoBack: true},
		"gap ignored":          {IgnoreGaps: true},
		"unknown object taken": {TakeUnknown: true},
		"base list ignored":    {IgnoreBase: true},
	}
	for name, defects := range cases {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(defectSeeds) {
				random := rand.New(rand.NewPCG(seed, 0))
				draw := func(_ string, n int) int { return random.IntN(n) }
				if violation := runSchedule(draw, defects); violation != "" {
					t.Logf("seed %d: %s", seed, violation)
					return
				}
			}
			t.Errorf("%d schedules did not expose the defect", defectSeeds)
		})
	}
}
