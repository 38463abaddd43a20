package policy

// tokenBucket holds the units of a customer's quota that this gateway may spend without the counter: its own
// part of the quota. quotaParameters has the rate and the burst. The zero value is an empty bucket.
type tokenBucket struct {
	tokens    float64 // units, as of updatedAt; below 0: spent ahead
	updatedAt float64
	fallback  float64 // units withheld until a call to the counter has had no answer
}

// refill adds what came in since the last refill, as far as the burst has capacity for it.
func (b *tokenBucket) refill(now, rate, burst float64) {
	b.tokens = min(b.tokens+rate*(now-b.updatedAt), burst)
	b.updatedAt = now
}

// take spends units and reports whether the bucket had as many.
func (b *tokenBucket) take(units float64) bool {
	if b.tokens < units {
		return false
	}
	b.tokens -= units
	return true
}

// add returns units that were taken, as far as the burst has capacity for them.
func (b *tokenBucket) add(units, burst float64) { b.tokens = min(b.tokens+units, burst) }

// releaseFallback adds the units that were withheld.
func (b *tokenBucket) releaseFallback() {
	b.tokens += b.fallback
	b.fallback = 0
}

// takeLocalTokens spends units of this gateway's own part of the quota and reports whether it had as many.
func (c *customer) takeLocalTokens(now, units float64) bool {
	c.local.refill(now, c.quota.localRate, c.quota.localBurst)
	return c.local.take(units)
}

// chargeLocalTokens takes units that a lease has paid for out of the local tokens as well, down to a burst
// below 0. With a counter that answers only now and then, leases and local tokens together would otherwise
// exceed the quota.
func (c *customer) chargeLocalTokens(now, units float64) {
	c.local.refill(now, c.quota.localRate, c.quota.localBurst)
	c.local.tokens = max(c.local.tokens-units, -c.quota.localBurst)
}
