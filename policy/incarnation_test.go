package policy

import "testing"

// A new process of a backend is recognized by another start time, later or earlier, and begins a slow start of its own. A
// start time in the future, or one before that of the process that was known, doesn't move the slow start to that time.
func TestSlowStartOfNewProcess(t *testing.T) {
	const now = 100.0
	for _, c := range []struct {
		name          string
		known         float64 // start time of the known process
		lastSuccessAt float64 // of the known process
		startedAt     float64 // start time in the next list
		wantFrom      float64 // time from which on the slow start counts
		wantNew       bool
	}{
		{"the same process", 50, 90, 50, 50, false},
		{"long ago, which says nothing", 50, 90, 0, 50, false},
		{"a later start", 50, 90, 97, 97, true},
		{"a later start, told late", 50, 60, 70, 70, true},
		{"the first known start", 0, 90, 97, 97, true},
		{"a start in the future", 50, 90, 3700, now, true},
		{"a clock set back, the old process served just now", 99, 99.5, 99 - 3600, 99.5, true},
		{"a clock set back, nothing served lately", 50, 60, 50 - 3600, now - maxNotifyDelay, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			known, next := readyBackend(1), readyBackend(1)
			known.StartedAt, next.StartedAt = c.known, c.startedAt
			d := startEngine(t, testSettings(), known)
			b := d.engine.backends.byID[1]
			b.recordFailure(now)
			b.recordFailure(now)
			b.latency = 3
			b.lastSuccessAt = c.lastSuccessAt
			d.now = now
			d.handle(EndpointsUpdated{Kind: DeltaList, Entries: []Backend{next}})
			if b.slowStartFrom != c.wantFrom {
				t.Errorf("the slow start counts from %v, want %v", b.slowStartFrom, c.wantFrom)
			}
			if forgotten := b.failureRate == 0 && b.latency == 0 && b.lastSuccessAt == 0 && b.trialInterval == 0; forgotten != c.wantNew {
				t.Errorf("the old process's health was forgotten %t, want %t: %+v", forgotten, c.wantNew, b)
			}
		})
	}
}

// What ends after a new process has come up, but was sent to the old one, says nothing about the new one: neither failures
// nor work that may still run count at the new process.
func TestAttemptsOfOldProcessDoNotCountForNewOne(t *testing.T) {
	for _, outcome := range []Outcome{ConnectionReset, Failed, TimedOut, Cancelled, Rejected} {
		t.Run(outcome.String(), func(t *testing.T) {
			first := readyBackend(1)
			first.StartedAt = 50
			d := startEngine(t, testSettings(), first)
			b := d.engine.backends.byID[1]
			abandoned := d.sendRequest(0, 1, 1)
			open := d.sendRequest(0, 1, 1)
			if b.inFlight != 2 {
				t.Fatalf("%d attempts in flight, want 2", b.inFlight)
			}
			d.now++
			d.handle(AttemptEnded{Request: abandoned, Backend: 1, Outcome: TimedOut, RequestOver: true})
			second := first
			second.StartedAt = d.now
			d.handle(EndpointsUpdated{Kind: DeltaList, Entries: []Backend{second}})
			if b.inFlight != 1 || len(b.abandoned) != 0 {
				t.Errorf("%d in flight, %d abandoned at the new process, want 1 and 0", b.inFlight, len(b.abandoned))
			}
			d.handle(AttemptEnded{Request: open, Backend: 1, Outcome: outcome, RequestOver: true})
			if b.failureRate != 0 || b.consecutiveTimeouts != 0 || b.inFlight != 0 || b.latency != 0 {
				t.Errorf("the new process has failure rate %v, %d timeouts, %d in flight, latency %v", b.failureRate,
					b.consecutiveTimeouts, b.inFlight, b.latency)
			}
		})
	}
}
