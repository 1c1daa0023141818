package sim

import (
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Streams splits one seed into named random streams. Each name has its own
// generator, so that one more draw in one place does not shift the others.
type Streams struct {
	seed    uint64
	streams map[string]*rand.Rand
}

// NewStreams returns the streams of a seed.
func NewStreams(seed uint64) *Streams {
	return &Streams{seed: seed, streams: make(map[string]*rand.Rand)}
}

// Seed is the seed of the run.
func (s *Streams) Seed() uint64 {
	return s.seed
}

// Stream returns the generator of a name; the same name gives the same one.
func (s *Streams) Stream(name string) *rand.Rand {
	if known, found := s.streams[name]; found {
		return known
	}
	created := rand.New(s.Source(name))
	s.streams[name] = created
	return created
}

// Source returns a new source for a name, for a core that keeps its own. It
// starts where the stream of that name starts.
func (s *Streams) Source(name string) *rand.PCG {
	return rand.NewPCG(s.seed, xxhash.Sum64String(name))
}

// Between draws a duration from [least, most].
func Between(stream *rand.Rand, least, most time.Duration) time.Duration {
	if most <= least {
		return least
	}
	return least + time.Duration(stream.Int64N(int64(most-least)+1))
}

// Chance draws true with the probability.
func Chance(stream *rand.Rand, probability float64) bool {
	return probability > 0 && stream.Float64() < probability
}
