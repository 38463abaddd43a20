package gateway

import (
	"bytes"
	"log/slog"
	"strings"
	"testing"

	"amberlb/policy"
)

// The counts are told by name, by reason and by outcome, and zeros are left out.
func TestMetricsLine(t *testing.T) {
	var m metrics
	m.add(requestsAccepted)
	m.rejected[policy.ReasonQuota].Add(2)
	m.attempts[policy.TimedOut].Add(3)
	var text bytes.Buffer
	slog.New(slog.NewTextHandler(&text, nil)).Info("counts", "since_start", &m)
	for _, want := range []string{" since_start.requests.taken=1", " since_start.refused.quota=2", " since_start.attempts.timed_out=3"} {
		if !strings.Contains(text.String(), want) {
			t.Errorf("%q is not in %q", want, text.String())
		}
	}
	if strings.Contains(text.String(), "served") {
		t.Errorf("a count of zero in %q", text.String())
	}
}

// Every metric, reason and outcome has a name of its own.
func TestMetricNames(t *testing.T) {
	seen := map[string]bool{}
	for i, name := range metricNames {
		if name == "" || seen[name] {
			t.Errorf("metric %d: name %q is empty or stands twice", i, name)
		}
		seen[name] = true
	}
	for reason := range policy.ReasonCount {
		if name := "reason " + reason.String(); name == "reason " || seen[name] {
			t.Errorf("reason %d: name %q", reason, name)
		} else {
			seen[name] = true
		}
	}
	for outcome := range policy.OutcomeCount {
		if name := "outcome " + outcome.String(); name == "outcome " || seen[name] {
			t.Errorf("outcome %d: name %q", outcome, name)
		} else {
			seen[name] = true
		}
	}
}
