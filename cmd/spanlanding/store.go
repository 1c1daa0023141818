package main

import (
	"github.com/spanlanding/spanlanding/internal/objectstore"
	"github.com/spanlanding/spanlanding/internal/operator"
)

// openStore returns the object API at the URL; operators call from no zone.
func openStore(url string) operator.Store {
	return objectstore.NewClient(url, "")
}
