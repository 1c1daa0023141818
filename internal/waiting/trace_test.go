package waiting

import (
	"bufio"
	"fmt"
	"io"
	"strconv"
	"strings"
	"time"
)

// traceKind is a kind of request in a trace.
type traceKind struct {
	name     string
	priority int
	// goal is the objective for the time to the first event, and deadline the longest time
	// that callers wait.
	goal, deadline time.Duration
	// worth is the value of a request served within its goal.
	worth float64
	// work is the run time of a request.
	work time.Duration
}

// traceArrival is the arrival of one request.
type traceArrival struct {
	at    time.Duration
	kind  *traceKind
	model string
}

// trace is a recorded sequence of arrivals, ordered by time.
type trace struct {
	kinds    map[string]*traceKind
	arrivals []traceArrival
}

// parseTrace reads lines of the forms "kind NAME key=value..." and "MILLISECONDS KIND MODEL".
// It skips invalid lines and returns a problem with the line number for each.
func parseTrace(reader io.Reader) (*trace, []string) {
	parsed := &trace{kinds: make(map[string]*traceKind)}
	var problems []string
	scanner := bufio.NewScanner(reader)
	for lineNumber := 1; scanner.Scan(); lineNumber++ {
		fields := strings.Fields(scanner.Text())
		var err error
		switch {
		case len(fields) == 0 || strings.HasPrefix(fields[0], "#"):
		case fields[0] == "kind":
			err = parsed.addKind(fields[1:])
		default:
			err = parsed.addArrival(fields)
		}
		if err != nil {
			problems = append(problems, fmt.Sprintf("line %d: %v", lineNumber, err))
		}
	}
	if err := scanner.Err(); err != nil {
		problems = append(problems, err.Error())
	}
	return parsed, problems
}

func (t *trace) addKind(fields []string) error {
	if len(fields) == 0 {
		return fmt.Errorf("missing name of kind")
	}
	kind := &traceKind{name: fields[0], priority: -1}
	for _, field := range fields[1:] {
		key, value, _ := strings.Cut(field, "=")
		if err := kind.set(key, value); err != nil {
			return fmt.Errorf("kind %s, %s: %w", kind.name, key, err)
		}
	}
	switch {
	case t.kinds[kind.name] != nil:
		return fmt.Errorf("duplicate kind %s", kind.name)
	case kind.priority < 0:
		return fmt.Errorf("kind %s has no priority", kind.name)
	case kind.worth <= 0:
		return fmt.Errorf("kind %s has no worth", kind.name)
	case kind.deadline <= 0:
		return fmt.Errorf("kind %s has no deadline", kind.name)
	case kind.goal <= 0 || kind.goal > kind.deadline:
		return fmt.Errorf("kind %s has goal %v outside its deadline %v", kind.name, kind.goal, kind.deadline)
	case kind.work <= 0:
		return fmt.Errorf("kind %s has no work", kind.name)
	}
	t.kinds[kind.name] = kind
	return nil
}

func (k *traceKind) set(key, value string) error {
	var err error
	switch key {
	case "priority":
		k.priority, err = strconv.Atoi(value)
	case "worth":
		k.worth, err = strconv.ParseFloat(value, 64)
	case "goal":
		k.goal, err = time.ParseDuration(value)
	case "deadline":
		k.deadline, err = time.ParseDuration(value)
	case "work":
		k.work, err = time.ParseDuration(value)
	default:
		err = fmt.Errorf("unknown key")
	}
	return err
}

func (t *trace) addArrival(fields []string) error {
	if len(fields) != 3 {
		return fmt.Errorf("%d fields, want a time, a kind and a model", len(fields))
	}
	milliseconds, err := strconv.Atoi(fields[0])
	if err != nil || milliseconds < 0 {
		return fmt.Errorf("invalid time %q", fields[0])
	}
	arrival := traceArrival{at: time.Duration(milliseconds) * time.Millisecond, kind: t.kinds[fields[1]], model: fields[2]}
	if arrival.kind == nil {
		return fmt.Errorf("unknown kind %q", fields[1])
	}
	if count := len(t.arrivals); count > 0 && arrival.at < t.arrivals[count-1].at {
		return fmt.Errorf("time %v is before the previous arrival", arrival.at)
	}
	t.arrivals = append(t.arrivals, arrival)
	return nil
}
