// Package load makes open-loop load: requests are due at random moments that no answer can move, and their latency
// counts from then.
package load

import (
	"context"
	"math/rand/v2"
	"time"

	"amberlb/internal/lab/ctxtime"
)

// PoissonArrivals is a Poisson process of arrivals.
type PoissonArrivals struct {
	rng     *rand.Rand
	meanGap float64 // seconds
	elapsed float64 // seconds from the start to the last arrival
}

// NewPoisson makes a process of so many arrivals a second in the mean; perSecond is above 0.
func NewPoisson(rng *rand.Rand, perSecond float64) *PoissonArrivals {
	return &PoissonArrivals{rng: rng, meanGap: 1 / perSecond}
}

// Next is the time from the start to the next arrival.
func (a *PoissonArrivals) Next() time.Duration {
	a.elapsed += a.rng.ExpFloat64() * a.meanGap
	return time.Duration(a.elapsed * float64(time.Second))
}

// RunOpenLoop calls issue for each arrival that is due within duration from start, in order and on the caller's
// goroutine; n counts arrivals from 0. issue must not wait: it starts the request and has done called once, from any
// goroutine, when that is over. While maxInFlight requests are in flight, dropped is called instead. Both are called late
// where the process is late; due is when the request should have begun. RunOpenLoop returns once all requests are over,
// or when ctx ends.
func RunOpenLoop(
	ctx context.Context, arrivals *PoissonArrivals, start time.Time, duration time.Duration, maxInFlight int,
	issue func(due time.Time, n int, done func()), dropped func(due time.Time, n int),
) {
	inFlight := make(chan struct{}, maxInFlight)
	for n := 0; ; n++ {
		offset := arrivals.Next()
		if offset >= duration {
			break
		}
		due := start.Add(offset)
		if !sleepUntil(ctx, due) {
			return
		}
		select {
		case inFlight <- struct{}{}:
			issue(due, n, func() { <-inFlight })
		default:
			dropped(due, n)
		}
	}
	awaitAll(ctx, inFlight)
}

// sleepUntil waits until a time, not at all if it is past. It returns false if ctx ends before.
func sleepUntil(ctx context.Context, due time.Time) bool {
	wait := time.Until(due)
	if wait <= 0 {
		return ctx.Err() == nil
	}
	return ctxtime.Sleep(ctx, wait)
}

// awaitAll waits until no request is in flight, or ctx ends.
func awaitAll(ctx context.Context, inFlight chan<- struct{}) {
	for range cap(inFlight) { // the channel is full once each request has left its place
		select {
		case <-ctx.Done():
			return
		case inFlight <- struct{}{}:
		}
	}
}
