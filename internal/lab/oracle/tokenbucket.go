// Package oracle keeps a customer's quota exactly, as the rules count it: one store for all gateways, which no
// real gateway can see. What gateways let in and refuse is held against it.
package oracle

import (
	"sync"
	"time"
)

// TokenBucket is the quota's store of one customer. Its gateways share it: all methods may be called from any
// goroutine. Times count from the store's start; one that lies before the last passes for the last.
type TokenBucket struct {
	rate, burst float64 // units a second, units

	mu        sync.Mutex
	tokens    float64
	updatedAt time.Duration
}

// New makes a store that is full and refills at rate units a second up to burst. A rate of 0 stands for no quota:
// every send is inside, and there always is room.
func New(rate, burst float64) *TokenBucket {
	return &TokenBucket{rate: rate, burst: burst, tokens: burst}
}

// refill brings the store up to now.
func (b *TokenBucket) refill(now time.Duration) {
	if now > b.updatedAt {
		b.tokens = min(b.tokens+b.rate*(now-b.updatedAt).Seconds(), b.burst)
		b.updatedAt = now
	}
}

// Take notes that a try was first sent on, and tells whether it was inside the quota: if the store had its units,
// which it then takes. A send beyond the quota takes nothing.
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

// CanTake tells whether the store has the units, so that a refusal now is one inside the quota.
func (b *TokenBucket) CanTake(now time.Duration, units float64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(now)
	return b.rate == 0 || b.tokens >= units
}

// HalfFull tells whether half of the burst or more is unused.
func (b *TokenBucket) HalfFull(now time.Duration) bool { return b.CanTake(now, b.burst/2) }
