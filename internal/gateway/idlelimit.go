package gateway

import (
	"math"
	"sync"
	"time"
)

// How the idle limit is estimated.
const (
	minIdleBucket = 25 * time.Millisecond // a connection that was idle for less is always reused
	idleBuckets   = 10                    // ranges of idle times, each twice as long as the one before
	minBreaks     = 3.0                   // broken reuses, at least, that make a range suspect
	minBreakShare = 1.0 / 3               // and their share of its reuses, at least
	idleDecayTime = 20 * time.Second      // in which the weight of an observation falls to 1/e
)

// idleLimitEstimator learns how long a connection may be idle and still be reused. Something on the way may forget idle
// connections without notice, or the peer may close them far sooner than agreed. What is written to one ends as a reset
// that proves nothing: an attempt may have executed, its backend looks like an outlier, and a counter call may have been
// added. Peers that break at random do so at any idle time, so a range is judged by the share of its reuses that broke.
// The risk is a range with few reuses that happen to break: then new connections are made for a while instead.
//
// The zero value has observed nothing. Its methods may be called from many goroutines.
type idleLimitEstimator struct {
	mu        sync.Mutex
	buckets   [idleBuckets]idleBucket
	decayedAt time.Time // up to when the observations have decayed
}

// idleBucket counts the reuses of connections within one range of idle times, with decay.
type idleBucket struct {
	worked float64
	broke  float64
}

// observe records what came of reusing a connection that was idle for idleFor.
func (e *idleLimitEstimator) observe(now time.Time, idleFor time.Duration, broke bool) {
	if idleFor < minIdleBucket {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.decay(now)
	bucket := &e.buckets[idleBucketIndex(idleFor)]
	if broke {
		bucket.broke++
	} else {
		bucket.worked++
	}
}

// idleBucketIndex returns the bucket of an idle time of minIdleBucket at least.
func idleBucketIndex(idleFor time.Duration) int {
	return min(int(math.Log2(float64(idleFor)/float64(minIdleBucket))), idleBuckets-1)
}

// limit returns the idle time from which on connections are not to be reused; the longest duration if there is none.
func (e *idleLimitEstimator) limit(now time.Time) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.decay(now)
	for i, bucket := range e.buckets {
		if bucket.broke >= minBreaks && bucket.broke >= minBreakShare*(bucket.worked+bucket.broke) {
			return minIdleBucket << i
		}
	}
	return math.MaxInt64
}

// decay lowers the weight of all observations to what it is at now.
func (e *idleLimitEstimator) decay(now time.Time) {
	factor := math.Exp(-float64(max(now.Sub(e.decayedAt), 0)) / float64(idleDecayTime))
	e.decayedAt = now
	for i := range e.buckets {
		e.buckets[i].worked *= factor
		e.buckets[i].broke *= factor
	}
}
