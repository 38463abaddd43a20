package soak

import (
	"errors"
	"io"
	"os"
	"testing"
	"time"
)

const ms = time.Millisecond

// took is an attempt of the request "a" at a backend.
func took(first, ended, told time.Duration) BackendAttempt {
	return BackendAttempt{ID: "a", Backend: "b", FirstByteAt: first, ReceivedAt: first, EndedAt: ended, Timeout: told}
}

// Each rule is found broken where it is, and only there.
func TestCheck(t *testing.T) {
	sending := ClientAttempt{ID: "a", Class: string(NonIdempotent), Gateway: 1, ProcessNumber: 1, FirstByteAt: 100 * ms, SentAt: 100 * ms, Timeout: time.Second, EndedAt: 150 * ms}
	served := sending
	served.Status = 200
	ended := sending
	ended.Err = io.EOF
	later := func(s *ClientAttempt) { s.FirstByteAt, s.SentAt, s.EndedAt = 9*time.Second, 9*time.Second, 9050*ms }
	for name, c := range map[string]struct {
		rule     Invariant // "": none
		change   func(*ClientAttempt)
		sending  ClientAttempt
		attempts []BackendAttempt
		life     Process
		changes  []ListChange
		outages  []Outage
	}{
		"served":                    {sending: served, attempts: []BackendAttempt{took(110*ms, 140*ms, 900*ms)}},
		"ended after an attempt":    {rule: LostRequest, sending: ended, attempts: []BackendAttempt{took(110*ms, 150*ms, 900*ms)}},
		"ended unread":              {sending: ended},
		"ended long after it":       {rule: LostRequest, sending: ended, change: func(s *ClientAttempt) { s.EndedAt = 500 * ms }},
		"ended twice":               {rule: LostRequest, sending: ended, change: func(s *ClientAttempt) { s.Resent = true }},
		"never reached the gateway": {sending: ended, change: func(s *ClientAttempt) { s.Resent, s.Unreached = true, true }},
		"never whole":               {sending: ended, change: func(s *ClientAttempt) { s.SentAt = 0 }},
		"an answer cut":             {rule: LostRequest, sending: ended, change: func(s *ClientAttempt) { s.AnswerStarted = true }},
		"no answer":                 {rule: LostRequest, sending: ended, change: func(s *ClientAttempt) { s.Err = os.ErrDeadlineExceeded }},
		"a late answer":             {rule: LostRequest, sending: served, change: func(s *ClientAttempt) { s.EndedAt = 1700 * ms }},
		"killed, early in the stop": {sending: ended, attempts: []BackendAttempt{took(110*ms, 150*ms, 900*ms)},
			life: Process{SigtermAt: 50 * ms, SigkillAt: 150 * ms}},
		"killed, late in the stop": {rule: LostRequest, sending: ended, attempts: []BackendAttempt{took(900*ms, 950*ms, 100*ms)},
			change: func(s *ClientAttempt) { s.FirstByteAt, s.SentAt, s.EndedAt = 900*ms, 900*ms, 950*ms },
			life:   Process{SigtermAt: 50 * ms, SigkillAt: 950 * ms}},
		"run twice": {rule: DuplicateExecution, sending: served,
			attempts: []BackendAttempt{took(110*ms, 120*ms, 900*ms), took(130*ms, 140*ms, 900*ms)}},
		"two out at once": {rule: DuplicateExecution, sending: served, change: func(s *ClientAttempt) { s.Class, s.EndedAt = string(Idempotent), 600*ms },
			attempts: []BackendAttempt{took(110*ms, 500*ms, 900*ms), took(130*ms, 140*ms, 900*ms)}},
		"too much time":  {rule: TimeoutTooLong, sending: served, attempts: []BackendAttempt{took(110*ms, 140*ms, 1300*ms)}},
		"begun too late": {rule: SentAfterDisconnect, sending: sending, change: func(s *ClientAttempt) { s.Disconnected = true }, attempts: []BackendAttempt{took(400*ms, 500*ms, 500*ms)}},
		"gone":           {sending: sending, change: func(s *ClientAttempt) { s.Disconnected = true }, attempts: []BackendAttempt{took(200*ms, 500*ms, 500*ms)}},
		"drained long ago": {rule: SentToDrained, sending: served, change: later, attempts: []BackendAttempt{took(9*time.Second, 9*time.Second, 900*ms)},
			changes: []ListChange{{Backend: "b", At: time.Second}, {Backend: "b", At: 8 * time.Second}}},
		"drained just now": {sending: served, change: later, attempts: []BackendAttempt{took(9*time.Second, 9*time.Second, 900*ms)},
			changes: []ListChange{{Backend: "b", At: 7 * time.Second}}},
		"drained, and back": {sending: served, change: later, attempts: []BackendAttempt{took(9*time.Second, 9*time.Second, 900*ms)},
			changes: []ListChange{{Backend: "b", At: time.Second}, {Backend: "b", At: 2 * time.Second, Ready: true}}},
		"drained unseen": {sending: served, change: later, attempts: []BackendAttempt{took(9*time.Second, 9*time.Second, 900*ms)},
			changes: []ListChange{{Backend: "b", At: time.Second}}, outages: []Outage{{0, 2 * time.Second}}},
		"killed with no warning": {sending: ended, attempts: []BackendAttempt{took(110*ms, 150*ms, 900*ms)},
			life: Process{SigkillAt: 150 * ms, killedUnwarned: true}},
		"ended badly":   {rule: UnexpectedExit, sending: served, life: Process{Err: errors.New("exit status 1")}},
		"slow to start": {rule: NotReady, sending: served, life: Process{ReadyAt: 11 * time.Second}},
		"never started": {rule: NotReady, sending: served, life: Process{neverReady: true}},
	} {
		if c.change != nil {
			c.change(&c.sending)
		}
		c.life.Gateway, c.life.Number = 1, 1
		v := Check(History{ClientAttempts: []ClientAttempt{c.sending}, BackendAttempts: c.attempts, Processes: []Process{c.life}, ListChanges: c.changes,
			Outages: c.outages})
		switch {
		case c.rule == "" && len(v.Violations) > 0, c.rule != "" && len(v.Violations) != 1:
			t.Errorf("%s: %v", name, v.Violations)
		case c.rule != "" && v.Violations[0].Invariant != c.rule:
			t.Errorf("%s: found %s", name, v.Violations[0].Invariant)
		}
	}
}

// A seed says it all: the same one gives the same plan, another one another.
func TestPlan(t *testing.T) {
	one, same, other := NewPlan(7, time.Minute), NewPlan(7, time.Minute), NewPlan(8, time.Minute)
	if len(one.Stops) == 0 || len(one.Stops) != len(same.Stops) || one.Stops[0].At != same.Stops[0].At || one.Backends != same.Backends {
		t.Errorf("%+v\n%+v", one, same)
	}
	if one.Stops[0].RestartDelay == other.Stops[0].RestartDelay {
		t.Error("two seeds give one plan")
	}
	for seed := range uint64(200) {
		p := NewPlan(seed, 10*time.Second)
		if len(p.Stops) == 0 || p.HangingBackends < 1 || p.HangingBackends >= p.Backends {
			t.Errorf("seed %d: %d stops, %d of %d backends hang", seed, len(p.Stops), p.HangingBackends, p.Backends)
		}
		for _, s := range p.Stops {
			if s.FrontDelay < 200*ms || s.FrontDelay > 400*ms || s.At+KillAfter(p.Classes) > p.Duration {
				t.Errorf("seed %d: %+v", seed, s)
			}
		}
	}
}
