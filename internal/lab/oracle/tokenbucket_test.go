package oracle

import (
	"testing"
	"time"
)

// The bucket refills at its rate up to its burst, and only attempts within the quota take units.
func TestTokenBucket(t *testing.T) {
	bucket := New(2, 4)
	halfFull := func(now time.Duration, _ float64) bool { return bucket.HalfFull(now) }
	for _, c := range []struct {
		name    string
		seconds float64
		units   float64
		call    func(now time.Duration, units float64) bool
		want    bool
	}{
		{"full at the start", 0, 4, bucket.CanTake, true},
		{"at least half is left", 0, 0, halfFull, true},
		{"CanTake takes nothing", 0, 3, bucket.Take, true},
		{"less than half is left", 0, 0, halfFull, false},
		{"too little is left", 0, 2, bucket.Take, false},
		{"an attempt over quota took nothing", 0, 1, bucket.CanTake, true},
		{"refilled", 0.5, 2, bucket.Take, true},
		{"an earlier time refills nothing", 0.25, 0.5, bucket.CanTake, false},
		{"the same time refills only once", 0.75, 0.6, bucket.CanTake, false},
		{"never more than the burst", 100, 4.1, bucket.CanTake, false},
		{"full again", 100, 4, bucket.Take, true},
		{"no quota", 0, 9, New(0, 0).Take, true},
	} {
		now := time.Duration(c.seconds * float64(time.Second))
		if got := c.call(now, c.units); got != c.want {
			t.Errorf("%s: got %t", c.name, got)
		}
	}
}
