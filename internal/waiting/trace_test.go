package waiting

import (
	"bufio"
	"fmt"
	"io"
	"strconv"
	"strings"
	"time"
)

// traceKind is one kind of request of a trace.
type traceKind struct {
	name     string
	priority int
	// goal is the time until the first event that is in time, and deadline how long
	// callers wait at all.
	goal, deadline time.Duration
	// worth is what a request in time is worth.
	worth float64
	// work is how long one runs.
	work time.Duration
}

// traceArrival is one request of a trace.
type traceArrival struct {
	at    time.Duration
	kind  *traceKind
	model string
}

// trace is a recorded time of arrivals, in the order of their times.
type trace struct {
	kinds    map[string]*traceKind
	arrivals []traceArrival
}

// parseTrace reads lines of "kind NAME key=value..." and "MILLISECONDS KIND MODEL". What
// it cannot read is a finding with its line.
func parseTrace(reader io.Reader) (*trace, []string) {
	t := &trace{kinds: make(map[string]*traceKind)}
	var findings []string
	scanner := bufio.NewScanner(reader)
	for number := 1; scanner.Scan(); number++ {
		fields := strings.Fields(scanner.Text())
		var err error
		switch {
		case len(fields) == 0 || strings.HasPrefix(fields[0], "#"):
		case fields[0] == "kind":
			err = t.addKind(fields[1:])
		default:
			err = t.addArrival(fields)
		}
		if err != nil {
			findings = append(findings, fmt.Sprintf("line %d: %v", number, err))
		}
	}
	if err := scanner.Err(); err != nil {
		findings = append(findings, err.Error())
	}
	return t, findings
}

func (t *trace) addKind(fields []string) error {
	if len(fields) == 0 {
		return fmt.Errorf("a kind without a name")
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
		return fmt.Errorf("kind %s comes twice", kind.name)
	case kind.priority < 0:
		return fmt.Errorf("kind %s has no priority", kind.name)
	case kind.worth <= 0:
		return fmt.Errorf("kind %s has no worth", kind.name)
	case kind.deadline <= 0:
		return fmt.Errorf("kind %s has no deadline", kind.name)
	case kind.goal <= 0 || kind.goal > kind.deadline:
		return fmt.Errorf("kind %s has the goal %v, its deadline is %v", kind.name, kind.goal, kind.deadline)
	case kind.work <= 0:
		return fmt.Errorf("kind %s takes no time", kind.name)
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
		err = fmt.Errorf("not known")
	}
	return err
}

func (t *trace) addArrival(fields []string) error {
	if len(fields) != 3 {
		return fmt.Errorf("%d fields, want a time, a kind and a model", len(fields))
	}
	milliseconds, err := strconv.Atoi(fields[0])
	if err != nil || milliseconds < 0 {
		return fmt.Errorf("%q is no time", fields[0])
	}
	arrival := traceArrival{at: time.Duration(milliseconds) * time.Millisecond, kind: t.kinds[fields[1]], model: fields[2]}
	if arrival.kind == nil {
		return fmt.Errorf("unknown kind %q", fields[1])
	}
	if count := len(t.arrivals); count > 0 && arrival.at < t.arrivals[count-1].at {
		return fmt.Errorf("the time goes back to %v", arrival.at)
	}
	t.arrivals = append(t.arrivals, arrival)
	return nil
}
