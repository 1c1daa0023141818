package world

import "testing"

// BenchmarkRun runs one seed of the default fleet.
func BenchmarkRun(b *testing.B) {
	for index := range b.N {
		Run(DefaultConfig(), uint64(index), nil, nil)
	}
}
