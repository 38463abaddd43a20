package oracle

import (
	"testing"
	"time"
)

func TestStore(t *testing.T) {
	s := New(2, 4)
	half := func(now time.Duration, _ float64) bool { return s.HalfFull(now) }
	for _, c := range []struct {
		name  string
		at    float64 // seconds
		units float64
		ask   func(time.Duration, float64) bool
		want  bool
	}{
		{"full at the start", 0, 4, s.CanTake, true},
		{"half of it unused", 0, 0, half, true},
		{"asking takes nothing", 0, 3, s.Take, true},
		{"less than half is left", 0, 0, half, false},
		{"too little is left", 0, 2, s.Take, false},
		{"a send beyond took nothing", 0, 1, s.CanTake, true},
		{"refilled", 0.5, 2, s.Take, true},
		{"an earlier time refills nothing", 0.25, 0.5, s.CanTake, false},
		{"nor later twice", 0.75, 0.6, s.CanTake, false},
		{"never more than the burst", 100, 4.1, s.CanTake, false},
		{"full again", 100, 4, s.Take, true},
		{"no quota", 0, 9, New(0, 0).Take, true},
	} {
		if got := c.ask(time.Duration(c.at*float64(time.Second)), c.units); got != c.want {
			t.Errorf("%s: %t", c.name, got)
		}
	}
}
