package gateway

import (
	"math"
	"sync"
	"time"
)

// Parameters of idleLimitEstimator.
const (
	minBucketIdleTime = 25 * time.Millisecond // beginning of the first bucket; shorter idle times are always allowed
	idleBucketCount   = 10                    // number of buckets; each begins at twice the start of the previous one
	minBreaks         = 3.0                   // minimum number of breaks, after decay, for a bucket to set the limit
	minBreakShare     = 1.0 / 3               // minimum share of reuses with a break for a bucket to set the limit
	idleDecayTime     = 20 * time.Second      // time in which the weight of an observation falls to 1/e
)

// idleLimitEstimator estimates how long a connection may be idle and still be reused. A middlebox may drop idle
// connections silently, or the peer may close them far sooner than agreed. A request on such a connection ends in a
// reset, which does not show whether the request was executed. An attempt that ended in a reset may have been executed,
// and makes its backend look like an outlier, which is a backend that fails more often than the other backends. A
// counter call that ended in a reset may have added its units to the total.
//
// Some peers break connections at random, regardless of the idle time. The estimator therefore uses, for each range of
// idle times, the share of reuses in which the connection broke. In a range with few reuses, this share may be high by
// chance. New connections then replace idle ones without need, until the observations have lost their weight.
//
// The zero value has no observations and is ready to use. The methods are safe for concurrent use.
type idleLimitEstimator struct {
	mu        sync.Mutex
	buckets   [idleBucketCount]idleBucket
	decayedAt time.Time // when the weights of the observations were last updated
}

// idleBucket counts the reuses of connections in one range of idle times, by whether the connection broke. The counts
// decay over time. The range of a bucket ends where the next bucket begins; the last bucket has no upper end.
type idleBucket struct {
	worked float64
	broke  float64
}

// observe records whether a connection broke when it was reused after being idle for idleFor. Idle times below
// minBucketIdleTime are ignored.
func (e *idleLimitEstimator) observe(now time.Time, idleFor time.Duration, broke bool) {
	if idleFor < minBucketIdleTime {
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

// idleBucketIndex returns the index of the bucket for an idle time of at least minBucketIdleTime.
func idleBucketIndex(idleFor time.Duration) int {
	return min(int(math.Log2(float64(idleFor)/float64(minBucketIdleTime))), idleBucketCount-1)
}

// limit returns the idle time at which a connection must no longer be reused; math.MaxInt64 if there is no limit. The
// limit is the beginning of the first bucket that reaches both minBreaks and minBreakShare.
func (e *idleLimitEstimator) limit(now time.Time) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.decay(now)
	for i, bucket := range e.buckets {
		if bucket.broke >= minBreaks && bucket.broke >= minBreakShare*(bucket.worked+bucket.broke) {
			return minBucketIdleTime << i
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
