package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"runtime/debug"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// verdict is what a case found.
type verdict struct {
	broken  bool
	summary string
}

// cases are the cases by name.
var cases = map[string]func(*world) verdict{
	"order-after-power-loss":  playOrderAfterPowerLoss,
	"lost-after-power-loss":   playLostAfterPowerLoss,
	"rare-poison":             playRarePoison,
	"lost-in-roll":            playLostInRoll,
	"one-name-of-two-holders": playOneNameOfTwoHolders,
}

// maxRun ends a case that hangs.
const maxRun = 110 * time.Second

func main() { os.Exit(run()) }

func run() (code int) {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-standin-2 CASE FOLDER")
		return exitNotRun
	}
	record, err := newRecord(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer record.close()
	w, err := newWorld(record, os.Getenv("TROUBLE") != "0")
	if err != nil {
		record.add("could not run: %v", err)
		return exitNotRun
	}
	defer w.end()
	done := make(chan int, 1)
	go func() { done <- w.play(cases[os.Args[1]]) }()
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGINT, syscall.SIGTERM)
	select {
	case code = <-done:
	case <-interrupted:
		record.add("interrupted")
		code = exitNotRun
	case <-time.After(maxRun):
		record.add("could not run: not over after %v", maxRun)
		code = exitNotRun
	}
	return code
}

// notRun is the panic of a case that cannot go on.
type notRun struct{ reason string }

// play runs the case and turns what it found into an exit code.
func (w *world) play(play func(*world) verdict) (code int) {
	defer func() {
		switch cause := recover().(type) {
		case nil:
		case notRun:
			w.record.add("could not run: %s", cause.reason)
			code = exitNotRun
		default:
			w.record.add("could not run: %v\n%s", cause, debug.Stack())
			code = exitNotRun
		}
	}()
	found := play(w)
	if found.broken {
		w.record.add("BROKEN: %s", found.summary)
		return exitBroken
	}
	w.record.add("held: %s", found.summary)
	return exitHeld
}

// fail ends a case that cannot go on.
func fail(format string, arguments ...any) { panic(notRun{fmt.Sprintf(format, arguments...)}) }
