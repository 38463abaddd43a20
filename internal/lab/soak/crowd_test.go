package soak

import (
	"reflect"
	"testing"
	"time"

	"amberlb/internal/lab/hostile"
)

// The same seed gives the same hostile clients, and the seeds reach all shapes, endings and limits.
func TestSeedDeterminesHostilePlan(t *testing.T) {
	shapes, endings, corners := map[hostile.Shape]bool{}, map[hostile.Ending]bool{}, map[limits]bool{}
	withStops := 0
	for seed := range uint64(200) {
		plan := NewHostilePlan(seed, 10*time.Second)
		if !reflect.DeepEqual(plan, NewHostilePlan(seed, 10*time.Second)) {
			t.Fatalf("seed %d gives two plans", seed)
		}
		for _, crowd := range plan.Crowds {
			shapes[crowd.Shape] = true
			endings[crowd.Ending] = true
			if crowd.Clients < 1 || crowd.Clients > maxCrowdClients {
				t.Errorf("seed %d: %d clients", seed, crowd.Clients)
			}
		}
		corners[limits{plan.MemoryMB, plan.DescriptorLimit}] = true
		if len(plan.Stops) > 0 {
			withStops++
		}
	}
	if len(shapes) != len(hostile.Shapes) || len(endings) != len(hostile.Endings) || len(corners) != len(cornerLimits) {
		t.Errorf("%d shapes, %d endings and %d corners in 200 seeds", len(shapes), len(endings), len(corners))
	}
	if withStops == 0 || withStops == 200 {
		t.Errorf("%d of 200 plans have stops", withStops)
	}
}

// Requests of hostile clients that run twice or after their client has left are violations, and clients that are owed an
// error and get none in time are counted.
func TestHostileExchangesAreChecked(t *testing.T) {
	attempt := func(at time.Duration) BackendAttempt { return BackendAttempt{ID: "x", FirstByteAt: at, ReceivedAt: at} }
	exchange := hostile.Exchange{Shape: hostile.Pipeline, Ending: hostile.Close, IDs: []string{"x"}, LeftAt: time.Second}
	owed := hostile.Exchange{Shape: hostile.DistinctFields, Ending: hostile.Stay, ConnectedAt: time.Second}
	answered, late := owed, owed
	answered.EndedAt = owed.ConnectedAt + badClientLimit
	late.EndedAt = owed.ConnectedAt + badClientLimit + time.Second
	for name, c := range map[string]struct {
		exchange hostile.Exchange
		attempts []BackendAttempt
		want     []Invariant
		wantKept int
	}{
		"in time":                    {exchange, []BackendAttempt{attempt(time.Second + disconnectGrace)}, nil, 0},
		"after the client left":      {exchange, []BackendAttempt{attempt(time.Second + 2*disconnectGrace)}, []Invariant{SentAfterDisconnect}, 0},
		"twice":                      {exchange, []BackendAttempt{attempt(700 * ms), attempt(900 * ms)}, []Invariant{DuplicateExecution}, 0},
		"twice, by one process each": {exchange, []BackendAttempt{attempt(100 * ms), attempt(700 * ms)}, nil, 0},
		"answered":                   {answered, nil, nil, 0},
		"answered late":              {late, nil, nil, 1},
		"never answered":             {owed, nil, nil, 1},
	} {
		t.Run(name, func(t *testing.T) {
			processes := []Process{{Number: 1, EndedAt: 500 * ms}, {Number: 2, StartedAt: 600 * ms}}
			verdict := Check(History{Processes: processes, HostileExchanges: []HostileExchange{{Exchange: c.exchange}}, BackendAttempts: c.attempts})
			var got []Invariant
			for _, violation := range verdict.Violations {
				got = append(got, violation.Invariant)
			}
			if !reflect.DeepEqual(got, c.want) || verdict.HostileKept != c.wantKept || verdict.Hostile != 1 {
				t.Errorf("violations %v, %d kept, %d exchanges", got, verdict.HostileKept, verdict.Hostile)
			}
		})
	}
}
