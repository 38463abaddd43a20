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
func took(first, ended, told time.Duration) Attempt {
	return Attempt{ID: "a", Backend: "b", First: first, Taken: first, Ended: ended, Told: told}
}

// Each rule is found broken where it is, and only there.
func TestCheck(t *testing.T) {
	sending := Sending{ID: "a", Class: string(Once), Gateway: 1, Life: 1, First: 100 * ms, Sent: 100 * ms, Patience: time.Second, Ended: 150 * ms}
	served := sending
	served.Status = 200
	ended := sending
	ended.Err = io.EOF
	later := func(s *Sending) { s.First, s.Sent, s.Ended = 9*time.Second, 9*time.Second, 9050*ms }
	for name, c := range map[string]struct {
		rule     Rule // "": none
		change   func(*Sending)
		sending  Sending
		attempts []Attempt
		life     Life
		changes  []Change
		outages  []Outage
	}{
		"served":                    {sending: served, attempts: []Attempt{took(110*ms, 140*ms, 900*ms)}},
		"ended after an attempt":    {rule: Lost, sending: ended, attempts: []Attempt{took(110*ms, 150*ms, 900*ms)}},
		"ended unread":              {sending: ended},
		"ended long after it":       {rule: Lost, sending: ended, change: func(s *Sending) { s.Ended = 500 * ms }},
		"ended twice":               {rule: Lost, sending: ended, change: func(s *Sending) { s.Resent = true }},
		"never reached the gateway": {sending: ended, change: func(s *Sending) { s.Resent, s.Refused = true, true }},
		"never whole":               {sending: ended, change: func(s *Sending) { s.Sent = 0 }},
		"an answer cut":             {rule: Lost, sending: ended, change: func(s *Sending) { s.Began = true }},
		"no answer":                 {rule: Lost, sending: ended, change: func(s *Sending) { s.Err = os.ErrDeadlineExceeded }},
		"a late answer":             {rule: Lost, sending: served, change: func(s *Sending) { s.Ended = 1700 * ms }},
		"killed, early in the stop": {sending: ended, attempts: []Attempt{took(110*ms, 150*ms, 900*ms)},
			life: Life{Stopped: 50 * ms, Killed: 150 * ms}},
		"killed, late in the stop": {rule: Lost, sending: ended, attempts: []Attempt{took(900*ms, 950*ms, 100*ms)},
			change: func(s *Sending) { s.First, s.Sent, s.Ended = 900*ms, 900*ms, 950*ms },
			life:   Life{Stopped: 50 * ms, Killed: 950 * ms}},
		"run twice": {rule: Duplicate, sending: served,
			attempts: []Attempt{took(110*ms, 120*ms, 900*ms), took(130*ms, 140*ms, 900*ms)}},
		"two out at once": {rule: Duplicate, sending: served, change: func(s *Sending) { s.Class, s.Ended = string(Repeatable), 600*ms },
			attempts: []Attempt{took(110*ms, 500*ms, 900*ms), took(130*ms, 140*ms, 900*ms)}},
		"too much time":  {rule: Overtime, sending: served, attempts: []Attempt{took(110*ms, 140*ms, 1300*ms)}},
		"begun too late": {rule: AfterLeft, sending: sending, change: func(s *Sending) { s.Left = true }, attempts: []Attempt{took(400*ms, 500*ms, 500*ms)}},
		"gone":           {sending: sending, change: func(s *Sending) { s.Left = true }, attempts: []Attempt{took(200*ms, 500*ms, 500*ms)}},
		"drained long ago": {rule: Drained, sending: served, change: later, attempts: []Attempt{took(9*time.Second, 9*time.Second, 900*ms)},
			changes: []Change{{Backend: "b", At: time.Second}, {Backend: "b", At: 8 * time.Second}}},
		"drained just now": {sending: served, change: later, attempts: []Attempt{took(9*time.Second, 9*time.Second, 900*ms)},
			changes: []Change{{Backend: "b", At: 7 * time.Second}}},
		"drained, and back": {sending: served, change: later, attempts: []Attempt{took(9*time.Second, 9*time.Second, 900*ms)},
			changes: []Change{{Backend: "b", At: time.Second}, {Backend: "b", At: 2 * time.Second, Ready: true}}},
		"drained unseen": {sending: served, change: later, attempts: []Attempt{took(9*time.Second, 9*time.Second, 900*ms)},
			changes: []Change{{Backend: "b", At: time.Second}}, outages: []Outage{{0, 2 * time.Second}}},
		"killed with no warning": {sending: ended, attempts: []Attempt{took(110*ms, 150*ms, 900*ms)},
			life: Life{Killed: 150 * ms, abrupt: true}},
		"ended badly":   {rule: Crash, sending: served, life: Life{Err: errors.New("exit status 1")}},
		"slow to start": {rule: NotReady, sending: served, life: Life{Ready: 11 * time.Second}},
		"never started": {rule: NotReady, sending: served, life: Life{neverStarted: true}},
	} {
		if c.change != nil {
			c.change(&c.sending)
		}
		c.life.Gateway, c.life.Number = 1, 1
		v := Check(History{Sendings: []Sending{c.sending}, Attempts: c.attempts, Lives: []Life{c.life}, Changes: c.changes,
			Outages: c.outages})
		switch {
		case c.rule == "" && len(v.Faults) > 0, c.rule != "" && len(v.Faults) != 1:
			t.Errorf("%s: %v", name, v.Faults)
		case c.rule != "" && v.Faults[0].Rule != c.rule:
			t.Errorf("%s: found %s", name, v.Faults[0].Rule)
		}
	}
}

// A seed says it all: the same one gives the same plan, another one another.
func TestPlan(t *testing.T) {
	one, same, other := NewPlan(7, time.Minute), NewPlan(7, time.Minute), NewPlan(8, time.Minute)
	if len(one.Stops) == 0 || len(one.Stops) != len(same.Stops) || one.Stops[0].At != same.Stops[0].At || one.Backends != same.Backends {
		t.Errorf("%+v\n%+v", one, same)
	}
	if one.Stops[0].Rest == other.Stops[0].Rest {
		t.Error("two seeds give one plan")
	}
	for seed := range uint64(200) {
		p := NewPlan(seed, 10*time.Second)
		if len(p.Stops) == 0 || p.Hanging < 1 || p.Hanging >= p.Backends {
			t.Errorf("seed %d: %d stops, %d of %d backends hang", seed, len(p.Stops), p.Hanging, p.Backends)
		}
		for _, s := range p.Stops {
			if s.Front < 200*ms || s.Front > 400*ms || s.At+KillAfter(p.Classes) > p.Length {
				t.Errorf("seed %d: %+v", seed, s)
			}
		}
	}
}
