package experiment

import (
	"math"
	"math/rand/v2"
	"slices"
)

// Interval is a 95 % bootstrap confidence interval of a mean or of a difference
// of means.
type Interval struct {
	Mean float64
	Low  float64
	High float64
	// Count is the number of runs; for a difference of unpaired groups, that of
	// the smaller group.
	Count int
}

// ExcludesZero reports whether the interval lies on one side of zero. An interval
// from a single run never does.
func (i Interval) ExcludesZero() bool {
	return i.Count > 1 && (i.Low > 0 || i.High < 0)
}

const (
	resamples       = 2000
	confidenceLevel = 0.95
	bootstrapSeed   = 1
)

// Group is one metric in one cell, aggregated over the seeds.
type Group struct {
	Cell
	Metric string
	Unit   string
	Mean   Interval
}

type groupKey struct {
	Cell
	metric string
}

// Groups aggregates the rows over their seeds, in the order of the rows.
func Groups(rows []Row) []Group {
	keys, bySeed := groupBySeed(rows)
	groups := make([]Group, 0, len(keys))
	for _, key := range keys {
		entry := bySeed[key]
		groups = append(groups, Group{
			Cell: key.Cell, Metric: key.metric, Unit: entry.unit, Mean: bootstrapMean(entry.values()),
		})
	}
	return groups
}

// seedValues are the values of one group by seed.
type seedValues struct {
	unit   string
	seeds  []uint64
	bySeed map[uint64]float64
}

func (s seedValues) values() []float64 {
	values := make([]float64, 0, len(s.seeds))
	for _, seed := range s.seeds {
		values = append(values, s.bySeed[seed])
	}
	return values
}

func groupBySeed(rows []Row) ([]groupKey, map[groupKey]*seedValues) {
	var keys []groupKey
	groups := make(map[groupKey]*seedValues)
	for _, row := range rows {
		key := groupKey{Cell: row.Cell, metric: row.Metric}
		if groups[key] == nil {
			keys = append(keys, key)
			groups[key] = &seedValues{unit: row.Unit, bySeed: make(map[uint64]float64)}
		}
		if _, known := groups[key].bySeed[row.Seed]; !known {
			groups[key].seeds = append(groups[key].seeds, row.Seed)
		}
		groups[key].bySeed[row.Seed] = row.Value
	}
	return keys, groups
}

// Difference compares one metric in one cell between two experiments.
type Difference struct {
	Cell
	Metric string
	Unit   string
	Old    float64
	New    float64
	// Change is the interval of new minus old. If both have the same seeds, it is
	// computed from the differences for each seed.
	Change Interval
	Paired bool
}

// Compare returns the differences of all groups that are in both experiments, in
// the order of the newer rows.
func Compare(older, newer []Row) []Difference {
	_, before := groupBySeed(older)
	keys, after := groupBySeed(newer)
	var differences []Difference
	for _, key := range keys {
		old, found := before[key]
		if !found {
			continue
		}
		current := after[key]
		difference := Difference{
			Cell: key.Cell, Metric: key.metric, Unit: current.unit,
			Old: mean(old.values()), New: mean(current.values()),
		}
		if changes, paired := pairedChanges(old, current); paired {
			difference.Paired = true
			difference.Change = bootstrapMean(changes)
		} else {
			difference.Change = bootstrapDifference(old.values(), current.values())
		}
		differences = append(differences, difference)
	}
	return differences
}

// pairedChanges returns new minus old for each seed; false if the seeds differ.
func pairedChanges(old, current *seedValues) ([]float64, bool) {
	if len(old.seeds) != len(current.seeds) {
		return nil, false
	}
	changes := make([]float64, 0, len(old.seeds))
	for _, seed := range current.seeds {
		before, found := old.bySeed[seed]
		if !found {
			return nil, false
		}
		changes = append(changes, current.bySeed[seed]-before)
	}
	return changes, true
}

// bootstrapMean returns the percentile interval of the mean.
func bootstrapMean(values []float64) Interval {
	random := rand.New(rand.NewPCG(bootstrapSeed, uint64(len(values))))
	return percentileInterval(mean(values), len(values), func() float64 { return resampledMean(random, values) })
}

// bootstrapDifference returns the percentile interval of the difference of means,
// with both groups resampled independently.
func bootstrapDifference(old, current []float64) Interval {
	random := rand.New(rand.NewPCG(bootstrapSeed, uint64(len(old)+len(current))))
	return percentileInterval(mean(current)-mean(old), min(len(old), len(current)), func() float64 {
		return resampledMean(random, current) - resampledMean(random, old)
	})
}

func percentileInterval(center float64, count int, resample func() float64) Interval {
	if count == 0 {
		return Interval{Mean: math.NaN(), Low: math.NaN(), High: math.NaN()}
	}
	means := make([]float64, resamples)
	for index := range means {
		means[index] = resample()
	}
	slices.Sort(means)
	tail := (1 - confidenceLevel) / 2
	return Interval{
		Mean: center, Count: count,
		Low: Quantile(means, tail), High: Quantile(means, 1-tail),
	}
}

func resampledMean(random *rand.Rand, values []float64) float64 {
	sum := 0.0
	for range values {
		sum += values[random.IntN(len(values))]
	}
	return sum / float64(len(values))
}
