package gateway

import (
	"bytes"
	"log/slog"
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
	for _, want := range []string{
		" since_start.requests.accepted=1",
		" since_start.rejected.quota=2",
		" since_start.attempts.timed_out=3",
	} {
		if !strings.Contains(text.String(), want) {
			t.Errorf("%q is not in the log line %q", want, text.String())
		}
	}
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
