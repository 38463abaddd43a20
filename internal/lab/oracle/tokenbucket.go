// Package oracle tracks the quota of a customer exactly, as the protocol defines the quota: with one token bucket for
// all gateways. The gateways have no access to this bucket. The lab compares the gateways' decisions with the bucket.
package oracle

import (
	"sync"
	"time"
)

// TokenBucket is the quota of one customer. Its methods are safe for concurrent use, since all gateways share the bucket.
// The bucket is full at the start of the load. The parameter now of a method is the time since that start. If now is
// earlier than in a previous call, the method uses the latest time of the previous calls instead.
type TokenBucket struct {
	rate  float64 // units a second; 0: there is no quota
	burst float64 // units

	mu        sync.Mutex
	tokens    float64 // units in the bucket at updatedAt
	updatedAt time.Duration
}

// New returns a full bucket of burst units that refills at rate units a second. With a rate of 0, there is no quota,
// and Take, CanTake and HalfFull always return true.
func New(rate, burst float64) *TokenBucket {
	return &TokenBucket{rate: rate, burst: burst, tokens: burst}
}

// refill adds the units for the time from updatedAt to now.
func (b *TokenBucket) refill(now time.Duration) {
	if now > b.updatedAt {
		b.tokens = min(b.tokens+b.rate*(now-b.updatedAt).Seconds(), b.burst)
		b.updatedAt = now
	}
}

// Take charges an attempt to the quota, and reports whether the attempt is within the quota. It is called when the
// attempt is first forwarded to a backend. The parameter units is the cost of the attempt. If the bucket holds at least
// that many units, Take removes them. Otherwise, the attempt is over quota, and Take removes no units.
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

// CanTake reports whether the bucket holds at least the given number of units. If CanTake returns true for a rejected
// attempt, the attempt was within the quota when it was rejected.
func (b *TokenBucket) CanTake(now time.Duration, units float64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(now)
	return b.rate == 0 || b.tokens >= units
}

// HalfFull reports whether the bucket holds half of the burst or more. It returns true if there is no quota.
func (b *TokenBucket) HalfFull(now time.Duration) bool { return b.CanTake(now, b.burst/2) }
