package policy

import "math"

// counterWindow is the window of a customer's quota that this gateway entered last. Each window has a total
// of its own at the counter, under a name of its own.
type counterWindow struct {
	number    float64 // a whole number that grows with time; -1: none was entered yet
	name      uint64  // of the window's total at the counter
	lastTotal float64 // units: the total as last seen; 0: not seen yet
}

// enterWindow moves to the window that contains now. What an exact store has not reported, and that it is
// exhausted, ends with its window.
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

// windowRefill returns the units that the store has earned since the window that was entered last began:
// the total at which the store is full. It is 0 where the quota of a window is granted at its start.
func (c *customer) windowRefill(now float64) float64 {
	if !c.quota.refillingWindow {
		return 0
	}
	return c.quota.rate * (now - (c.window.number-c.windowPhase())*c.quota.windowDuration)
}

// windowEnd returns the time at which the window of a number ends.
func (c *customer) windowEnd(number float64) float64 {
	return (number + 1 - c.windowPhase()) * c.quota.windowDuration
}

// windowPhase returns the part of a window, from 0 to 1, by which the customer's windows begin early.
// Windows of different customers end at different times, so that not all are called for at once.
func (c *customer) windowPhase() float64 { return float64(splitMix64(uint64(c.id))%1024) / 1024 }

// splitMix64 mixes the bits of a number, since names at the counter must not collide. It is one step of the
// generator SplitMix64 by Sebastiano Vigna (https://prng.di.unimi.it/splitmix64.c).
func splitMix64(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
