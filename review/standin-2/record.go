package main

import (
	"bufio"
	"fmt"
	"os"
	"slices"
	"sync"
	"time"
)

// record is the file in which a case writes what was sent, answered and run. It is safe for concurrent use.
type record struct {
	mu     sync.Mutex
	began  time.Time
	file   *os.File
	buffer *bufio.Writer
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{began: time.Now(), file: file, buffer: bufio.NewWriter(file)}, nil
}

// add writes one line with the seconds since the beginning, and shows it.
func (r *record) add(format string, arguments ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	line := fmt.Sprintf("%8.3f  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, arguments...))
	_, _ = r.buffer.WriteString(line)
	_ = r.buffer.Flush()
	if os.Getenv("VERBOSE") != "" {
		fmt.Print(line)
	}
}

func (r *record) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.buffer.Flush()
	_ = r.file.Close()
}

// sortTimes sorts by time.
func sortTimes(times []time.Time) { slices.SortFunc(times, time.Time.Compare) }
