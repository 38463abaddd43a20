package policy

import (
	"maps"
	"slices"
)

// stop bounds the time of every request, now and later: a gateway that ends has to answer all that it took
// before its process may be killed.
func (g *Gateway) stop(by float64) {
	g.stopBy = by
	for _, id := range slices.Sorted(maps.Keys(g.jobs)) {
		if j := g.jobs[id]; !j.done && g.boundByStop(j) {
			g.timer(j.giveUp-g.now, timerEnd, 0, id)
		}
	}
}

// boundByStop cuts the time of a request to what a stop leaves, and tells whether that is less than it had.
func (g *Gateway) boundByStop(j *job) bool {
	last := g.stopBy - 2*g.set.Tick
	if g.stopBy == 0 || j.giveUp <= last {
		return false
	}
	j.giveUp = last
	return true
}
