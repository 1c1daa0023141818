package relay

import (
	"context"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/spanlanding/spanlanding/internal/dispatch"
	"github.com/spanlanding/spanlanding/internal/inventory"
	"github.com/spanlanding/spanlanding/internal/storepos"
)

// TestAnswersOfServersThatStartedAgainAreNotWhole guards against callers who get a part of an answer that looks
// whole, since something listens again where its server was killed.
func TestAnswersOfServersThatStartedAgainAreNotWhole(t *testing.T) {
	const events = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n"
	other := inventory.Start{ID: "s0", StartedAtMs: 2}
	for name, c := range map[string]struct {
		answers []StartAnswer
		// isKnown is set if the other start was seen alive before the request.
		isKnown bool
		isWhole bool
	}{
		"the same start answers":                    {[]StartAnswer{{Outcome: StartTold, Start: inventory.Start{ID: "s0", StartedAtMs: 1}}}, false, true},
		"another one answers":                       {[]StartAnswer{{Outcome: StartTold, Start: other}}, false, false},
		"another one that answered the request":     {[]StartAnswer{{Outcome: StartTold, Start: other}}, true, true},
		"another one answers once it is asked anew": {[]StartAnswer{{Outcome: StartUnanswered}, {Outcome: StartTold, Start: other}}, false, false},
		"it tells no start":                         {[]StartAnswer{{Outcome: StartTold}}, false, true},
		"it does not answer, and listens":           {[]StartAnswer{{Outcome: StartUnanswered}, {Outcome: StartUnanswered}}, false, false},
		"it was down, and listens again":            {[]StartAnswer{{Outcome: StartServerDown}}, false, false},
		"it is not asked, and listens":              {[]StartAnswer{{Outcome: StartNotAdmitted}}, false, true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			server := endingServer(t, events, false)
			f := newFixture(t, server)
			f.handler.SetTable(resumeTable())
			f.dispatch.Do(func(core *dispatch.Core) {
				core.SetServers([]inventory.Change{{Server: inventory.Server{
					ID: "s0", Service: "svc", Address: server.address, Zone: "z", Slots: 8, StartedAtMs: 1,
					Models: []inventory.HeldModel{{Name: "m"}}, Position: storepos.At(0, 2),
				}}})
			})
			if c.isKnown {
				f.handler.options.LiveStarts.Record(other, time.Now().Add(-time.Minute), time.Now().Add(time.Minute))
			}
			var asked atomic.Int64
			f.handler.options.CurrentStart = func(context.Context, StartQuestion) StartAnswer {
				return c.answers[min(int(asked.Add(1)), len(c.answers))-1]
			}
			got := f.send(t, http.MethodPost, "/resume/", "b", "X-Model", "m", "X-Wait", "3s")
			if isWhole := got.status == http.StatusOK && got.err == nil; isWhole != c.isWhole || asked.Load() == 0 {
				t.Errorf("status %d, error %v, %q, %d questions", got.status, got.err, got.body, asked.Load())
			}
		})
	}
}
