package gateway

import (
	"log/slog"
	"math"
	"sync/atomic"

	"amberlb/policy"
)

// estimateGauges holds the latest estimates of the policy engine for the log. Its methods are safe for concurrent use;
// the zero value is ready to use.
type estimateGauges struct {
	meanLatency      atomic.Uint64 // bits of a float64
	concurrencyLimit atomic.Uint64 // bits of a float64
	inFlight         atomic.Int64
	presumedLate     atomic.Uint64
}

// store replaces the estimates.
func (g *estimateGauges) store(estimates policy.Estimates) {
	g.meanLatency.Store(math.Float64bits(estimates.MeanLatency))
	g.concurrencyLimit.Store(math.Float64bits(estimates.ConcurrencyLimit))
	g.inFlight.Store(int64(estimates.InFlight))
	g.presumedLate.Store(estimates.PresumedLate)
}

// LogValue returns the estimates; the mean latency is in seconds.
func (g *estimateGauges) LogValue() slog.Value {
	return slog.GroupValue(
		slog.Float64("mean_latency", math.Float64frombits(g.meanLatency.Load())),
		slog.Float64("concurrency_limit", math.Float64frombits(g.concurrencyLimit.Load())),
		slog.Int64("in_flight", g.inFlight.Load()),
		slog.Uint64("presumed_late", g.presumedLate.Load()),
	)
}
