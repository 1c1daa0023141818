package main

import (
	"os"

	"github.com/phuslu/log"

	"github.com/spanlanding/spanlanding/internal/logging"
)

// newLogger writes one line of key=value pairs for each event to stderr.
func newLogger() *log.Logger {
	return logging.New(os.Stderr, log.InfoLevel)
}
