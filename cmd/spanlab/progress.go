package main

import (
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/spanlanding/spanlanding/internal/lab/scenario"
)

// progressInterval is the least time between two progress lines.
const progressInterval = time.Second

// progressPrinter writes one line for each moment of a scenario, in the form
// "moment NAME" that scripts wait for, and one a second in between.
type progressPrinter struct {
	mutex sync.Mutex
	to    io.Writer
	last  time.Time
}

func (p *progressPrinter) moment(moment scenario.Moment) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	fmt.Fprintf(p.to, "moment %s\n", moment)
}

func (p *progressPrinter) progress(sent, ended int) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if time.Since(p.last) < progressInterval {
		return
	}
	p.last = time.Now()
	fmt.Fprintf(p.to, "progress sent %d, ended %d\n", sent, ended)
}
