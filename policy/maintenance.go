package policy

import "math"

// maintenanceInterval is how many seconds pass between rounds of maintenance.
const maintenanceInterval = 0.05

// runMaintenance lets averages decay and keeps the state of backends and customers in order.
func (e *Engine) runMaintenance() {
	e.setTimer(maintenanceInterval, timerToken{kind: maintenanceTimer})
	elapsed := max(e.now-e.lastMaintenance, e.settings.Tick, 1e-3)
	e.lastMaintenance = e.now
	e.dropRemovedBackends()
	e.maintainBackends(elapsed)
	e.maintainRates(elapsed)
	e.maintainCustomers()
}

// maintainBackends lets what was learnt of each backend decay.
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
	if warm := e.warmBackends(); warm > 0 {
		sendRate := float64(e.warmTraffic.sendCount) / elapsed / float64(warm)
		e.warmTraffic.sendRate += gain * (sendRate - e.warmTraffic.sendRate)
	}
	e.warmTraffic.sendCount = 0
	e.queue.updateArrivalRates(elapsed, gain)
}
