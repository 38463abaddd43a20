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
		s := newShutdownSchedule(deadline)
		held := min(deadline, 3*time.Second) // a longer deadline counts as 3 s
		kill := held + 700*time.Millisecond
		if s.admitUntil+held+200*time.Millisecond > kill {
			t.Errorf("deadline %v: a request taken after %v has its answer at %v; SIGKILL comes at %v", deadline, s.admitUntil, s.admitUntil+held, kill)
		}
		if s.answerBy+200*time.Millisecond > kill || s.answerBy < s.admitUntil {
			t.Errorf("deadline %v: all is answered at %v, after %v of admission; SIGKILL comes at %v", deadline, s.answerBy, s.admitUntil, kill)
		}
		if s.admitUntil < 400*time.Millisecond || s.listenUntil <= s.admitUntil || s.listenUntil >= kill {
			t.Errorf("deadline %v: admission ends at %v and the listener at %v", deadline, s.admitUntil, s.listenUntil)
		}
		if s.exitBy <= kill {
			t.Errorf("deadline %v: the process ends itself at %v, before SIGKILL could come at %v", deadline, s.exitBy, kill)
		}
	}
}
