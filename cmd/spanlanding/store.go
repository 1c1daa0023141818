package main

import (
	"github.com/spanlanding/spanlanding/internal/objectstore"
	"github.com/spanlanding/spanlanding/internal/operator"
)

// openStore returns a client of the object API at the URL. Its zone is empty,
// because operators are in no zone.
func openStore(url string) operator.Store {
	return objectstore.NewClient(url, "")
}
