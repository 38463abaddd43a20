package gateway

import (
	"context"
	"log/slog"
	"sync/atomic"
	"time"

	"amberlb/policy"
)

// metricsInterval is the time between two log lines with the counts and the memory in use.
const metricsInterval = time.Minute

// metric identifies one count of a gateway.
type metric int

// The counts that are not split by reason or outcome.
const (
	connectionsAccepted   metric = iota
	acceptsFailed                // failed calls of Accept
	connectionsOverLimit         // connections closed unread because the table had no free slot for them
	connectionsEvicted           // connections without an open request that were closed to free their slots
	connectionsPaused            // waits before requests on connections with many rejections
	connectionsFlooded           // connections closed because too many bytes followed an open request
	requestsAccepted             // requests handed to the policy engine
	requestsServed               // requests answered with a backend's response
	requestsInvalid              // requests that could not be decoded, answered 4xx or 5xx
	requestsIncomplete           // requests whose header was not complete in time, answered 408 or 503
	requestsOverMemory           // requests for which no memory became free in time, answered 503
	requestsStalled              // requests whose body stopped arriving while others waited for memory, answered 503
	requestsTooManyFields        // requests with too many header fields, answered 431
	requestsConflicting          // requests whose correlation id is in use, answered 409
	requestsOverIDLimit          // requests whose correlation id could not be remembered, answered 503
	requestsOverOpenLimit        // requests above the limit of open requests, answered 503
	requestsWhileDraining        // requests that arrived too late in a graceful shutdown, answered 503
	clientsDisconnected          // clients that closed their connection or its sending side before the answer
	attemptsRetried              // attempts other than the first of a request
	listsReceived                // endpoint lists received from discovery
	discoveryCalls               // calls to discovery
	discoveryUnanswered          // calls to discovery that were given up before their response was complete
	discoveryFailed              // calls to discovery that ended with an error or without a valid list
	metricCount
)

// metricNames holds the log key of each metric.
var metricNames = [metricCount]string{
	connectionsAccepted:   "connections.accepted",
	acceptsFailed:         "accepts.failed",
	connectionsOverLimit:  "connections.over_limit",
	connectionsEvicted:    "connections.evicted",
	connectionsPaused:     "connections.paused",
	connectionsFlooded:    "connections.flooded",
	requestsAccepted:      "requests.accepted",
	requestsServed:        "requests.served",
	requestsInvalid:       "requests.invalid",
	requestsIncomplete:    "requests.incomplete",
	requestsOverMemory:    "requests.over_memory",
	requestsStalled:       "requests.stalled",
	requestsTooManyFields: "requests.too_many_fields",
	requestsConflicting:   "requests.conflict",
	requestsOverIDLimit:   "requests.over_id_limit",
	requestsOverOpenLimit: "requests.over_open_limit",
	requestsWhileDraining: "requests.while_draining",
	clientsDisconnected:   "requests.client_disconnected",
	attemptsRetried:       "attempts.retried",
	listsReceived:         "discovery.lists",
	discoveryCalls:        "discovery.calls",
	discoveryUnanswered:   "discovery.unanswered",
	discoveryFailed:       "discovery.failed",
}

// metrics holds the counts of a gateway since its start. Its methods are safe for concurrent use; the zero value is
// ready to use.
type metrics struct {
	counts   [metricCount]atomic.Uint64
	rejected [policy.ReasonCount]atomic.Uint64  // requests rejected by the policy engine, by reason
	failed   [policy.ReasonCount]atomic.Uint64  // requests failed by the policy engine, by reason
	attempts [policy.OutcomeCount]atomic.Uint64 // ended attempts, by outcome
	calls    [policy.OutcomeCount]atomic.Uint64 // ended calls to the counter, by outcome
}

// add increments a metric by one.
func (m *metrics) add(name metric) { m.counts[name].Add(1) }

// LogValue returns the counts that are above zero.
func (m *metrics) LogValue() slog.Value {
	var attrs []slog.Attr
	addNonZero := func(key string, n uint64) {
		if n > 0 {
			attrs = append(attrs, slog.Uint64(key, n))
		}
	}
	for i := range m.counts {
		addNonZero(metricNames[i], m.counts[i].Load())
	}
	for reason := range policy.ReasonCount {
		addNonZero("rejected."+reason.String(), m.rejected[reason].Load())
		addNonZero("failed."+reason.String(), m.failed[reason].Load())
	}
	for outcome := range policy.OutcomeCount {
		addNonZero("attempts."+outcome.String(), m.attempts[outcome].Load())
		addNonZero("counter."+outcome.String(), m.calls[outcome].Load())
	}
	return slog.GroupValue(attrs...)
}

// logCountsPeriodically calls logCounts every metricsInterval until ctx ends.
func (s *server) logCountsPeriodically(ctx context.Context) {
	ticker := time.NewTicker(metricsInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			s.logCounts()
		}
	}
}

// logCounts logs the counts since the start, the estimates of the policy engine, and the memory in use.
func (s *server) logCounts() {
	loop := s.frontend.loop
	details := []any{"since_start", &loop.metrics, "estimates", &loop.estimates}
	s.log.Info("counts", append(details, s.memoryDetails()...)...)
}
