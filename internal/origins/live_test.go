package origins

import (
	"testing"
	"time"

	"github.com/spanlanding/spanlanding/internal/inventory"
)

// TestOneReportSettlesTheStartBehindOpenConnections guards against taking one start of a server for
// another: only a connection that was open while the start was alive ends at it.
func TestOneReportSettlesTheStartBehindOpenConnections(t *testing.T) {
	begin := time.Unix(1000, 0)
	at := func(seconds int) time.Time { return begin.Add(time.Duration(seconds) * time.Second) }
	first, second := inventory.Start{ID: "a", StartedAtMs: 1}, inventory.Start{ID: "a", StartedAtMs: 2}
	type seen struct {
		start       inventory.Start
		from, until int
	}
	cases := map[string]struct {
		seen             []seen
		start            inventory.Start
		openedAt, sentAt int
		want             bool
	}{
		"nothing seen":                                {start: first, openedAt: 1, sentAt: 2},
		"opened before, sent after":                   {seen: []seen{{first, 10, 12}}, start: first, openedAt: 5, sentAt: 15, want: true},
		"opened and sent meanwhile":                   {seen: []seen{{first, 10, 12}}, start: first, openedAt: 11, sentAt: 11, want: true},
		"opened since":                                {seen: []seen{{first, 10, 12}}, start: first, openedAt: 13, sentAt: 15},
		"answered before only":                        {seen: []seen{{first, 10, 12}}, start: first, openedAt: 5, sentAt: 9},
		"another server":                              {seen: []seen{{inventory.Start{ID: "b", StartedAtMs: 1}, 10, 12}}, start: first, openedAt: 5, sentAt: 15},
		"another start":                               {seen: []seen{{second, 10, 12}}, start: first, openedAt: 5, sentAt: 15},
		"a later start since":                         {seen: []seen{{first, 10, 12}, {second, 20, 22}}, start: first, openedAt: 5, sentAt: 15},
		"the later start":                             {seen: []seen{{first, 10, 12}, {second, 20, 22}}, start: second, openedAt: 21, sentAt: 23, want: true},
		"a connection from before the later start":    {seen: []seen{{first, 10, 12}, {second, 20, 22}}, start: second, openedAt: 11, sentAt: 15},
		"the earlier start's word comes late":         {seen: []seen{{second, 20, 22}, {first, 10, 12}}, start: second, openedAt: 21, sentAt: 23, want: true},
		"seen twice, opened and sent in between":      {seen: []seen{{first, 10, 12}, {first, 30, 32}}, start: first, openedAt: 20, sentAt: 21, want: true},
		"seen twice, the earlier word last":           {seen: []seen{{first, 30, 32}, {first, 10, 12}}, start: first, openedAt: 20, sentAt: 21, want: true},
		"a start that the server does not tell":       {seen: []seen{{inventory.Start{ID: "a"}, 10, 12}}, start: inventory.Start{ID: "a"}, openedAt: 5, sentAt: 15, want: true},
		"a server that no longer tells its own start": {seen: []seen{{first, 10, 12}, {inventory.Start{ID: "a"}, 20, 22}}, start: first, openedAt: 5, sentAt: 15},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			live := NewLiveStarts()
			for _, one := range c.seen {
				live.Record(one.start, at(one.from), at(one.until))
			}
			if got := live.Answers(c.start, at(c.openedAt), at(c.sentAt)); got != c.want {
				t.Errorf("certain: %v, want %v", got, c.want)
			}
		})
	}
}

func TestLiveStartsAreDropped(t *testing.T) {
	live, begin, start := NewLiveStarts(), time.Unix(1000, 0), inventory.Start{ID: "a", StartedAtMs: 1}
	live.Record(start, begin, begin)
	live.Sweep(begin.Add(liveRetention))
	if live.AliveAt(start).IsZero() {
		t.Error("dropped within the retention time")
	}
	live.Sweep(begin.Add(liveRetention + time.Millisecond))
	if !live.AliveAt(start).IsZero() {
		t.Error("kept beyond the retention time")
	}
}
