// Command standin plays one case of the review: it starts nodes of the project as separate processes,
// stands in for the platform's store, for servers and for clients on loopback addresses, and judges by
// what these have seen.
//
//	standin -case NAME -program PATH -record PATH [-trouble=false]
//
// It exits with 1 if the rule was broken, with 0 if it held, and with 2 if the case could not run.
package main

import (
	"errors"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	exitHeld    = 0
	exitBroken  = 1
	exitNotRun  = 2
	maxDuration = 110 * time.Second
)

// errNotRun reports that a case could not run.
var errNotRun = errors.New("the case could not run")

// cases are the cases by name. Each returns whether the rule was broken.
var cases = map[string]func(*world) (broken bool, err error){
	"surplus-rejection":  playSurplusRejection,
	"store-goes-back":    playStoreGoesBack,
	"limited-resumption": playLimitedResumption,
}

func main() {
	name := flag.String("case", "", "the case to play")
	program := flag.String("program", "", "the project's program")
	recordPath := flag.String("record", "", "the file for the record")
	trouble := flag.Bool("trouble", true, "whether to put the disruption")
	flag.Parse()
	os.Exit(run(*name, *program, *recordPath, *trouble))
}

func run(name, program, recordPath string, trouble bool) int {
	play, ok := cases[name]
	if !ok {
		fmt.Fprintf(os.Stderr, "no case %q\n", name)
		return exitNotRun
	}
	w, err := newWorld(program, recordPath, trouble)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer w.close()
	overdue := time.AfterFunc(maxDuration, func() {
		w.close()
		os.Exit(exitNotRun)
	})
	defer overdue.Stop()
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, os.Interrupt, syscall.SIGTERM)
	go func() {
		<-stopped
		w.close()
		os.Exit(exitNotRun)
	}()
	broken, err := play(w)
	switch {
	case err != nil:
		w.record.add("verdict: not run: %v", err)
		return exitNotRun
	case broken:
		w.record.add("verdict: the rule was broken")
		return exitBroken
	default:
		w.record.add("verdict: the rule held")
		return exitHeld
	}
}
