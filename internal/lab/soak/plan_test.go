package soak

import (
	"testing"
	"time"
)

// The same seed gives the same plan, and another seed gives a different plan.
func TestSeedDeterminesPlan(t *testing.T) {
	first := NewPlan(7, time.Minute)
	same := NewPlan(7, time.Minute)
	other := NewPlan(8, time.Minute)
	if len(first.Stops) == 0 || len(first.Stops) != len(same.Stops) || first.Stops[0].At != same.Stops[0].At ||
		first.Backends != same.Backends {
		t.Errorf("plans of the same seed have no stops or differ:\n%+v\n%+v", first, same)
	}
	if first.Stops[0].RestartDelay == other.Stops[0].RestartDelay {
		t.Error("seeds 7 and 8 give the same first restart delay")
	}
	for seed := range uint64(200) {
		plan := NewPlan(seed, 10*time.Second)
		if len(plan.Stops) == 0 || plan.HangingBackends < 1 || plan.HangingBackends >= plan.Backends {
			t.Errorf("seed %d: %d stops, %d of %d backends hang", seed, len(plan.Stops), plan.HangingBackends, plan.Backends)
		}
		for _, stop := range plan.Stops {
			if stop.OutOfRotationDelay < 200*ms || stop.OutOfRotationDelay > 400*ms ||
				stop.At+KillAfter(plan.Classes) > plan.Duration {
				t.Errorf("seed %d: %+v", seed, stop)
			}
		}
	}
}
