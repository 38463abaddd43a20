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

const settings = `{"tickS": 0.002, "localities": ["a"], "kinds": ["m"],
	"allowed": {"cancel": true, "mostTries": 4, "connectTimeoutS": 5, "keepaliveS": 15, "retryAfter": true, "maxRetryAfterS": 0.5},
	"obligations": {"answerSlackS": 0.01, "drainGraceS": 2},
	"classes": [{"name": "lookup", "objectiveS": 4, "deadlineS": 8, "points": 1, "effect": "repeatable"}],
	"packages": [{"name": "none", "pays": 1}, {"name": "basic", "pays": 1, "unitsPerS": 20, "depth": 10}],
	"familyInfo": {"mostUnits": 4, "hasCounter": true, "counterTimeoutS": 2}}`

// job has a group without a quota and one that asks for twice its own.
func job(t *testing.T) (Job, *counter.Counter) {
	reg := discovery.New([]gateway.EndpointEntry{{ID: "b-1", HostPort: "127.0.0.1:1", Zone: "a", Lifecycle: "Ready", Weight: 1},
		{ID: "b-2", HostPort: "127.0.0.2:1", Zone: "a", Lifecycle: "Ready", Weight: 1}}, discovery.Options{})
	discovery, err := reg.Start(context.Background())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { reg.Close() })
	count := counter.New(counter.Options{Shards: 4, MaxQueued: 1000})
	address, err := count.Start(context.Background())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { count.Close() })
	return Job{Seed: 5, Settings: json.RawMessage(settings), First: 10, Gateways: 7, Fleet: 20, Discovery: discovery, Counter: address,
		ServiceS: 0.01, WarmS: 0.3, RunS: 1.2, StartSpreadS: 0.1, Retry: true, Groups: []Group{
			{Name: "free", First: 10, Gateways: 3, Spread: 2, Customers: 4, PerSecond: 10, Zipf: 1, Units: 1},
			{Name: "paid", First: 13, Gateways: 4, Spread: 3, Customers: 3, PerSecond: 40, Plan: 1, Units: 1, Shift: true},
		}}, count
}

func TestRun(t *testing.T) {
	j, count := job(t)
	r, err := Run(t.Context(), j)
	if err != nil {
		t.Fatal(err)
	}
	calls := uint64(0)
	for _, g := range r.Groups {
		if g.Tries == 0 || g.Tries != g.Served+g.Refused+g.Failed+g.Dropped || g.RefusedHalfFull > g.RefusedInside ||
			g.RefusedInside > g.Refused || g.Beyond > g.Tries || uint64(g.Latency.Count) != g.Served {
			t.Errorf("counts don't add up: %+v", g)
		}
		if g.Served == 0 || g.Failed+g.Dropped > 0 || g.Latency.P50 < 10 {
			t.Errorf("service: %+v", g)
		}
		calls += g.Calls
	}
	free, paid := r.Groups[0], r.Groups[1]
	if free.Name != "free" || free.Refused+free.Beyond+free.Calls+free.Repeats > 0 {
		t.Errorf("without a quota: %+v", free)
	}
	if paid.Refused == 0 || paid.Repeats == 0 || paid.Calls == 0 || paid.CallsUnanswered > 0 {
		t.Errorf("beyond its quota: %+v", paid)
	}
	if had := count.Stats().Calls; had < calls {
		t.Errorf("%d calls told of, %d at the counter", calls, had)
	}
	if r.Gateways != 7 || r.Ready.Count != 7 || r.Requests != free.Tries+paid.Tries || r.CPUSeconds <= 0 || r.PeakMB <= 0 || r.SpanS < j.RunS {
		t.Errorf("result: %+v", r)
	}
}

// With its context, everything ends: before there is a list, and under load.
func TestRunEnds(t *testing.T) {
	j, _ := job(t)
	j.RunS = 3600
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	if _, err := Run(ctx, j); !errors.Is(err, context.DeadlineExceeded) {
		t.Errorf("under load: %v", err)
	}
	j.Discovery = "127.0.0.1:1"
	ctx, cancel = context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	if _, err := Run(ctx, j); !errors.Is(err, context.DeadlineExceeded) {
		t.Errorf("without a list: %v", err)
	}
}

func TestBadJobs(t *testing.T) {
	for want, spoil := range map[string]func(*Job){
		"not among 20":      func(j *Job) { j.First = 14 },
		"not all in this":   func(j *Job) { j.Groups[0].First = 9 },
		"sets of 4 among 3": func(j *Job) { j.Groups[0].Spread = 4 },
		"no such plan":      func(j *Job) { j.Groups[1].Plan = 2 },
		"share gateways":    func(j *Job) { j.Groups[1].First = 12 },
		"tick": func(j *Job) {
			j.Settings = json.RawMessage(strings.Replace(settings, `"tickS": 0.002`, `"tickS": 0`, 1))
		},
	} {
		j, _ := job(t)
		spoil(&j)
		if _, err := Run(t.Context(), j); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("want an error with %q, got %v", want, err)
		}
	}
}

// Refusals are judged by what the store holds then, sends by whether it has the units.
func TestJudgement(t *testing.T) {
	c := &customer{bucket: oracle.New(1e-9, 10)}
	g := &groupLoad{Group: Group{Units: 2}, startedAt: time.Now()}
	refuse := func(counts bool) {
		g.onAnswer(attempt{customer: c, measured: counts, due: time.Now(), done: func() {}}, http.StatusTooManyRequests, 0)
	}
	refuse(false)
	for range 6 {
		refuse(true) // with 10, 8, 6, 4, 2 and 0 units in the store
		g.onForwarded(attempt{customer: c, measured: true})
	}
	if r := g.result; r.Refused != 6 || r.RefusedInside != 5 || r.RefusedHalfFull != 3 || r.Beyond != 1 {
		t.Errorf("judged %+v", r)
	}
}
