package main

import (
	"github.com/spanlanding/spanlanding/internal/operator"
	"github.com/spanlanding/spanlanding/internal/platform"
)

// openStore returns the object API at the URL; operators call from no zone.
func openStore(url string) operator.Store {
	return platform.NewClient(url, "")
}
