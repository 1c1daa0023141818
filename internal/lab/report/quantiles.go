package report

import (
	"fmt"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Bounds of the histograms in microseconds, and their precision in digits.
const (
	lowestMicroseconds  = 1
	highestMicroseconds = int64(10 * time.Minute / time.Microsecond)
	significantDigits   = 3
)

// Quantiles summarizes a distribution of durations, in milliseconds.
type Quantiles struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50Millis"`
	P90   float64 `json:"p90Millis"`
	P99   float64 `json:"p99Millis"`
	Max   float64 `json:"maxMillis"`
}

// newHistogram returns an empty histogram of durations.
func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(lowestMicroseconds, highestMicroseconds, significantDigits)
}

// record adds a duration, clamped to the bounds.
func record(histogram *hdrhistogram.Histogram, value time.Duration) {
	microseconds := min(max(value.Microseconds(), lowestMicroseconds), highestMicroseconds)
	// The value is within the bounds, so RecordValue can't fail.
	_ = histogram.RecordValue(microseconds)
}

// computeQuantiles returns the quantiles of a histogram.
func computeQuantiles(histogram *hdrhistogram.Histogram) Quantiles {
	millis := func(microseconds int64) float64 { return float64(microseconds) / 1000 }
	return Quantiles{
		Count: histogram.TotalCount(),
		P50:   millis(histogram.ValueAtQuantile(50)),
		P90:   millis(histogram.ValueAtQuantile(90)),
		P99:   millis(histogram.ValueAtQuantile(99)),
		Max:   millis(histogram.Max()),
	}
}

// String formats the quantiles in one line.
func (q Quantiles) String() string {
	if q.Count == 0 {
		return "none"
	}
	return fmt.Sprintf("p50 %.1f ms, p90 %.1f ms, p99 %.1f ms, most %.1f ms (%d)", q.P50, q.P90, q.P99, q.Max, q.Count)
}
