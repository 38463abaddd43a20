package gateway

import (
	"testing"
	"time"
)

// The schedule keeps the protocol's figures for any deadline: a request admitted at the last moment, with the longest
// deadline, has its answer before SIGKILL may come, also where the process is held up; new connections come for a while;
// and connections are accepted for longer than requests are admitted.
func TestShutdownScheduleEndsBeforeSIGKILL(t *testing.T) {
	for deadline := 10 * time.Millisecond; deadline < time.Minute; deadline = deadline*5/4 + time.Millisecond {
		s := newShutdownSchedule(deadline)
		openTime := min(deadline, 3*time.Second) // a longer deadline counts as 3 s
		kill := openTime + 700*time.Millisecond
		if s.admitUntil+openTime+200*time.Millisecond > kill {
			t.Errorf("deadline %v: a request admitted after %v has its answer at %v; SIGKILL comes at %v",
				deadline, s.admitUntil, s.admitUntil+openTime, kill)
		}
		if s.answerBy+200*time.Millisecond > kill || s.answerBy < s.admitUntil {
			t.Errorf("deadline %v: all is answered at %v, after %v of admission; SIGKILL comes at %v",
				deadline, s.answerBy, s.admitUntil, kill)
		}
		if s.admitUntil < 400*time.Millisecond || s.listenUntil <= s.admitUntil || s.listenUntil >= kill {
			t.Errorf("deadline %v: admission ends at %v and the listener at %v", deadline, s.admitUntil, s.listenUntil)
		}
		if s.exitBy <= kill {
			t.Errorf("deadline %v: the process ends itself at %v, before SIGKILL could come at %v", deadline, s.exitBy, kill)
		}
	}
}
