package policy

// tokenBucket holds the local tokens of a customer: the units of its quota that this gateway may spend
// without a lease. Its rate and burst are in quotaParameters. The zero value is an empty bucket.
type tokenBucket struct {
	tokens    float64 // units in the bucket at the time updatedAt; below 0: debt
	updatedAt float64
	fallback  float64 // units withheld until a call to the counter gets no reply
}

// refill adds the tokens earned since the last refill. The bucket then holds at most burst units.
func (b *tokenBucket) refill(now, rate, burst float64) {
	b.tokens = min(b.tokens+rate*(now-b.updatedAt), burst)
	b.updatedAt = now
}

// take spends the given units if the bucket holds at least as many, and reports whether it did.
func (b *tokenBucket) take(units float64) bool {
	if b.tokens < units {
		return false
	}
	b.tokens -= units
	return true
}

// add adds units. The bucket then holds at most burst units.
func (b *tokenBucket) add(units, burst float64) { b.tokens = min(b.tokens+units, burst) }

// releaseFallback makes the withheld units available.
func (b *tokenBucket) releaseFallback() {
	b.tokens += b.fallback
	b.fallback = 0
}

// takeLocalTokens spends the given units if there are at least as many local tokens, and reports whether it
// did.
func (c *customer) takeLocalTokens(now, units float64) bool {
	c.localTokens.refill(now, c.quota.localRate, c.quota.localBurst)
	return c.localTokens.take(units)
}

// chargeLocalTokens subtracts units that were spent from a lease from the local tokens too, down to a debt of
// localBurst. Otherwise leases and local tokens together would exceed the quota when the counter replies only
// intermittently.
func (c *customer) chargeLocalTokens(now, units float64) {
	c.localTokens.refill(now, c.quota.localRate, c.quota.localBurst)
	c.localTokens.tokens = max(c.localTokens.tokens-units, -c.quota.localBurst)
}
