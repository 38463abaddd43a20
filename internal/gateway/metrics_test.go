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

// The log of a gateway that goes over its memory limit must show which memory it was: in use by objects, garbage, stacks
// or the bytes of requests. All of it is logged when a budget is exhausted, since the process may be killed soon after.
func TestExhaustedMemoryBudgetIsLoggedOnce(t *testing.T) {
	var text bytes.Buffer
	budget := newMemoryBudget("requests", 100, slog.New(slog.NewTextHandler(&text, nil)))
	first := budget.take(100)
	if text.Len() > 0 {
		t.Errorf("logged %q before the budget was exhausted", text.String())
	}
	second, third := budget.take(50), budget.take(1)
	if lines := strings.Count(text.String(), "\n"); lines != 1 {
		t.Errorf("%d log lines, want 1", lines)
	}
	for _, want := range []string{"budget=requests", "usage.capacity=100", "usage.held=150", "process.live=", "process.objects=",
		"process.stacks=", "process.mapped=", "process.released=", "process.resident_anonymous="} {
		if !strings.Contains(text.String(), want) {
			t.Errorf("%q is not in the log line %q", want, text.String())
		}
	}
	for _, r := range []*reservation{&first, &second, &third, &first} {
		r.release()
	}
	if held, peak := budget.held.Load(), budget.peak.Load(); held != 0 || peak != 151 {
		t.Errorf("after all releases %d bytes are held, want 0; the peak is %d, want 151", held, peak)
	}
}
