package main

import (
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/spanlanding/spanlanding/internal/lab/scenario"
)

// progressInterval is the minimum time between two progress lines.
const progressInterval = time.Second

// progressPrinter prints the line "moment NAME" at each moment of a scenario,
// which scripts wait for, and at most one progress line per progressInterval.
type progressPrinter struct {
	mutex       sync.Mutex
	to          io.Writer
	lastPrinted time.Time
}

func (p *progressPrinter) printMoment(moment scenario.Moment) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	fmt.Fprintf(p.to, "moment %s\n", moment)
}

func (p *progressPrinter) printProgress(sent, ended int) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if time.Since(p.lastPrinted) < progressInterval {
		return
	}
	p.lastPrinted = time.Now()
	fmt.Fprintf(p.to, "progress sent %d, ended %d\n", sent, ended)
}
