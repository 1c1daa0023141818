package main

import (
	"os"

	"github.com/phuslu/log"

	"github.com/spanlanding/spanlanding/internal/logging"
)

// newLogger returns a logger that writes each event to stderr as one line of
// key=value pairs.
func newLogger() *log.Logger {
	return logging.New(os.Stderr, log.InfoLevel)
}
