package gateway

import (
	"bytes"
	"log/slog"
	"math"
	"strings"
	"testing"

	"amberlb/policy"
)

// The log line has counts by metric name, by reason and by outcome. Counts of zero are left out.
func TestMetricsLogCountsAboveZero(t *testing.T) {
	var m metrics
	m.add(requestsAccepted)
	m.rejected[policy.ReasonQuota].Add(2)
	m.attempts[policy.TimedOut].Add(3)
	var text bytes.Buffer
	slog.New(slog.NewTextHandler(&text, nil)).Info("counts", "since_start", &m)
	expectInLog(t, text.String(),
		" since_start.requests.accepted=1",
		" since_start.rejected.quota=2",
		" since_start.attempts.timed_out=3")
	if strings.Contains(text.String(), "served") {
		t.Errorf("a count of zero is in the log line %q", text.String())
	}
}

// Every metric, reason and outcome has a unique name.
func TestMetricNamesAreUnique(t *testing.T) {
	seen := map[string]bool{}
	check := func(kind string, index int, name string) {
		t.Helper()
		if key := kind + " " + name; name == "" || seen[key] {
			t.Errorf("%s %d: name %q is empty or used twice", kind, index, name)
		} else {
			seen[key] = true
		}
	}
	for i, name := range metricNames {
		check("metric", i, name)
	}
	for reason := range policy.ReasonCount {
		check("reason", int(reason), reason.String())
	}
	for outcome := range policy.OutcomeCount {
		check("outcome", int(outcome), outcome.String())
	}
}

// The counts in the log come with the estimates by which the engine rejects requests. Without them, the log can't tell
// why requests were rejected as too late.
func TestEstimatesAreLoggedWithCounts(t *testing.T) {
	var gauges estimateGauges
	gauges.store(policy.Estimates{MeanLatency: 0.25, ConcurrencyLimit: 12.5, InFlight: 3, PresumedLate: 4})
	var text bytes.Buffer
	slog.New(slog.NewTextHandler(&text, nil)).Info("counts", "estimates", &gauges)
	expectInLog(t, text.String(),
		" estimates.mean_latency=0.25",
		" estimates.concurrency_limit=12.5",
		" estimates.in_flight=3",
		" estimates.presumed_late=4")
}

// The event loop passes the engine's estimates on to the log.
func TestEstimatesFollowTheEngine(t *testing.T) {
	t.Parallel()
	backend := newPeer(t)
	g := startTestGateway(t, backend)
	_, answers := g.sendRequest(t, requestText("GET", "lookup", ""))
	conn, _ := backend.acceptRequest(t)
	estimates := &g.server.frontend.loop.estimates
	awaitCondition(t, "the log has no attempt in flight", func() bool { return estimates.inFlight.Load() == 1 })
	respondOK(conn, "")
	await(t, answers, "the answer")
	awaitCondition(t, "the log has no end of the attempt", func() bool {
		return estimates.inFlight.Load() == 0 && math.Float64frombits(estimates.meanLatency.Load()) > 0
	})
}

// expectInLog checks that a log line has all the wanted parts.
func expectInLog(t *testing.T, line string, parts ...string) {
	t.Helper()
	for _, part := range parts {
		if !strings.Contains(line, part) {
			t.Errorf("%q is not in the log line %q", part, line)
		}
	}
}
