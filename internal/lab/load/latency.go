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

// significantDigits is the precision of a LatencyHistogram.
const significantDigits = 2

// LatencyHistogram is a histogram of times, exact to 1 in 100 from 1 µs to an hour. The zero value is empty; all methods
// may be called from any goroutine.
type LatencyHistogram struct {
	mu        sync.Mutex
	histogram *hdrhistogram.Histogram // nil: nothing was recorded
}

// Record adds a time. One that is out of range counts as the end of the range.
func (l *LatencyHistogram) Record(latency time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.histogram == nil {
		l.histogram = hdrhistogram.New(minLatency.Microseconds(), maxLatency.Microseconds(), significantDigits)
	}
	inRange := min(max(latency, minLatency), maxLatency)
	l.histogram.RecordValue(inRange.Microseconds()) // the error is that of a value out of range
}

// Quantiles are quantiles of times, in the unit that was asked for. The names of its fields are their keys in JSON.
type Quantiles struct {
	Count int64 // number of times
	P50   float64
	P90   float64
	P99   float64
	P999  float64
	Max   float64
}

// Quantiles returns the quantiles of what was recorded, as multiples of unit. All are 0 where nothing was.
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
