package origins

import (
	"testing"
	"time"

	"github.com/spanlanding/spanlanding/internal/inventory"
)

// TestOriginOfARestartedServerIsUncertain guards against an origin that names the version of a start
// which had ended when the first events were written.
func TestOriginOfARestartedServerIsUncertain(t *testing.T) {
	const settle = 3 * time.Second
	at := func(s float64) time.Time { return begin.Add(time.Duration(s * float64(time.Second))) }
	former, later := inventory.Start{ID: "a", StartedAtMs: 1}, inventory.Start{ID: "a", StartedAtMs: 2}
	certain := NewStarts(settle)
	certain.Observe(begin, later, "v2")
	if certain.Review(Entry{Origin: Origin{SoftwareVersion: "v1"}, Server: former, RecordedAt: begin, IsCertain: true}).Origin.SoftwareVersion != "v1" {
		t.Error("an origin that its server confirmed is uncertain")
	}
	cases := map[string]struct {
		observe func(s *Starts)
		// recordedAt is in seconds.
		recordedAt float64
		server     inventory.Start
		isCertain  bool
	}{
		"no other start":                  {func(*Starts) {}, 10, former, true},
		"the server is not known":         {func(*Starts) {}, 10, inventory.Start{ID: "b", StartedAtMs: 1}, true},
		"the start was not recorded":      {func(s *Starts) { s.Observe(at(11), later, "v2") }, 10, inventory.Start{}, true},
		"restarted soon after":            {func(s *Starts) { s.Observe(at(11), later, "v2") }, 10, former, false},
		"known before":                    {func(s *Starts) { s.Observe(at(9), later, "v2") }, 10, former, false},
		"restarted long after":            {func(s *Starts) { s.Observe(at(13.1), later, "v2") }, 10, former, true},
		"restarted at its version":        {func(s *Starts) { s.Observe(at(11), later, "v1") }, 10, former, true},
		"gone":                            {func(s *Starts) { s.ObserveGone(at(11), "a") }, 10, former, true},
		"gone, and back at another":       {func(s *Starts) { s.ObserveGone(at(10.5), "a"); s.Observe(at(12), later, "v2") }, 10, former, false},
		"this node knows no former start": {func(s *Starts) { s.ObserveGone(at(2), "a"); s.Sweep(at(200)); s.Observe(at(300), later, "v2") }, 200, former, false},
		"seen again":                      {func(s *Starts) { s.Observe(at(13.1), later, "v2"); s.Observe(at(20), later, "v2") }, 10, former, true},
	}
	for name, c := range cases {
		starts := NewStarts(settle)
		starts.Observe(begin, former, "v1")
		c.observe(starts)
		entry := Entry{Origin: Origin{Service: "s", SoftwareVersion: "v1"}, Server: c.server, RecordedAt: at(c.recordedAt)}
		if got := starts.Review(entry).Origin.SoftwareVersion; (got == "v1") != c.isCertain {
			t.Errorf("%s: version %q, want it certain: %v", name, got, c.isCertain)
		}
	}
}
