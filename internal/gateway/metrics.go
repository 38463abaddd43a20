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
	connectionsAccepted    metric = iota
	acceptsFailed                 // accepts that returned an error
	connectionsWithoutRoom        // closed unread: no room could be made
	connectionsEvicted            // idle ones that were ended to make room
	connectionsFlooded            // ended, since too much came behind an open request
	requestsTaken                 // handed to the decisions
	requestsServed                // answered with what a backend made
	requestsInvalid               // answered 4xx: they could not be read
	requestsUnfinished            // answered 408 or 503: the rest of their head did not come in time
	requestsConflicting           // answered 409: their id is in use
	requestsOverOpenLimit         // answered 503: as many as allowed are open
	requestsWhileStopping         // answered 503: they came too late in a stop
	clientsLeft                   // closed their connection or its sending before the answer
	attemptsRepeated              // further attempts of a request
	listsReceived                 // answers of discovery
	metricCount
)

var metricNames = [metricCount]string{
	connectionsAccepted: "connections.accepted", acceptsFailed: "accepts.failed", connectionsWithoutRoom: "connections.no_room",
	connectionsEvicted: "connections.evicted", connectionsFlooded: "connections.flooded",
	requestsTaken: "requests.taken", requestsServed: "requests.served", requestsInvalid: "requests.invalid",
	requestsUnfinished: "requests.unfinished", requestsConflicting: "requests.conflict", requestsOverOpenLimit: "requests.over_open_limit",
	requestsWhileStopping: "requests.while_stopping", clientsLeft: "requests.client_left",
	attemptsRepeated: "attempts.repeated", listsReceived: "discovery.lists",
}

// metrics counts what a gateway does. Its methods may be called from many goroutines; the zero value is ready.
type metrics struct {
	counts   [metricCount]atomic.Uint64
	refused  [policy.ReasonCount]atomic.Uint64 // final answers of the decisions, by reason
	failed   [policy.ReasonCount]atomic.Uint64
	attempts [policy.OutcomeCount]atomic.Uint64 // ended, by outcome
	calls    [policy.OutcomeCount]atomic.Uint64 // of the counter, by outcome
}

func (m *metrics) add(name metric) { m.counts[name].Add(1) }

// LogValue lists the counts since the start that are above zero.
func (m *metrics) LogValue() slog.Value {
	var attrs []slog.Attr
	list := func(name string, n uint64) {
		if n > 0 {
			attrs = append(attrs, slog.Uint64(name, n))
		}
	}
	for i := range m.counts {
		list(metricNames[i], m.counts[i].Load())
	}
	for reason := range policy.ReasonCount {
		list("refused."+reason.String(), m.refused[reason].Load())
		list("failed."+reason.String(), m.failed[reason].Load())
	}
	for outcome := range policy.OutcomeCount {
		list("attempts."+outcome.String(), m.attempts[outcome].Load())
		list("counter."+outcome.String(), m.calls[outcome].Load())
	}
	return slog.GroupValue(attrs...)
}

// metricsGap is the time between two lines of counts.
const metricsGap = time.Minute

// report writes a line of counts every minute until ctx ends.
func (m *metrics) report(ctx context.Context, log *slog.Logger) {
	tick := time.NewTicker(metricsGap)
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
