package attempt

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/spanlanding/spanlanding/internal/fleet"
	_ "github.com/spanlanding/spanlanding/internal/testseed"
)

// world simulates the back ends and records what happened, to check the core against it.
type world struct {
	core       *Core
	now        time.Time
	tokens     int
	repeatable bool
	// connection is the one in use, 0 for none.
	connection, attempt, nextSequence int
	// hedge is the second connection of a hedged request; hedging is set while a back end for it is
	// requested.
	hedge   *world
	hedging bool
	// executions counts the attempts that ran at a back end.
	executions  int
	answer      string
	finish      *Finish
	isAssigning bool
	fault       string
}

func (w *world) report(format string, values ...any) {
	if w.fault == "" {
		w.fault = fmt.Sprintf(format, values...)
	}
}

func (w *world) step(message Message) {
	if w.finish != nil {
		if effects := w.core.Step(w.now, message); len(effects) > 0 {
			w.report("effects after the finish: %s", describe(effects))
		}
		return
	}
	for _, effect := range w.core.Step(w.now, message) {
		switch effect := effect.(type) {
		case Open:
			if w.connection != 0 && w.hedging {
				w.hedge = &world{connection: effect.Connection, attempt: effect.Attempt}
				w.hedging = false
				w.executions++
				continue
			}
			w.connection, w.attempt, w.nextSequence = effect.Connection, effect.Attempt, len(effect.ContinueFrom)
			w.isAssigning = false
		case Resume:
			w.connection, w.nextSequence = effect.Connection, effect.From
		case Hedge:
			w.hedging = true
		case Drop:
			w.drop(effect.Connection)
		case Reassign:
			w.connection, w.isAssigning = 0, true
		case *Deliver:
			w.answer += effect.Text
		case Finish:
			w.finish = &effect
		}
	}
}

func (w *world) drop(connection int) {
	switch {
	case w.hedge == nil:
		w.report("connection %d dropped without a second one", connection)
	case connection == w.connection:
		w.swap()
	case connection != w.hedge.connection:
		w.report("connection %d dropped, which is not open", connection)
	}
	w.hedge = nil
}

// swap makes the other connection of a hedged request act next.
func (w *world) swap() {
	if w.hedge != nil {
		w.connection, w.attempt, w.nextSequence, w.hedge.connection, w.hedge.attempt, w.hedge.nextSequence =
			w.hedge.connection, w.hedge.attempt, w.hedge.nextSequence, w.connection, w.attempt, w.nextSequence
	}
}

func (w *world) chunk(sequence int) *Chunk {
	made := &Chunk{Connection: w.connection, RequestID: "r1", Attempt: w.attempt, Sequence: sequence, Text: fmt.Sprint(sequence, " ")}
	if sequence >= w.tokens {
		made.Sequence, made.Text, made.FinishReason = w.tokens, "", "stop"
	}
	return made
}

func (w *world) wholeAnswer() string {
	var whole strings.Builder
	for sequence := range w.tokens {
		fmt.Fprint(&whole, sequence, " ")
	}
	return whole.String()
}

// check compares the finish with what happened.
func (w *world) check() {
	switch {
	case w.finish == nil:
		w.report("no finish")
	case w.finish.Outcome == OutcomeOK && w.answer != w.wholeAnswer():
		w.report("%q was reported as the whole answer", w.answer)
	case !strings.HasPrefix(w.wholeAnswer(), w.answer):
		w.report("%q is not a prefix of the answer", w.answer)
	case w.finish.Outcome == OutcomeNotRun && w.executions > 0:
		w.report("reported as not-run, but %d attempts ran", w.executions)
	}
	if !w.repeatable && w.executions > 1 {
		w.report("a request that is not repeatable ran %d times", w.executions)
	}
}

func runSchedule(t *rapid.T, defects Defects) string {
	w := &world{now: epoch, tokens: rapid.IntRange(0, 6).Draw(t, "tokens"), repeatable: rapid.Bool().Draw(t, "repeatable"), isAssigning: true}
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
	w.check()
	return w.fault
}

func (w *world) act(t *rapid.T, act string) {
	if w.isAssigning {
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
			w.step(Answered{w.connection})
			return
		}
		next := w.chunk(w.nextSequence)
		w.nextSequence++
		w.step(next)
		if next.FinishReason != "" {
			w.step(Ended{w.connection, true})
		}
	case "old":
		w.step(w.chunk(max(0, w.nextSequence-2)))
	case "skip":
		w.nextSequence++
		w.step(w.chunk(w.nextSequence))
	case "crossed":
		crossed := w.chunk(w.nextSequence)
		crossed.RequestID, crossed.Text = "r2", "crossed "
		w.step(crossed)
	case "late":
		late := w.chunk(w.nextSequence)
		late.Connection--
		late.Text = "late "
		w.step(late)
	case "end":
		w.step(Ended{w.connection, rapid.Bool().Draw(t, "terminated")})
	case "break":
		w.step(Failure{Connection: w.connection, Evidence: MaybeSent})
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

// begin draws the start of a new attempt: whether it fails at once, and whether it ran.
func (w *world) begin(t *rapid.T) {
	switch rapid.IntRange(0, 4).Draw(t, "begin") {
	case 0:
		w.step(Failure{Connection: w.connection, Evidence: NeverSent})
	case 1:
		w.step(Failure{Connection: w.connection, Evidence: RefusedBeforeRun})
	case 2:
		w.executions++
		w.step(Failure{Connection: w.connection, Evidence: MaybeSent})
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

// Each deliberate defect must be found by the checks, which prove nothing if they cannot fail.
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
			t.Error("no schedule revealed the defect")
		})
	}
}
