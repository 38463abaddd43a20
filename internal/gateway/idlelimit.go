package gateway

import (
	"math"
	"sync"
	"time"
)

// Parameters of idleLimitEstimator.
const (
	minIdleBucket   = 25 * time.Millisecond // a connection that was idle for less is always reused
	idleBucketCount = 10                    // ranges of idle times, each twice as long as the one before
	minBreaks       = 3.0                   // minimum number of broken reuses for a range to be avoided
	minBreakShare   = 1.0 / 3               // minimum share of broken reuses in the range for the same
	idleDecayTime   = 20 * time.Second      // time in which the weight of an observation falls to 1/e
)

// idleLimitEstimator estimates how long a connection may be idle and still be reused. A middlebox may drop idle
// connections silently, or the peer may close them far sooner than agreed. A request on such a connection ends in a
// reset, from which the gateway learns nothing: an attempt may have been executed and makes its backend look like an
// outlier, and a counter call may have been added to the total.
//
// Peers that break connections at random do so at any idle time. So each range of idle times is judged by the share
// of its reuses that broke. A range with few reuses may be misjudged by chance; then new connections are made for a
// while instead.
//
// The zero value has no observations and is ready to use. The methods are safe for concurrent use.
type idleLimitEstimator struct {
	mu        sync.Mutex
	buckets   [idleBucketCount]idleBucket
	decayedAt time.Time // when the weights of the observations were last updated
}

// idleBucket counts the reuses of connections in one range of idle times. The counts decay.
type idleBucket struct {
	worked float64
	broke  float64
}

// observe records whether a connection broke when it was reused after being idle for idleFor.
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

// idleBucketIndex returns the index of the bucket for an idle time of at least minIdleBucket.
func idleBucketIndex(idleFor time.Duration) int {
	return min(int(math.Log2(float64(idleFor)/float64(minIdleBucket))), idleBucketCount-1)
}

// limit returns the idle time from which connections must not be reused; the longest duration if there is no limit.
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

// decay reduces the weights of all observations for the time that has passed since the last decay.
func (e *idleLimitEstimator) decay(now time.Time) {
	factor := math.Exp(-float64(max(now.Sub(e.decayedAt), 0)) / float64(idleDecayTime))
	e.decayedAt = now
	for i := range e.buckets {
		e.buckets[i].worked *= factor
		e.buckets[i].broke *= factor
	}
}
