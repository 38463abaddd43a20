// Package load makes open-loop load: requests fall due at random moments that no answer can move, and their
// latency counts from then.
package load

import (
	"context"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// TenantDistribution spreads requests over tenants, the first with the most.
type TenantDistribution struct{ cumulative []float64 } // shares of the tenants up to each one, itself among them

// NewTenantDistribution shares requests among n tenants by a Zipf law: the i-th, from 1, has i^-s of the first one's. An
// exponent s of 0 is even.
func NewTenantDistribution(n int, exponent float64) *TenantDistribution {
	t := &TenantDistribution{cumulative: make([]float64, n)}
	sum := 0.0
	for i := range t.cumulative {
		sum += math.Pow(float64(i+1), -exponent)
		t.cumulative[i] = sum
	}
	for i := range t.cumulative {
		t.cumulative[i] /= sum
	}
	return t
}

// Sample draws a tenant, from 0.
func (t *TenantDistribution) Sample(rng *rand.Rand) int {
	i, _ := slices.BinarySearch(t.cumulative, rng.Float64())
	return min(i, len(t.cumulative)-1)
}

// PoissonArrivals is a Poisson stream.
type PoissonArrivals struct {
	rng     *rand.Rand
	meanGap float64 // gap in seconds
	elapsed float64 // seconds since the start
}

// NewPoisson makes a stream of so many arrivals a second in the mean; perSecond is above 0.
func NewPoisson(rng *rand.Rand, perSecond float64) *PoissonArrivals {
	return &PoissonArrivals{rng: rng, meanGap: 1 / perSecond}
}

// Next is when the next arrival falls due, since the start.
func (a *PoissonArrivals) Next() time.Duration {
	a.elapsed += a.rng.ExpFloat64() * a.meanGap
	return time.Duration(a.elapsed * float64(time.Second))
}

// RunOpenLoop calls do for each arrival that falls due within length from start, in order and on the caller's
// goroutine; n counts them from 0. do must not wait: it starts the request and has done called once, from any
// goroutine, when that is over. While most requests are out, do is not called for further ones but dropped is.
// Drive comes late where the process is; due is when the request should have begun. It returns once all requests
// are over, or when ctx ends.
func RunOpenLoop(ctx context.Context, arrivals *PoissonArrivals, start time.Time, duration time.Duration, maxInFlight int,
	issue func(due time.Time, n int, done func()), dropped func(due time.Time, n int)) {
	inFlight := make(chan struct{}, maxInFlight)
	timer := time.NewTimer(0)
	defer timer.Stop()
	for n := 0; ; n++ {
		offset := arrivals.Next()
		if offset >= duration {
			break
		}
		due := start.Add(offset)
		if wait := time.Until(due); wait > 0 {
			timer.Reset(wait)
			select {
			case <-ctx.Done():
				return
			case <-timer.C:
			}
		} else if ctx.Err() != nil {
			return
		}
		select {
		case inFlight <- struct{}{}:
			issue(due, n, func() { <-inFlight })
		default:
			dropped(due, n)
		}
	}
	for range maxInFlight { // one place for each that is still out
		select {
		case <-ctx.Done():
			return
		case inFlight <- struct{}{}:
		}
	}
}

// LatencyHistogram is a histogram of times, exact to 1 in 100 from 1 µs to an hour. The zero value is empty; all methods
// may be called from any goroutine.
type LatencyHistogram struct {
	mu        sync.Mutex
	histogram *hdrhistogram.Histogram
}

const maxLatency = time.Hour

// Record adds a time. One that is out of range counts as the end of the range.
func (l *LatencyHistogram) Record(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.histogram == nil {
		l.histogram = hdrhistogram.New(1, maxLatency.Microseconds(), 2)
	}
	l.histogram.RecordValue(min(max(d, time.Microsecond), maxLatency).Microseconds()) // never out of range
}

// Quantiles are times in the unit that was asked for.
type Quantiles struct {
	Count                    int64
	P50, P90, P99, P999, Max float64
}

// Quantiles tells the quantiles of what was recorded, as multiples of unit; all are 0 where nothing was.
func (l *LatencyHistogram) Quantiles(unit time.Duration) Quantiles {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.histogram == nil {
		return Quantiles{}
	}
	quantile := func(percent float64) float64 {
		return float64(l.histogram.ValueAtPercentile(percent)) * float64(time.Microsecond) / float64(unit)
	}
	return Quantiles{Count: l.histogram.TotalCount(), P50: quantile(50), P90: quantile(90), P99: quantile(99), P999: quantile(99.9), Max: quantile(100)}
}
