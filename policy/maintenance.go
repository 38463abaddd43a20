package policy

import "math"

const (
	maintenanceInterval    = 0.05 // seconds between rounds of maintenance
	minMaintenanceInterval = 1e-3 // shortest interval in seconds by which counts are divided
)

// runMaintenance updates averages and rates, and removes state of backends and customers that is no longer
// needed.
func (e *Engine) runMaintenance() {
	e.setTimer(maintenanceInterval, timerToken{kind: maintenanceTimer})
	elapsed := max(e.now-e.lastMaintenance, e.settings.Tick, minMaintenanceInterval)
	e.lastMaintenance = e.now
	e.dropRemovedBackends()
	e.maintainBackends(elapsed)
	e.maintainRates(elapsed)
	e.maintainCustomers()
}

// maintainBackends expires the abandoned attempts of each backend and decays its failure rate and latency.
// elapsed is the time in seconds since the last round.
func (e *Engine) maintainBackends(elapsed float64) {
	share := 1 - math.Exp(-elapsed/healthDecayTime)
	for _, b := range e.backends.ordered {
		e.expireAbandoned(b, 0)
		b.decay(share, e.latency.mean)
	}
}

// maintainRates updates the rate of attempts at warm backends and the arrival rate of each level. elapsed is
// the time in seconds since the last round.
func (e *Engine) maintainRates(elapsed float64) {
	gain := min(elapsed/rateAveragingTime, 1)
	e.warmTraffic.update(e.warmBackends(), elapsed, gain)
	e.queue.updateArrivalRates(elapsed, gain)
}
