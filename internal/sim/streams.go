package sim

import (
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Streams derives named random streams from one seed. Each name has its own
// generator, so that an additional draw from one does not change the others.
type Streams struct {
	seed    uint64
	streams map[string]*rand.Rand
}

// NewStreams returns the streams of a seed.
func NewStreams(seed uint64) *Streams {
	return &Streams{seed: seed, streams: make(map[string]*rand.Rand)}
}

// Seed returns the seed of the run.
func (s *Streams) Seed() uint64 {
	return s.seed
}

// Stream returns the generator of a name, always the same one for that name.
func (s *Streams) Stream(name string) *rand.Rand {
	if known, found := s.streams[name]; found {
		return known
	}
	created := rand.New(s.Source(name))
	s.streams[name] = created
	return created
}

// Source returns a new source for a name, for a core that owns its source. It
// starts in the same state as the stream of that name.
func (s *Streams) Source(name string) *rand.PCG {
	return rand.NewPCG(s.seed, xxhash.Sum64String(name))
}

// Between draws a duration uniformly from [least, most].
func Between(stream *rand.Rand, least, most time.Duration) time.Duration {
	if most <= least {
		return least
	}
	return least + time.Duration(stream.Int64N(int64(most-least)+1))
}

// Chance returns true with the given probability.
func Chance(stream *rand.Rand, probability float64) bool {
	return probability > 0 && stream.Float64() < probability
}
