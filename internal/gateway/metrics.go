package gateway

import (
	"context"
	"log/slog"
	"sync/atomic"
	"time"

	"amberlb/policy"
)

// metric names one count of a gateway.
type metric int

// The counts that are not split by a reason or an outcome.
const (
	connectionsAccepted   metric = iota
	acceptsFailed                // accepts that returned an error
	connectionsOverLimit         // closed unread: no room could be made
	connectionsEvicted           // idle ones that were ended to make room
	connectionsFlooded           // ended, since too much came behind an open request
	requestsAccepted             // handed to the decisions
	requestsServed               // answered with what a backend made
	requestsInvalid              // answered 4xx: they could not be read
	requestsIncomplete           // answered 408 or 503: the rest of their head did not come in time
	requestsConflicting          // answered 409: their id is in use
	requestsOverOpenLimit        // answered 503: as many as allowed are open
	requestsWhileDraining        // answered 503: they came too late in a stop
	clientsDisconnected          // closed their connection or its sending before the answer
	attemptsRetried              // further attempts of a request
	listsReceived                // answers of discovery
	metricCount
)

var metricNames = [metricCount]string{
	connectionsAccepted: "connections.accepted", acceptsFailed: "accepts.failed", connectionsOverLimit: "connections.no_room",
	connectionsEvicted: "connections.evicted", connectionsFlooded: "connections.flooded",
	requestsAccepted: "requests.taken", requestsServed: "requests.served", requestsInvalid: "requests.invalid",
	requestsIncomplete: "requests.unfinished", requestsConflicting: "requests.conflict", requestsOverOpenLimit: "requests.over_open_limit",
	requestsWhileDraining: "requests.while_stopping", clientsDisconnected: "requests.client_left",
	attemptsRetried: "attempts.repeated", listsReceived: "discovery.lists",
}

// metrics counts what a gateway does. Its methods may be called from many goroutines; the zero value is ready.
type metrics struct {
	counts   [metricCount]atomic.Uint64
	rejected [policy.ReasonCount]atomic.Uint64 // final answers of the decisions, by reason
	failed   [policy.ReasonCount]atomic.Uint64
	attempts [policy.OutcomeCount]atomic.Uint64 // ended, by outcome
	calls    [policy.OutcomeCount]atomic.Uint64 // of the counter, by outcome
}

func (m *metrics) add(name metric) { m.counts[name].Add(1) }

// LogValue lists the counts since the start that are above zero.
func (m *metrics) LogValue() slog.Value {
	var attrs []slog.Attr
	addNonZero := func(name string, n uint64) {
		if n > 0 {
			attrs = append(attrs, slog.Uint64(name, n))
		}
	}
	for i := range m.counts {
		addNonZero(metricNames[i], m.counts[i].Load())
	}
	for reason := range policy.ReasonCount {
		addNonZero("refused."+reason.String(), m.rejected[reason].Load())
		addNonZero("failed."+reason.String(), m.failed[reason].Load())
	}
	for outcome := range policy.OutcomeCount {
		addNonZero("attempts."+outcome.String(), m.attempts[outcome].Load())
		addNonZero("counter."+outcome.String(), m.calls[outcome].Load())
	}
	return slog.GroupValue(attrs...)
}

// metricsInterval is the time between two lines of counts.
const metricsInterval = time.Minute

// logPeriodically writes a line of counts every minute until ctx ends.
func (m *metrics) logPeriodically(ctx context.Context, log *slog.Logger) {
	tick := time.NewTicker(metricsInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			log.Info("counts", "since_start", m)
		}
	}
}
