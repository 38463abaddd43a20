package policy

import "math"

const (
	maintenanceInterval    = 0.05 // seconds between rounds of maintenance
	minMaintenanceInterval = 1e-3 // seconds that a round covers at least, lest rates be divided by 0
)

// runMaintenance lets averages decay and keeps the state of backends and customers in order.
func (e *Engine) runMaintenance() {
	e.setTimer(maintenanceInterval, timerToken{kind: maintenanceTimer})
	elapsed := max(e.now-e.lastMaintenance, e.settings.Tick, minMaintenanceInterval)
	e.lastMaintenance = e.now
	e.dropRemovedBackends()
	e.maintainBackends(elapsed)
	e.maintainRates(elapsed)
	e.maintainCustomers()
}

// maintainBackends lets what was learnt of each backend decay, and expires its abandoned attempts.
func (e *Engine) maintainBackends(elapsed float64) {
	share := 1 - math.Exp(-elapsed/healthDecayTime)
	for _, b := range e.backends.ordered {
		e.expireAbandoned(b, 0)
		b.decay(share, e.latency.mean)
	}
}

// maintainRates updates the rate of sends to warm backends and of arrivals at each level.
func (e *Engine) maintainRates(elapsed float64) {
	gain := min(elapsed/warmRateAveragingTime, 1)
	e.warmTraffic.update(e.warmBackends(), elapsed, gain)
	e.queue.updateArrivalRates(elapsed, gain)
}
