package gateway

import (
	"testing"
	"time"
)

// For any longest deadline, the schedule keeps the times of the protocol. A request that is admitted at the last
// moment, with the longest deadline, is answered before the earliest SIGKILL, even if the process is stalled. Requests
// are admitted for as long as new connections arrive, and connections are accepted for longer than requests are
// admitted.
func TestShutdownScheduleEndsBeforeSIGKILL(t *testing.T) {
	for deadline := 10 * time.Millisecond; deadline < time.Minute; deadline = deadline*5/4 + time.Millisecond {
		s := newShutdownSchedule(deadline)
		openTime := min(deadline, 3*time.Second) // the protocol counts a longer deadline as 3 s
		kill := openTime + 700*time.Millisecond
		if s.admitUntil+openTime+200*time.Millisecond > kill {
			t.Errorf("deadline %v: a request admitted at %v is answered at %v; SIGKILL may come at %v",
				deadline, s.admitUntil, s.admitUntil+openTime, kill)
		}
		if s.answerBy+200*time.Millisecond > kill || s.answerBy < s.admitUntil {
			t.Errorf("deadline %v: all requests are answered at %v, admission ends at %v; SIGKILL may come at %v",
				deadline, s.answerBy, s.admitUntil, kill)
		}
		if s.admitUntil < 400*time.Millisecond || s.listenUntil <= s.admitUntil || s.listenUntil >= kill {
			t.Errorf("deadline %v: admission ends at %v, the listener closes at %v", deadline, s.admitUntil, s.listenUntil)
		}
		if s.exitBy <= kill {
			t.Errorf("deadline %v: the process exits at %v, before SIGKILL may come at %v", deadline, s.exitBy, kill)
		}
	}
}
