package hollow

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"strings"
	"testing"
	"time"

	"amberlb/internal/gateway"
	"amberlb/internal/lab/counter"
	"amberlb/internal/lab/discovery"
	"amberlb/internal/lab/oracle"
)

// settings are deployment settings with two plans. The plan "none" has no quota. The plan "basic" has a quota.
const settings = `{"tickS": 0.002, "localities": ["a"], "kinds": ["m"],
	"allowed": {"cancel": true, "mostTries": 4, "connectTimeoutS": 5, "keepaliveS": 15, "retryAfter": true, "maxRetryAfterS": 0.5},
	"obligations": {"answerSlackS": 0.01, "drainGraceS": 2},
	"classes": [{"name": "lookup", "objectiveS": 4, "deadlineS": 8, "points": 1, "effect": "repeatable"}],
	"packages": [{"name": "none", "pays": 1}, {"name": "basic", "pays": 1, "unitsPerS": 20, "depth": 10}],
	"familyInfo": {"mostUnits": 4, "hasCounter": true, "counterTimeoutS": 2}}`

// newJob returns a job with two groups, and the counter that its gateways call. The group "free" has no quota. In the
// group "paid", the mean rate of a customer is twice its quota.
func newJob(t *testing.T) (Job, *counter.Counter) {
	t.Helper()
	discoveryServer := discovery.New([]gateway.EndpointEntry{
		{ID: "b-1", HostPort: "127.0.0.1:1", Zone: "a", Lifecycle: "Ready", Weight: 1},
		{ID: "b-2", HostPort: "127.0.0.2:1", Zone: "a", Lifecycle: "Ready", Weight: 1},
	}, discovery.Options{})
	discoveryAddress, err := discoveryServer.Start(context.Background())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { discoveryServer.Close() })
	counterServer := counter.New(counter.Options{Shards: 4, MaxQueued: 1000})
	counterAddress, err := counterServer.Start(context.Background())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { counterServer.Close() })
	return Job{
		Seed:         5,
		Settings:     json.RawMessage(settings),
		First:        10,
		Gateways:     7,
		Fleet:        20,
		Discovery:    discoveryAddress,
		Counter:      counterAddress,
		ServiceS:     0.01,
		WarmS:        0.3,
		RunS:         1.2,
		StartSpreadS: 0.1,
		Retry:        true,
		Groups: []Group{
			{Name: "free", First: 10, Gateways: 3, Spread: 2, Customers: 4, PerSecond: 10, Zipf: 1, Units: 1},
			{Name: "paid", First: 13, Gateways: 4, Spread: 3, Customers: 3, PerSecond: 40, Plan: 1, Units: 1, Shift: true},
		},
	}, counterServer
}

// The counts of a run add up, and only requests of the group that exceeds its quota are rejected.
func TestCountsAddUp(t *testing.T) {
	job, counterServer := newJob(t)
	result, err := Run(t.Context(), job)
	if err != nil {
		t.Fatal(err)
	}
	calls := uint64(0)
	for _, g := range result.Groups {
		if g.Tries == 0 || g.Tries != g.Served+g.Refused+g.Failed+g.Dropped || g.RefusedHalfFull > g.RefusedInside ||
			g.RefusedInside > g.Refused || g.Beyond > g.Tries || uint64(g.Latency.Count) != g.Served {
			t.Errorf("counts don't add up: %+v", g)
		}
		if g.Served == 0 || g.Failed+g.Dropped > 0 || g.Latency.P50 < 10 {
			t.Errorf("unexpected failures, drops or latency: %+v", g)
		}
		calls += g.Calls
	}
	free, paid := result.Groups[0], result.Groups[1]
	if free.Name != "free" || free.Refused+free.Beyond+free.Calls+free.Repeats > 0 {
		t.Errorf("group without a quota: %+v", free)
	}
	if paid.Refused == 0 || paid.Repeats == 0 || paid.Calls == 0 || paid.CallsUnanswered > 0 {
		t.Errorf("group that exceeds its quota: %+v", paid)
	}
	if received := counterServer.Stats().Calls; received < calls {
		t.Errorf("%d calls reported, but the counter received %d", calls, received)
	}
	if result.Gateways != 7 || result.Ready.Count != 7 || result.Requests != free.Tries+paid.Tries ||
		result.CPUSeconds <= 0 || result.PeakMB <= 0 || result.SpanS < job.RunS {
		t.Errorf("result: %+v", result)
	}
}

// Run returns when its context ends, under load and while the gateways wait for their first endpoint list.
func TestRunEndsWithItsContext(t *testing.T) {
	job, _ := newJob(t)
	job.RunS = 3600
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	if _, err := Run(ctx, job); !errors.Is(err, context.DeadlineExceeded) {
		t.Errorf("under load: %v", err)
	}
	job.Discovery = "127.0.0.1:1"
	ctx, cancel = context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	if _, err := Run(ctx, job); !errors.Is(err, context.DeadlineExceeded) {
		t.Errorf("without an endpoint list: %v", err)
	}
}

// The error of an invalid job says what is invalid.
func TestInvalidJobs(t *testing.T) {
	for want, invalidate := range map[string]func(*Job){
		"not among 20":         func(j *Job) { j.First = 14 },
		"not all in this":      func(j *Job) { j.Groups[0].First = 9 },
		"subsets of 4 among 3": func(j *Job) { j.Groups[0].Spread = 4 },
		"no such plan":         func(j *Job) { j.Groups[1].Plan = 2 },
		"share gateways":       func(j *Job) { j.Groups[1].First = 12 },
		"tick": func(j *Job) {
			j.Settings = json.RawMessage(strings.Replace(settings, `"tickS": 0.002`, `"tickS": 0`, 1))
		},
	} {
		job, _ := newJob(t)
		invalidate(&job)
		if _, err := Run(t.Context(), job); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("want an error with %q, got %v", want, err)
		}
	}
}

// A rejection is classified by the units in the customer's bucket at the time of the rejection. A forwarded attempt is
// counted as over quota if the bucket holds fewer units than the attempt costs.
func TestRejectionsAreClassifiedByTheBucket(t *testing.T) {
	c := &customer{bucket: oracle.New(1e-9, 10)}
	g := &groupLoad{Group: Group{Units: 2}, startedAt: time.Now()}
	reject := func(measured bool) {
		a := attempt{customer: c, measured: measured, due: time.Now(), done: func() {}}
		g.onAnswer(a, http.StatusTooManyRequests, 0)
	}
	reject(false)
	for range 6 {
		reject(true) // with 10, 8, 6, 4, 2 and 0 units in the bucket
		g.onForwarded(attempt{customer: c, measured: true})
	}
	if r := g.result; r.Refused != 6 || r.RefusedInside != 5 || r.RefusedHalfFull != 3 || r.Beyond != 1 {
		t.Errorf("got %+v", r)
	}
}
