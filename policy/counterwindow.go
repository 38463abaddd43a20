package policy

import "math"

// phase spreads the ends of windows over customers.
func (c *customer) phase() float64 { return float64(hash(uint64(c.id))%1024) / 1024 }

// counterWindow is the window of the counter that this gateway saw last.
type counterWindow struct {
	number    float64 // a whole number that grows with time; -1: none was entered yet
	name      uint64  // name of the window's total at the counter
	lastTotal float64 // units; the total as last seen, 0: not seen yet
}

// hash mixes a number; names of the counter must not collide.
func hash(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// enterWindow moves to the counter's present window of this customer, and tells the total at which its
// store is full. Windows of different customers end at different times, so that not all are asked for at
// once.
func (e *Engine) enterWindow(c *customer) (floor float64) {
	n := math.Floor(e.now/c.quota.window + c.phase())
	if n != c.window.number {
		if c.window.number, c.window.lastTotal = n, 0; !c.quota.reportedStore {
			c.unreportedUnits, c.exhaustedUntil = 0, 0
		}
		c.window.name = hash(hash(uint64(c.id)) + uint64(int64(n)))
	}
	if c.quota.refillsWithinWindow {
		floor = c.quota.rate * (e.now - (n-c.phase())*c.quota.window)
	}
	return floor
}
