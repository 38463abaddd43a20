package policy

// tokenBucket holds the units that a gateway may let a customer spend without the counter.
type tokenBucket struct {
	tokens    float64 // units, as of updatedAt
	updatedAt float64
	fallback  float64 // units that are added once a call to the counter has had no answer
}

// takeLocalTokens spends from the customer's share at this gateway.
func (c *customer) takeLocalTokens(now, units float64) bool {
	c.local.tokens = min(c.local.tokens+c.quota.localRate*(now-c.local.updatedAt), c.quota.localBurst)
	if c.local.updatedAt = now; c.local.tokens < units {
		return false
	}
	c.local.tokens -= units
	return true
}
