package gateway

import (
	"math"
	"sync"
	"time"
)

const (
	minIdleBucket = 25 * time.Millisecond // a rest so short is always trusted
	idleBuckets   = 10                    // lengths of rest that are told apart, each twice the one before
	minBreaks     = 3.0                   // so many breaks, at least, make a length suspect
	minBreakShare = 1.0 / 3               // and this share of its uses
	idleDecayTime = 20 * time.Second      // over which what was learnt fades
)

// idleLimitEstimator learns how long a connection may rest and still be used. Danger:
// something on the way may forget idle connections and say nothing, or the peer
// may close them far sooner than agreed. What is written to one ends as a reset
// that proves nothing: an attempt is in doubt, its backend looks sick, and a call of
// the counter may have been added. Peers that break at random look alike at any
// age, so a length is judged by the share of its uses. It could hurt where few
// uses happen to break: then new connections are made for a while instead.
type idleLimitEstimator struct {
	mu        sync.Mutex
	buckets   [idleBuckets]struct{ held, broken float64 }
	decayedAt time.Time // up to when what was learnt has faded
}

// observe tells what came of using a connection after a rest.
func (t *idleLimitEstimator) observe(now time.Time, idleFor time.Duration, broke bool) {
	if idleFor < minIdleBucket {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.decay(now)
	bucket := &t.buckets[min(int(math.Log2(float64(idleFor)/float64(minIdleBucket))), idleBuckets-1)]
	if broke {
		bucket.broken++
	} else {
		bucket.held++
	}
}

// limit is the rest from which on connections are not to be used.
func (t *idleLimitEstimator) limit(now time.Time) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.decay(now)
	for i, bucket := range t.buckets {
		if bucket.broken >= minBreaks && bucket.broken >= minBreakShare*(bucket.held+bucket.broken) {
			return minIdleBucket << i
		}
	}
	return math.MaxInt64
}

func (t *idleLimitEstimator) decay(now time.Time) {
	factor := math.Exp(-float64(max(now.Sub(t.decayedAt), 0)) / float64(idleDecayTime))
	t.decayedAt = now
	for i := range t.buckets {
		t.buckets[i].held *= factor
		t.buckets[i].broken *= factor
	}
}
