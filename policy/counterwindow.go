package policy

import "math"

// counterWindow is the window of a customer's quota that this gateway entered last.
//
// The counter keeps a total of units for each window, under a separate name. The total holds all units that
// the gateways have charged since the window began: units spent, units leased, and overflow. The refill is
// the number of units that the shared bucket has earned since the window began; it is 0 in a fixed window.
//
// Under upfront leasing, the balance of the shared bucket is burst + refill - total. The bucket is thus full
// if the total is equal to the refill. Under deferred reporting, the balance is burstTolerance + refill -
// total, but at most burst.
//
// Overflow is refill that arrives while the bucket is full. A token bucket discards the overflow. Here the
// gateways add the overflow to the total, so that the total does not fall behind the refill.
//
// lastTotal is the total after the last reply that this gateway applied in the window, as corrected by this
// gateway.
type counterWindow struct {
	number    float64 // a whole number that grows from window to window; -1: no window was entered yet
	name      uint64  // name of the window's total at the counter
	lastTotal float64 // units; the total after the last applied reply; 0: no reply was applied yet
}

// enterWindow enters the present window. When a new window begins under upfront leasing, it drops the
// unreported units and resets exhaustedUntil, since both belong to the window before.
func (c *customer) enterWindow(now float64) {
	number := math.Floor(now/c.quota.windowDuration + c.windowPhase())
	if number == c.window.number {
		return
	}
	c.window.number = number
	c.window.name = splitMix64(splitMix64(uint64(c.id)) + uint64(int64(number)))
	c.window.lastTotal = 0
	if !c.quota.deferredReporting {
		c.unreportedUnits = 0
		c.exhaustedUntil = 0
	}
}

// windowRefill returns the refill: the units that the shared bucket has earned since the present window
// began. It is 0 in a fixed window, which grants its units at the start.
func (c *customer) windowRefill(now float64) float64 {
	if !c.quota.refillingWindow {
		return 0
	}
	return c.quota.rate * (now - (c.window.number-c.windowPhase())*c.quota.windowDuration)
}

// windowEnd returns the time at which the window with the given number ends.
func (c *customer) windowEnd(number float64) float64 {
	return (number + 1 - c.windowPhase()) * c.quota.windowDuration
}

// windowPhase returns the share of a window, from 0 to 1, by which the customer's windows begin before the
// multiples of windowDuration. Windows of different customers thus begin at different times, which spreads
// the calls for new windows.
func (c *customer) windowPhase() float64 { return float64(splitMix64(uint64(c.id))%1024) / 1024 }

// splitMix64 hashes a number. The name of a total at the counter is a hash of the customer and the window.
// Different totals must not get the same name, and hashes of 64 bits hardly ever collide. The function is one
// step of the generator SplitMix64 by Sebastiano Vigna (https://prng.di.unimi.it/splitmix64.c).
func splitMix64(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
