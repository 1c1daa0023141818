package relay

import (
	"cmp"
	"context"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/spanlanding/spanlanding/internal/dispatch"
	"github.com/spanlanding/spanlanding/internal/inventory"
	"github.com/spanlanding/spanlanding/internal/origins"
	"github.com/spanlanding/spanlanding/internal/storepos"
)

// TestStreamOfARestartedServerIsRefusedWhereOneVersionIsKnown guards against streams that are joined from two software
// versions at a node that knows of one, since it was cut off as servers started again under their IDs.
func TestStreamOfARestartedServerIsRefusedWhereOneVersionIsKnown(t *testing.T) {
	one, two := []string{"v1"}, []string{"v1", "v2"}
	for name, c := range map[string]struct {
		// heard are the versions that the nodes know which were asked where the stream began.
		heard []string
		// began and serving say what becomes of the questions to the server that began the stream and to the one that
		// is to go on, StartTold if not set; beganAt and servingAt are what they tell, 1 as known.
		began, serving     StartOutcome
		beganAt, servingAt int64
		age                time.Duration
		isLimited          bool
		goesOn             bool
	}{
		"both as known":                          {heard: one, beganAt: 1, servingAt: 1, goesOn: true},
		"its server started again":               {heard: one, beganAt: 2, servingAt: 1},
		"its server started again since":         {heard: one, beganAt: 2, servingAt: 1, age: time.Minute, goesOn: true},
		"its server is down":                     {heard: one, began: StartServerDown, servingAt: 1, goesOn: true},
		"its server does not answer":             {heard: one, began: StartUnanswered, servingAt: 1, goesOn: true},
		"the serving one started again":          {heard: one, beganAt: 1, servingAt: 2},
		"the serving one does not answer":        {heard: one, beganAt: 1, serving: StartUnanswered, goesOn: true},
		"the serving one is not asked":           {heard: one, beganAt: 1, serving: StartNotAdmitted, goesOn: true},
		"the serving one does not tell":          {heard: one, beganAt: 1, goesOn: true},
		"the serving one bounds its requests":    {heard: one, beganAt: 1, servingAt: 2, isLimited: true, goesOn: true},
		"peers know two, both as known":          {heard: two, beganAt: 1, servingAt: 1, goesOn: true},
		"peers know two, serving one restarted":  {heard: two, beganAt: 1, servingAt: 2},
		"peers know two, serving one is silent":  {heard: two, beganAt: 1, serving: StartUnanswered},
		"peers know two, its server is not told": {heard: two, began: StartUnanswered, servingAt: 1},
	} {
		t.Run(name, func(t *testing.T) {
			respond := respondWith(http.StatusOK, "id: 2\ndata: v1\n\n", "Content-Type: text/event-stream")
			servers := []*fakeServer{newFakeServer(t, respond), newFakeServer(t, respond)}
			f := newFixture(t)
			f.handler.SetTable(resumeTable())
			var changes []inventory.Change
			for i, s := range servers {
				changes = append(changes, inventory.Change{Server: inventory.Server{
					ID: "s" + strconv.Itoa(i), Service: "svc", Address: s.address, Zone: "z", Slots: 8, StartedAtMs: 1, SoftwareVersion: "v1",
					Models: []inventory.HeldModel{{Name: []string{"m", "other"}[i]}}, Position: storepos.At(0, 2),
				}})
			}
			f.dispatch.Do(func(core *dispatch.Core) {
				core.SetServers(changes)
				if c.isLimited {
					core.ReceiveHint(time.Now(), inventory.Start{ID: "s0", StartedAtMs: 1}, inventory.Hint{Limit: inventory.NewRateLimit(100), SentAt: time.Now()})
				}
			})
			f.handler.options.CurrentStart = func(_ context.Context, question StartQuestion) StartAnswer {
				start, outcome := inventory.Start{ID: question.Start.ID, StartedAtMs: c.servingAt}, c.serving
				if start.ID == "s1" {
					start.StartedAtMs, outcome = c.beganAt, c.began
				}
				return StartAnswer{Outcome: cmp.Or(outcome, StartTold), Start: start, RetryAfter: 100 * time.Millisecond}
			}
			f.handler.options.Origins = &fixedOrigins{answer: OriginAnswer{IsKnown: true, Versions: c.heard, Entry: origins.Entry{
				Origin: origins.Origin{Service: "svc", SoftwareVersion: "v1"}, Server: inventory.Start{ID: "s1", StartedAtMs: 1}, RecordedAt: time.Now().Add(-c.age),
			}}}
			got := f.send(t, http.MethodPost, "/resume/", "", "X-Last", "1", "X-Resumes", "r0", "X-Model", "m", "X-Wait", "400ms")
			if isWhole := got.status == http.StatusOK && got.body == "id: 2\ndata: v1\n\n"; isWhole != c.goesOn || !isWhole && strings.Contains(got.body, "id: 2") {
				t.Errorf("got %+v, want it to go on: %v", got, c.goesOn)
			}
		})
	}
}
