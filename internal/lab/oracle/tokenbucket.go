// Package oracle tracks the quota of a customer exactly, as the protocol defines it: with one token bucket for all
// gateways. The gateways don't know the bucket. The lab compares their decisions with it.
package oracle

import (
	"sync"
	"time"
)

// TokenBucket is the quota of one customer. Its methods are safe for concurrent use, since all gateways share the bucket.
// Times are durations since the bucket's start. A time before that of an earlier call counts as the latter.
type TokenBucket struct {
	rate  float64 // units a second; 0: there is no quota
	burst float64 // units

	mu        sync.Mutex
	tokens    float64 // units in the bucket at updatedAt
	updatedAt time.Duration
}

// New returns a full bucket of burst units that refills at rate units a second. With a rate of 0 there is no quota: every
// request is within it.
func New(rate, burst float64) *TokenBucket {
	return &TokenBucket{rate: rate, burst: burst, tokens: burst}
}

// refill adds the tokens for the time since the last refill.
func (b *TokenBucket) refill(now time.Duration) {
	if now > b.updatedAt {
		b.tokens = min(b.tokens+b.rate*(now-b.updatedAt).Seconds(), b.burst)
		b.updatedAt = now
	}
}

// Take charges an attempt when it is first forwarded, and reports whether it was within the quota. If the bucket has the
// units, Take removes them; otherwise the attempt is beyond the quota, and the bucket is unchanged.
func (b *TokenBucket) Take(now time.Duration, units float64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(now)
	if b.rate == 0 {
		return true
	}
	if b.tokens < units {
		return false
	}
	b.tokens -= units
	return true
}

// CanTake reports whether the bucket has the units. If it has, an attempt that is rejected now was within the quota.
func (b *TokenBucket) CanTake(now time.Duration, units float64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(now)
	return b.rate == 0 || b.tokens >= units
}

// HalfFull reports whether half of the burst or more is unused.
func (b *TokenBucket) HalfFull(now time.Duration) bool { return b.CanTake(now, b.burst/2) }
