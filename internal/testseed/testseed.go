// Package testseed makes the schedules that rapid draws the same in every run:
// tests import it for that effect alone. `go test PACKAGE -rapid.seed=0` draws
// others.
//
// It may import rapid only; only tests may import it.
package testseed

import (
	"flag"

	_ "pgregory.net/rapid" // registers its flags first
)

// seed is arbitrary; zero would draw a random one.
const seed = "20261202"

func init() {
	if err := flag.Set("rapid.seed", seed); err != nil {
		panic("rapid has no flag rapid.seed: " + err.Error())
	}
}
