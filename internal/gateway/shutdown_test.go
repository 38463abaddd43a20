package gateway

import (
	"testing"
	"time"
)

// A request that is taken at the last moment of a stop, with the longest deadline, has its answer before SIGKILL may come,
// also where the process is held up; fronts bring new connections for a while; and connections are accepted for longer
// than requests are taken.
func TestStopScheduleFits(t *testing.T) {
	for deadline := 10 * time.Millisecond; deadline < time.Minute; deadline = deadline*5/4 + time.Millisecond {
		s := newStopSchedule(deadline)
		held := min(deadline, 3*time.Second) // a longer deadline counts as 3 s
		kill := held + 700*time.Millisecond
		if s.admit+held+200*time.Millisecond > kill {
			t.Errorf("deadline %v: a request taken after %v has its answer at %v; SIGKILL comes at %v", deadline, s.admit, s.admit+held, kill)
		}
		if s.answer+200*time.Millisecond > kill || s.answer < s.admit {
			t.Errorf("deadline %v: all is answered at %v, after %v of admission; SIGKILL comes at %v", deadline, s.answer, s.admit, kill)
		}
		if s.admit < 400*time.Millisecond || s.listen <= s.admit || s.listen >= kill {
			t.Errorf("deadline %v: admission ends at %v and the listener at %v", deadline, s.admit, s.listen)
		}
		if s.end <= kill {
			t.Errorf("deadline %v: the process ends itself at %v, before SIGKILL could come at %v", deadline, s.end, kill)
		}
	}
}
