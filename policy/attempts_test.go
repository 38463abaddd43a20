package policy

import "testing"

func TestKeyedRetryStaysInItsCellAndEndsInFailure(t *testing.T) {
	d := startEngine(t, testSettings(), readyBackends(6)...)
	id := d.sendRequest(1, 1, 1)
	first := onlyAction[SendAttempt](t, d.lastActions)
	d.now += 0.05
	out := d.handle(AttemptEnded{Request: id, Backend: first.Backend, Outcome: Failed, Latency: 0.05})
	second := onlyAction[SendAttempt](t, out)
	if first.Backend/2 != second.Backend/2 {
		t.Errorf("the first attempt was at backend %d, and its retry at %d in another cell", first.Backend, second.Backend)
	}
	d.now += 0.9
	out = d.handle(timerFired(answerDeadlineTimer, id))
	if len(actionsOf[Reject](out)) > 0 {
		t.Error("rejected a keyed request that may have been executed")
	}
	onlyAction[FailRequest](t, out)
}

// A keyed retry must reach its backend within the dedupe window even if the retry has to wait for a connection.
func TestKeyedRetryArrivesWithinItsDedupeWindow(t *testing.T) {
	for _, c := range []struct {
		after   float64 // seconds since the first attempt
		retried bool
	}{{0.19, true}, {0.21, false}} {
		set := testSettings()
		set.ConnectTimeout = 0.3
		set.Classes[1].DedupeWindow = 0.5
		d := startEngine(t, set, readyBackends(6)...)
		id := d.sendRequest(1, 1, 1)
		first := onlyAction[SendAttempt](t, d.lastActions)
		d.now += c.after
		out := d.handle(AttemptEnded{Request: id, Backend: first.Backend, Outcome: Failed, Latency: c.after})
		if got := len(actionsOf[SendAttempt](out)) == 1; got != c.retried {
			t.Errorf("%g s after the first attempt: retried %t", c.after, got)
		}
	}
}

func TestNonIdempotentIsRetriedOnlyAfterProofOfNoExecution(t *testing.T) {
	set := testSettings()
	set.Classes[0].Idempotency = NonIdempotent
	for _, c := range []struct {
		outcome Outcome
		retried bool
	}{{Rejected, true}, {ConnectFailed, true}, {Failed, false}, {ConnectionReset, false}, {TimedOut, false}} {
		t.Run(c.outcome.String(), func(t *testing.T) {
			d := startEngine(t, set, readyBackends(4)...)
			id := d.sendRequest(0, 1, 1)
			first := onlyAction[SendAttempt](t, d.lastActions)
			out := d.handle(AttemptEnded{Request: id, Backend: first.Backend, Outcome: c.outcome, Latency: 0.01})
			if got := len(actionsOf[SendAttempt](out)) == 1; got != c.retried {
				t.Errorf("retried: %v, want %v", got, c.retried)
			}
			if !c.retried && len(actionsOf[FailRequest](out)) != 1 {
				t.Errorf("want one FailRequest, got %v", out)
			}
		})
	}
}

func TestAbandonedAttemptsStayCounted(t *testing.T) {
	set := testSettings()
	set.MaxAttempts = 1
	d := startEngine(t, set, readyBackends(1)...)
	d.engine.limiter.limit = 3.4
	d.engine.latency.mean = 0.5
	for i := range 3 {
		d.sendRequest(0, 1, CustomerID(i))
		s := onlyAction[SendAttempt](t, d.lastActions)
		d.now += 0.1
		d.handle(AttemptEnded{Request: s.Request, Backend: 1, Outcome: TimedOut, Latency: 0.1})
	}
	d.sendRequest(0, 1, 9)
	if n := len(actionsOf[SendAttempt](d.lastActions)); n > 0 {
		t.Error("a timed-out attempt freed capacity although its backend may still be executing it")
	}
}

func TestRetriesCannotAmplifyAnOutage(t *testing.T) {
	d := startEngine(t, testSettings(), readyBackends(8)...)
	d.engine.limiter.limit = 1000
	sends := 0
	for i := range 400 {
		d.now += 0.05
		d.sendRequest(0, 1, CustomerID(i))
		d.endAttempts(d.lastActions, func(SendAttempt) AttemptEnded {
			sends++
			return AttemptEnded{Outcome: Failed, Latency: 0.001}
		})
	}
	if limit := 400*(1+retryShare) + maxRetryTokens + 1; float64(sends) > limit {
		t.Errorf("%d attempts for 400 requests that all fail, want at most %v", sends, limit)
	}
}
