// Package testseed fixes the seed of rapid, so that property tests draw the same
// values in every run. Tests import it for this side effect only. Use
// `go test PACKAGE -rapid.seed=0` to draw random values.
//
// It may import rapid only; only tests may import it.
package testseed

import (
	"flag"

	_ "pgregory.net/rapid" // registers its flags before init sets one
)

// seed is an arbitrary nonzero value; with zero, rapid picks a random seed.
const seed = "20261202"

func init() {
	if err := flag.Set("rapid.seed", seed); err != nil {
		panic("cannot set flag rapid.seed: " + err.Error())
	}
}
