// Package oracle keeps a customer's quota exactly, as the protocol counts it: one token bucket for all gateways, which no
// gateway can see. What gateways admit and reject is compared with it.
package oracle

import (
	"sync"
	"time"
)

// TokenBucket is the quota of one customer. Its gateways share it: all methods may be called from any goroutine. Times
// count from the bucket's start; one that is before the last counts as the last.
type TokenBucket struct {
	rate  float64 // units a second; 0: there is no quota
	burst float64 // units

	mu        sync.Mutex
	tokens    float64 // units, at updatedAt
	updatedAt time.Duration
}

// New makes a bucket that is full and refills at rate units a second up to burst. A rate of 0 stands for no quota: every
// request is within it.
func New(rate, burst float64) *TokenBucket {
	return &TokenBucket{rate: rate, burst: burst, tokens: burst}
}

// refill brings the tokens up to now.
func (b *TokenBucket) refill(now time.Duration) {
	if now > b.updatedAt {
		b.tokens = min(b.tokens+b.rate*(now-b.updatedAt).Seconds(), b.burst)
		b.updatedAt = now
	}
}

// Take charges an attempt when it is first forwarded, and tells whether it was within the quota: if the bucket had its
// units, which it then takes. An attempt beyond the quota takes nothing.
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

// CanTake tells whether the bucket has the units, so that an attempt that is rejected now was within the quota.
func (b *TokenBucket) CanTake(now time.Duration, units float64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(now)
	return b.rate == 0 || b.tokens >= units
}

// HalfFull tells whether half of the burst or more is unused.
func (b *TokenBucket) HalfFull(now time.Duration) bool { return b.CanTake(now, b.burst/2) }
