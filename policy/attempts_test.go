package policy

import "testing"

func TestKeyedRepeatStaysInItsCellAndEndsInFailure(t *testing.T) {
	d := start(t, testSettings(), some(6)...)
	id := d.ask(1, 1, 1)
	first := one[SendAttempt](t, d.last)
	d.now += 0.05
	out := d.handle(AttemptEnded{Request: id, Backend: first.Backend, Outcome: Failed, Latency: 0.05})
	second := one[SendAttempt](t, out)
	if first.Backend/2 != second.Backend/2 {
		t.Errorf("repeat went from backend %d to %d, another cell", first.Backend, second.Backend)
	}
	d.now += 0.9
	out = d.handle(timerFired(answerDeadlineTimer, id))
	if len(find[Reject](out)) > 0 {
		t.Error("refused a keyed request that may have run")
	}
	one[FailRequest](t, out)
}

// A repeat may have to wait for its connection: it must arrive within the window
// even so.
func TestKeyedRepeatArrivesWithinItsWindow(t *testing.T) {
	for _, c := range []struct {
		after float64
		again bool
	}{{0.19, true}, {0.21, false}} {
		set := testSettings()
		set.ConnectTimeout, set.Classes[1].DedupeWindow = 0.3, 0.5
		d := start(t, set, some(6)...)
		id := d.ask(1, 1, 1)
		first := one[SendAttempt](t, d.last)
		d.now += c.after
		out := d.handle(AttemptEnded{Request: id, Backend: first.Backend, Outcome: Failed, Latency: c.after})
		if got := len(find[SendAttempt](out)) == 1; got != c.again {
			t.Errorf("%g s after the first send: sent again %t", c.after, got)
		}
	}
}

func TestOnceIsRepeatedOnlyAfterProof(t *testing.T) {
	set := testSettings()
	set.Classes[0].Idempotency = NonIdempotent
	for _, c := range []struct {
		how  Outcome
		more bool
	}{{Rejected, true}, {ConnectFailed, true}, {Failed, false}, {ConnectionReset, false}, {TimedOut, false}} {
		d := start(t, set, some(4)...)
		id := d.ask(0, 1, 1)
		first := one[SendAttempt](t, d.last)
		out := d.handle(AttemptEnded{Request: id, Backend: first.Backend, Outcome: c.how, Latency: 0.01})
		if got := len(find[SendAttempt](out)) == 1; got != c.more {
			t.Errorf("outcome %v: another attempt %v, want %v", c.how, got, c.more)
		}
		if !c.more && len(find[FailRequest](out)) != 1 {
			t.Errorf("outcome %v: not failed: %v", c.how, out)
		}
	}
}

func TestGivenUpAttemptsStayCounted(t *testing.T) {
	set := testSettings()
	set.MaxAttempts = 1
	d := start(t, set, some(1)...)
	d.g.limiter.limit, d.g.latency.mean = 3.4, 0.5
	for i := range 3 {
		d.ask(0, 1, CustomerID(i))
		s := one[SendAttempt](t, d.last)
		d.now += 0.1
		d.handle(AttemptEnded{Request: s.Request, Backend: 1, Outcome: TimedOut, Latency: 0.1})
	}
	d.ask(0, 1, 9)
	if n := len(find[SendAttempt](d.last)); n > 0 {
		t.Error("a timed-out attempt made room although its backend may still work on it")
	}
}

func TestRetriesCannotAmplifyAnOutage(t *testing.T) {
	d := start(t, testSettings(), some(8)...)
	d.g.limiter.limit = 1000
	sends := 0
	for i := range 400 {
		d.now += 0.05
		d.ask(0, 1, CustomerID(i))
		todo := d.last
		for len(todo) > 0 {
			for _, s := range find[SendAttempt](todo[:1]) {
				sends++
				n := len(d.g.requests[s.Request].attempts) - 1
				todo = append(todo, d.handle(AttemptEnded{Request: s.Request, Attempt: n, Backend: s.Backend, Outcome: Failed,
					Latency: 0.001})...)
			}
			todo = todo[1:]
		}
	}
	if limit := 400*(1+retryShare) + maxRetryTokens + 1; float64(sends) > limit {
		t.Errorf("%d sends for 400 requests that all fail, want %v at most", sends, limit)
	}
}
