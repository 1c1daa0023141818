package service

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/spanlanding/spanlanding/internal/fleet"
	"github.com/spanlanding/spanlanding/internal/standin/books"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func TestCommandIsRecordedWhenItBeginsAndAnsweredAfterItsServiceTime(t *testing.T) {
	core := New(Options{ServiceTime: time.Second, Backend: fleet.Backend{Service: "turbines"}})
	run := Run{Call: 3, RequestID: "r", Attempt: 1, Key: "k", Method: "POST", Path: "/stop"}
	if effects := core.Step(start, run); len(effects) != 0 || core.Idle() {
		t.Fatalf("effects %v, idle %v", effects, core.Idle())
	}
	begun := books.Execution{RequestID: "r", Attempt: 1, Key: "k", Method: "POST", Path: "/stop", Started: start}
	if diff := cmp.Diff([]books.Execution{begun}, core.Book().Executions); diff != "" {
		t.Error(diff)
	}
	answer := Answer{Service: "turbines", Method: "POST", Path: "/stop", RequestID: "r", Executed: 1}
	effects := core.Step(core.NextWake(), Tick{})
	if diff := cmp.Diff([]Effect{Answered{Call: 3, Answer: answer}}, effects); diff != "" {
		t.Error(diff)
	}
	if ended := core.Book().Executions[0].Ended; ended != start.Add(time.Second) {
		t.Errorf("ended at %v", ended)
	}
}

func TestLeavingServerRunsNothingNewAndEndsWhatRuns(t *testing.T) {
	core := New(Options{ServiceTime: time.Second})
	core.Step(start, Run{Call: 1})
	core.Step(start, Leave{})
	if diff := cmp.Diff([]Effect{Refused{Call: 2}}, core.Step(start, Run{Call: 2, RequestID: "late"})); diff != "" {
		t.Error(diff)
	}
	if diff := cmp.Diff([]books.TurnedAway{{RequestID: "late", At: start}}, core.Book().TurnedAway); diff != "" {
		t.Error(diff)
	}
	effects := core.Step(core.NextWake(), Tick{})
	if _, answered := effects[0].(Answered); !answered || len(core.Book().Executions) != 1 {
		t.Errorf("effects %v, book %+v", effects, core.Book())
	}
}
