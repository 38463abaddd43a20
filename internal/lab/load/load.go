// Package load generates open-loop load. Requests are due at random times that don't depend on the answers to earlier
// requests, and latency is measured from the due time.
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

// NewPoisson returns a Poisson process with a mean rate of perSecond arrivals a second. The rate must be above 0.
func NewPoisson(rng *rand.Rand, perSecond float64) *PoissonArrivals {
	return &PoissonArrivals{rng: rng, meanGap: 1 / perSecond}
}

// Next draws the next arrival and returns its time, counted from the start.
func (a *PoissonArrivals) Next() time.Duration {
	a.elapsed += a.rng.ExpFloat64() * a.meanGap
	return time.Duration(a.elapsed * float64(time.Second))
}

// RunOpenLoop calls issue for each arrival that is due between start and start + duration. It makes the calls in order
// and on the caller's goroutine. The function issue starts the request of the arrival and must not block. It has to
// ensure that done is called once, from any goroutine, when the request has ended. While maxInFlight requests are in
// flight, RunOpenLoop calls dropped instead of issue. The parameter n of both functions is the number of the arrival,
// counted from 0. The parameter due is the time at which the request should be sent. If the process is late, the call
// comes after due. RunOpenLoop returns when all requests have ended or ctx ends.
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

// sleepUntil waits until the time due. If that time is past, it does not wait. It returns false if ctx has ended.
func sleepUntil(ctx context.Context, due time.Time) bool {
	wait := time.Until(due)
	if wait <= 0 {
		return ctx.Err() == nil
	}
	return ctxtime.Sleep(ctx, wait)
}

// awaitAll waits until no request is in flight, or ctx ends. Each request in flight occupies one slot of the channel.
func awaitAll(ctx context.Context, inFlight chan<- struct{}) {
	for range cap(inFlight) { // occupies every slot, which is possible only when all requests have ended
		select {
		case <-ctx.Done():
			return
		case inFlight <- struct{}{}:
		}
	}
}
