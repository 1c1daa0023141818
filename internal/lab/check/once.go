package check

import (
	"fmt"
	"slices"
	"time"

	"github.com/anishathalye/porcupine"

	"github.com/spanlanding/spanlanding/internal/lab/history"
)

// onceCall is one operation on a register of the at-most-once model: an
// execution recorded in a book, or a call with the answer that the caller got.
type onceCall struct {
	// register names the Idempotency-Key, or the request ID if the command was
	// sent without a key.
	register string
	run      bool
}

// onceResult is the observed result of the operation.
type onceResult struct {
	outcome history.Outcome
	text    string
}

// onceState is a register: whether the call ran, and what callers were told.
type onceState struct {
	ran      bool
	answered bool
	text     string
}

// onceModel is a porcupine model with an at-most-once register for each key. A
// register allows one execution; an answer must follow the execution and be the
// same for every caller.
func onceModel() porcupine.Model {
	return porcupine.Model{
		Partition: func(operations []porcupine.Operation) [][]porcupine.Operation {
			return partitionByRegister(operations)
		},
		Init: func() any { return onceState{} },
		Step: func(state, input, output any) (bool, any) {
			return stepOnce(state.(onceState), input.(onceCall), output.(onceResult))
		},
		DescribeOperation: func(input, output any) string {
			return describeOnce(input.(onceCall), output.(onceResult))
		},
	}
}

func stepOnce(state onceState, call onceCall, result onceResult) (bool, any) {
	if call.run {
		next := state
		next.ran = true
		return !state.ran, next
	}
	if result.outcome != history.Answered {
		return true, state
	}
	if !state.ran || (state.answered && state.text != result.text) {
		return false, state
	}
	state.answered = true
	state.text = result.text
	return true, state
}

func describeOnce(call onceCall, result onceResult) string {
	if call.run {
		return fmt.Sprintf("%s ran", call.register)
	}
	return fmt.Sprintf("%s: %s %q", call.register, result.outcome, truncated(result.text))
}

func partitionByRegister(operations []porcupine.Operation) [][]porcupine.Operation {
	byRegister := make(map[string][]porcupine.Operation)
	var order []string
	for _, operation := range operations {
		register := operation.Input.(onceCall).register
		if _, known := byRegister[register]; !known {
			order = append(order, register)
		}
		byRegister[register] = append(byRegister[register], operation)
	}
	partitions := make([][]porcupine.Operation, 0, len(order))
	for _, register := range order {
		partitions = append(partitions, byRegister[register])
	}
	return partitions
}

// onceCheckLimit bounds the linearizability check of one register.
const onceCheckLimit = 10 * time.Second

// checkAtMostOnce checks that the operations of each key, and of each command
// sent without a key, are linearizable under the at-most-once model.
func checkAtMostOnce(evidence Evidence, _ Tolerances) Verdict {
	verdict := Verdict{Rule: RuleAtMostOnce, Unit: "keys and commands without a key"}
	for _, operations := range partitionByRegister(evidence.onceOperations()) {
		verdict.Exercised++
		switch porcupine.CheckOperationsTimeout(onceModel(), operations, onceCheckLimit) {
		case porcupine.Illegal:
			verdict.addFinding(time.Unix(0, operations[0].Call), "%s", describeIllegal(operations))
		case porcupine.Unknown:
			verdict.addFinding(time.Unix(0, operations[0].Call), "%s: no order found within %s",
				operations[0].Input.(onceCall).register, onceCheckLimit)
		}
	}
	return verdict
}

// onceOperations lists the commands sent by callers and their executions. An
// execution counts as complete when it starts, since it may have taken effect
// from then on.
func (e Evidence) onceOperations() []porcupine.Operation {
	registers := make(map[string]string)
	var operations []porcupine.Operation
	for client, record := range e.Records {
		if record.Kind != history.KindCommand {
			continue
		}
		register := registerName(record.Key, string(record.RequestID))
		registers[string(record.RequestID)] = register
		operations = append(operations, porcupine.Operation{
			ClientId: client,
			Input:    onceCall{register: register},
			Call:     record.Sent.UnixNano(),
			Output:   onceResult{outcome: record.Outcome, text: record.Text},
			Return:   max(record.Ended.UnixNano(), record.Sent.UnixNano()+1),
		})
	}
	clients := len(e.Records)
	for index, run := range e.executions() {
		register, command := registers[string(run.callerRequestID())]
		if run.Key != "" {
			register, command = registerName(run.Key, ""), true
		}
		if !command {
			continue
		}
		operations = append(operations, porcupine.Operation{
			ClientId: clients + index,
			Input:    onceCall{register: register, run: true},
			Call:     run.Started.UnixNano(),
			Output:   onceResult{},
			Return:   run.Started.UnixNano() + 1,
		})
	}
	return operations
}

func registerName(key, request string) string {
	if key != "" {
		return "key " + key
	}
	return "request " + request
}

func describeIllegal(operations []porcupine.Operation) string {
	sorted := slices.Clone(operations)
	slices.SortStableFunc(sorted, func(a, b porcupine.Operation) int {
		return int(a.Call - b.Call)
	})
	text := "no order explains:"
	for _, operation := range sorted {
		text += " [" + describeOnce(operation.Input.(onceCall), operation.Output.(onceResult)) + "]"
	}
	return text
}
