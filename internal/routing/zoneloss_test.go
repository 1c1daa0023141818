package routing

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/spanlanding/spanlanding/internal/fleet"
)

// TestZoneLossMakesNoStorm: half of the engines stop responding, and the table doesn't show it for
// two seconds. Circuit breakers keep the node from retrying the dead engines over and over.
func TestZoneLossMakesNoStorm(t *testing.T) {
	const (
		requests = 2000
		spacing  = time.Millisecond
		hangs    = 200 * time.Millisecond
	)
	var engines []fleet.EngineState
	for index := range 8 {
		engines = append(engines, engine(fmt.Sprint("e", index), fleet.Zone("ab"[index%2:index%2+1]), 0))
	}
	for _, unreachable := range []bool{true, false} {
		d := newDriver(Options{EngineSlots: 64, Seed: 3}, epoch, engines...)
		random := rand.New(rand.NewPCG(1, 2))
		type pending struct {
			at     time.Time
			ticket Ticket
			result Result
		}
		var ends []pending
		dead, served := 0, 0
		for index := range requests {
			now := epoch.Add(time.Duration(index) * spacing)
			for len(ends) > 0 && !ends[0].at.After(now) {
				d.core.Step(ends[0].at, Ended{Ticket: ends[0].ticket, Result: ends[0].result})
				ends = ends[1:]
			}
			d.core.Step(now, Tick{})
			ticket, name := d.pick(now, nil)
			isDead := name != "" && (name[1]-'0')%2 == 0
			switch {
			case isDead && unreachable:
				dead++
				d.core.Step(now, Ended{Ticket: ticket, Result: ResultUnreachable})
			case isDead:
				dead++
				ends = append(ends, pending{now.Add(hangs), ticket, ResultFailed})
			case name != "":
				served++
				d.core.Step(now, FirstToken{Ticket: ticket, After: time.Duration(random.IntN(10)) * time.Millisecond})
				ends = append(ends, pending{now.Add(hangs), ticket, ResultOK})
			}
		}
		t.Logf("unreachable %t: %d of %d attempts at dead engines in 2 s, amplification %.3f",
			unreachable, dead, requests, float64(requests+dead)/requests)
		if most := requests / 5; dead > most || served < requests-dead {
			t.Errorf("unreachable %t: %d attempts at dead engines, at most %d; %d served", unreachable, dead, most, served)
		}
	}
}
