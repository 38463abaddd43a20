package load

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Range of a LatencyHistogram.
const (
	minLatency = time.Microsecond
	maxLatency = time.Hour
)

// significantDigits is the number of significant decimal digits that a LatencyHistogram keeps.
const significantDigits = 2

// LatencyHistogram is a histogram of durations from 1 µs to an hour, with an error of at most 1 in 100. The zero value is
// an empty histogram. Its methods are safe for concurrent use.
type LatencyHistogram struct {
	mu        sync.Mutex
	histogram *hdrhistogram.Histogram // nil until the first call of Record
}

// Record adds a duration. A duration out of range is recorded as minLatency or maxLatency.
func (l *LatencyHistogram) Record(latency time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.histogram == nil {
		l.histogram = hdrhistogram.New(minLatency.Microseconds(), maxLatency.Microseconds(), significantDigits)
	}
	inRange := min(max(latency, minLatency), maxLatency)
	l.histogram.RecordValue(inRange.Microseconds()) // never fails, since inRange is within the bounds of the histogram
}

// Quantiles holds quantiles of recorded durations, in the unit passed to LatencyHistogram.Quantiles. Processes of the
// lab exchange Quantiles as JSON. The field names are the JSON keys and must not change.
type Quantiles struct {
	Count int64 // number of durations
	P50   float64
	P90   float64
	P99   float64
	P999  float64
	Max   float64
}

// Quantiles returns the quantiles of the recorded durations, as multiples of unit. If nothing was recorded, all are 0.
func (l *LatencyHistogram) Quantiles(unit time.Duration) Quantiles {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.histogram == nil {
		return Quantiles{}
	}
	quantile := func(percent float64) float64 {
		return float64(l.histogram.ValueAtPercentile(percent)) * float64(time.Microsecond) / float64(unit)
	}
	return Quantiles{
		Count: l.histogram.TotalCount(),
		P50:   quantile(50),
		P90:   quantile(90),
		P99:   quantile(99),
		P999:  quantile(99.9),
		Max:   quantile(100),
	}
}
