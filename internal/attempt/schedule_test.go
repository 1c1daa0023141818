package attempt

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/spanlanding/spanlanding/internal/fleet"
)

// world plays the back ends and keeps the books that judge the core.
type world struct {
	core       *Core
	now        time.Time
	tokens     int
	repeatable bool
	// open is the connection in use, 0 for none.
	open, attempt, sent int
	// other is the second connection of a hedged request; hedging is set while
	// a back end is asked for.
	other   *world
	hedging bool
	// executions counts attempts that ran at a back end.
	executions int
	answer     string
	finish     *Finish
	assigning  bool
	fault      string
}

func (w *world) report(format string, values ...any) {
	if w.fault == "" {
		w.fault = fmt.Sprintf(format, values...)
	}
}

func (w *world) step(message Message) {
	if w.finish != nil {
		if effects := w.core.Step(w.now, message); len(effects) > 0 {
			w.report("effects after the finish: %s", brief(effects))
		}
		return
	}
	for _, effect := range w.core.Step(w.now, message) {
		switch effect := effect.(type) {
		case Open:
			if w.open != 0 && w.hedging {
				w.other = &world{open: effect.Connection, attempt: effect.Attempt}
				w.hedging = false
				w.executions++
				continue
			}
			w.open, w.attempt, w.sent = effect.Connection, effect.Attempt, len(effect.ContinueFrom)
			w.assigning = false
		case Resume:
			w.open, w.sent = effect.Connection, effect.From
		case Hedge:
			w.hedging = true
		case Drop:
			w.drop(effect.Connection)
		case Reassign:
			w.open, w.assigning = 0, true
		case *Deliver:
			w.answer += effect.Text
		case Finish:
			w.finish = &effect
		}
	}
}

func (w *world) drop(connection int) {
	switch {
	case w.other == nil:
		w.report("connection %d dropped without another", connection)
	case connection == w.open:
		w.swap()
	case connection != w.other.open:
		w.report("connection %d dropped, which is not open", connection)
	}
	w.other = nil
}

// swap lets the other connection act next.
func (w *world) swap() {
	if w.other != nil {
		w.open, w.attempt, w.sent, w.other.open, w.other.attempt, w.other.sent =
			w.other.open, w.other.attempt, w.other.sent, w.open, w.attempt, w.sent
	}
}

func (w *world) chunk(sequence int) *Chunk {
	made := &Chunk{Connection: w.open, RequestID: "r1", Attempt: w.attempt, Sequence: sequence, Text: fmt.Sprint(sequence, " ")}
	if sequence >= w.tokens {
		made.Sequence, made.Text, made.FinishReason = w.tokens, "", "stop"
	}
	return made
}

func (w *world) whole() string {
	var whole strings.Builder
	for sequence := range w.tokens {
		fmt.Fprint(&whole, sequence, " ")
	}
	return whole.String()
}

// judge holds the finish against what happened.
func (w *world) judge() {
	switch {
	case w.finish == nil:
		w.report("no finish")
	case w.finish.Outcome == OutcomeOK && w.answer != w.whole():
		w.report("%q passed off as whole", w.answer)
	case !strings.HasPrefix(w.whole(), w.answer):
		w.report("%q is no part of the answer", w.answer)
	case w.finish.Outcome == OutcomeNotRun && w.executions > 0:
		w.report("said not-run, but %d ran", w.executions)
	}
	if !w.repeatable && w.executions > 1 {
		w.report("ran %d times", w.executions)
	}
}

func runSchedule(t *rapid.T, defects Defects) string {
	w := &world{now: epoch, tokens: rapid.IntRange(0, 6).Draw(t, "tokens"), repeatable: rapid.Bool().Draw(t, "repeatable"), assigning: true}
	options := streamOptions()
	options.Repeatable, options.Resumable, options.Defects = w.repeatable, w.repeatable, defects
	if !w.repeatable {
		w.tokens = 0
	}
	options.HedgeAfter = time.Duration(rapid.IntRange(0, 3).Draw(t, "hedge")) * time.Second
	w.core = New(options)
	for range 80 {
		if w.finish != nil {
			break
		}
		w.act(t, rapid.SampledFrom([]string{"next", "next", "next", "old", "crossed", "skip", "late", "end", "break", "wait", "hedge", "swap"}).Draw(t, "act"))
	}
	for w.finish == nil && !w.core.NextWake().IsZero() {
		w.now = w.core.NextWake()
		w.step(Tick{})
	}
	w.judge()
	return w.fault
}

func (w *world) act(t *rapid.T, act string) {
	if w.assigning {
		if rapid.IntRange(0, 9).Draw(t, "none") == 0 {
			w.step(Unassigned{Code: "queue-full"})
			return
		}
		w.step(Assigned{fleet.BackendName(rapid.SampledFrom([]string{"e1", "e2", "e3"}).Draw(t, "engine"))})
		w.begin(t)
		return
	}
	switch act {
	case "next":
		if !w.repeatable {
			w.step(Answered{w.open})
			return
		}
		next := w.chunk(w.sent)
		w.sent++
		w.step(next)
		if next.FinishReason != "" {
			w.step(Ended{w.open, true})
		}
	case "old":
		w.step(w.chunk(max(0, w.sent-2)))
	case "skip":
		w.sent++
		w.step(w.chunk(w.sent))
	case "crossed":
		crossed := w.chunk(w.sent)
		crossed.RequestID, crossed.Text = "r2", "crossed "
		w.step(crossed)
	case "late":
		late := w.chunk(w.sent)
		late.Connection--
		late.Text = "late "
		w.step(late)
	case "end":
		w.step(Ended{w.open, rapid.Bool().Draw(t, "terminated")})
	case "break":
		w.step(Failure{Connection: w.open, Evidence: MaybeSent})
	case "hedge":
		if w.hedging {
			w.step(HedgeAssigned{"e4"})
		}
	case "swap":
		w.swap()
	case "wait":
		w.now = w.now.Add(time.Duration(rapid.IntRange(0, 12).Draw(t, "seconds")) * time.Second)
		w.step(Tick{})
	}
}

// begin draws what becomes of a fresh attempt.
func (w *world) begin(t *rapid.T) {
	switch rapid.IntRange(0, 4).Draw(t, "begin") {
	case 0:
		w.step(Failure{Connection: w.open, Evidence: NeverSent})
	case 1:
		w.step(Failure{Connection: w.open, Evidence: RefusedBeforeRun})
	case 2:
		w.executions++
		w.step(Failure{Connection: w.open, Evidence: MaybeSent})
	default:
		w.executions++
	}
}

func TestDrawnSchedules(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		if fault := runSchedule(t, Defects{}); fault != "" {
			t.Fatal(fault)
		}
	})
}

// TestCheckerSeesPlantedDefects: a checker that cannot fail proves nothing.
func TestCheckerSeesPlantedDefects(t *testing.T) {
	for name, defects := range map[string]Defects{
		"blind resend":      {BlindResend: true},
		"no sequence check": {NoSequenceCheck: true},
		"passes truncated":  {PassTruncated: true},
		"claims not-run":    {ClaimNotRun: true},
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range 500 {
				fault := rapid.Custom(func(t *rapid.T) string { return runSchedule(t, defects) }).Example(seed)
				if fault != "" {
					t.Log(fault)
					return
				}
			}
			t.Error("no schedule showed the defect")
		})
	}
}
