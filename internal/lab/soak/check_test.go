package soak

import (
	"errors"
	"io"
	"os"
	"testing"
	"time"
)

const ms = time.Millisecond

// attemptAt returns an attempt of the request "a" at the backend "b".
func attemptAt(firstByteAt, endedAt, timeout time.Duration) BackendAttempt {
	return BackendAttempt{
		ID:          "a",
		Backend:     "b",
		FirstByteAt: firstByteAt,
		ReceivedAt:  firstByteAt,
		EndedAt:     endedAt,
		Timeout:     timeout,
	}
}

// Client attempts on which the cases of TestCheckFindsEachViolation are based.
var (
	sentAttempt = ClientAttempt{
		ID:            "a",
		Class:         string(NonIdempotent),
		Gateway:       1,
		ProcessNumber: 1,
		FirstByteAt:   100 * ms,
		SentAt:        100 * ms,
		Timeout:       time.Second,
		EndedAt:       150 * ms,
	}
	servedAttempt     = withChange(sentAttempt, func(a *ClientAttempt) { a.Status = 200 })
	unansweredAttempt = withChange(sentAttempt, func(a *ClientAttempt) { a.Err = io.EOF })
)

// withChange returns a changed copy of an attempt.
func withChange(attempt ClientAttempt, change func(*ClientAttempt)) ClientAttempt {
	change(&attempt)
	return attempt
}

// nineSecondsIn changes the times of an attempt so that it begins nine seconds after the start of the run.
func nineSecondsIn(attempt *ClientAttempt) {
	attempt.FirstByteAt = 9 * time.Second
	attempt.SentAt = 9 * time.Second
	attempt.EndedAt = 9050 * ms
}

// checkCase holds the records of one request, and the invariant that they violate.
type checkCase struct {
	violated        Invariant // "": the records violate no invariant
	change          func(*ClientAttempt)
	clientAttempt   ClientAttempt
	backendAttempts []BackendAttempt
	process         Process // the test sets the fields Gateway and Number
	listChanges     []ListChange
	outages         []Outage
	slowDiscovery   bool
	incomplete      []IncompleteRequest
	memoryLimit     int64
}

var checkCases = map[string]checkCase{
	"served": {
		clientAttempt:   servedAttempt,
		backendAttempts: []BackendAttempt{attemptAt(110*ms, 140*ms, 900*ms)},
	},
	"connection ended after an attempt": {
		violated:        LostRequest,
		clientAttempt:   unansweredAttempt,
		backendAttempts: []BackendAttempt{attemptAt(110*ms, 150*ms, 900*ms)},
	},
	"connection closed before the request was read": {
		clientAttempt: unansweredAttempt,
	},
	"connection ended long after the request": {
		violated:      LostRequest,
		clientAttempt: unansweredAttempt,
		change:        func(a *ClientAttempt) { a.EndedAt = 500 * ms },
	},
	"connection ended again after a resend": {
		violated:      LostRequest,
		clientAttempt: unansweredAttempt,
		change:        func(a *ClientAttempt) { a.Resent = true },
	},
	"gateway never reached": {
		clientAttempt: unansweredAttempt,
		change:        func(a *ClientAttempt) { a.Resent, a.TargetDialFailed = true, true },
	},
	"request never complete": {
		clientAttempt: unansweredAttempt,
		change:        func(a *ClientAttempt) { a.SentAt = 0 },
	},
	"answer truncated": {
		violated:      LostRequest,
		clientAttempt: unansweredAttempt,
		change:        func(a *ClientAttempt) { a.ResponseStarted = true },
	},
	"no answer": {
		violated:      LostRequest,
		clientAttempt: unansweredAttempt,
		change:        func(a *ClientAttempt) { a.Err = os.ErrDeadlineExceeded },
	},
	"late answer": {
		violated:      LostRequest,
		clientAttempt: servedAttempt,
		change:        func(a *ClientAttempt) { a.EndedAt = 1700 * ms },
	},
	"SIGKILL after a request early in the stop": {
		clientAttempt:   unansweredAttempt,
		backendAttempts: []BackendAttempt{attemptAt(110*ms, 150*ms, 900*ms)},
		process:         Process{SigtermAt: 50 * ms, SigkillAt: 150 * ms},
	},
	"SIGKILL after a request late in the stop": {
		violated:        LostRequest,
		clientAttempt:   unansweredAttempt,
		change:          func(a *ClientAttempt) { a.FirstByteAt, a.SentAt, a.EndedAt = 900*ms, 900*ms, 950*ms },
		backendAttempts: []BackendAttempt{attemptAt(900*ms, 950*ms, 100*ms)},
		process:         Process{SigtermAt: 50 * ms, SigkillAt: 950 * ms},
	},
	"executed twice": {
		violated:        DuplicateExecution,
		clientAttempt:   servedAttempt,
		backendAttempts: []BackendAttempt{attemptAt(110*ms, 120*ms, 900*ms), attemptAt(130*ms, 140*ms, 900*ms)},
	},
	"two attempts in flight at once": {
		violated:        DuplicateExecution,
		clientAttempt:   servedAttempt,
		change:          func(a *ClientAttempt) { a.Class, a.EndedAt = string(Idempotent), 600*ms },
		backendAttempts: []BackendAttempt{attemptAt(110*ms, 500*ms, 900*ms), attemptAt(130*ms, 140*ms, 900*ms)},
	},
	"timeout too long": {
		violated:        TimeoutTooLong,
		clientAttempt:   servedAttempt,
		backendAttempts: []BackendAttempt{attemptAt(110*ms, 140*ms, 1300*ms)},
	},
	"attempt begun long after the disconnect": {
		violated:        SentAfterDisconnect,
		clientAttempt:   sentAttempt,
		change:          func(a *ClientAttempt) { a.Disconnected = true },
		backendAttempts: []BackendAttempt{attemptAt(400*ms, 500*ms, 500*ms)},
	},
	"attempt begun just after the disconnect": {
		clientAttempt:   sentAttempt,
		change:          func(a *ClientAttempt) { a.Disconnected = true },
		backendAttempts: []BackendAttempt{attemptAt(200*ms, 500*ms, 500*ms)},
	},
	"drained long ago": {
		violated:        SentToDrained,
		clientAttempt:   servedAttempt,
		change:          nineSecondsIn,
		backendAttempts: []BackendAttempt{attemptAt(9*time.Second, 9*time.Second, 900*ms)},
		listChanges:     []ListChange{{Backend: "b", At: time.Second}, {Backend: "b", At: 8 * time.Second}},
	},
	"drained just now": {
		clientAttempt:   servedAttempt,
		change:          nineSecondsIn,
		backendAttempts: []BackendAttempt{attemptAt(9*time.Second, 9*time.Second, 900*ms)},
		listChanges:     []ListChange{{Backend: "b", At: 7 * time.Second}},
	},
	"drained and ready again": {
		clientAttempt:   servedAttempt,
		change:          nineSecondsIn,
		backendAttempts: []BackendAttempt{attemptAt(9*time.Second, 9*time.Second, 900*ms)},
		listChanges:     []ListChange{{Backend: "b", At: time.Second}, {Backend: "b", At: 2 * time.Second, Ready: true}},
	},
	"drained during an outage of discovery": {
		clientAttempt:   servedAttempt,
		change:          nineSecondsIn,
		backendAttempts: []BackendAttempt{attemptAt(9*time.Second, 9*time.Second, 900*ms)},
		listChanges:     []ListChange{{Backend: "b", At: time.Second}},
		outages:         []Outage{{0, 2 * time.Second}},
	},
	"drained long ago, with a slow discovery": {
		violated:        SentToDrained,
		clientAttempt:   servedAttempt,
		change:          nineSecondsIn,
		backendAttempts: []BackendAttempt{attemptAt(9*time.Second, 9*time.Second, 900*ms)},
		listChanges:     []ListChange{{Backend: "b", At: 900 * ms}},
		slowDiscovery:   true,
	},
	"drained just now, with a slow discovery": {
		clientAttempt:   servedAttempt,
		change:          nineSecondsIn,
		backendAttempts: []BackendAttempt{attemptAt(9*time.Second, 9*time.Second, 900*ms)},
		listChanges:     []ListChange{{Backend: "b", At: 1100 * ms}},
		slowDiscovery:   true,
	},
	"SIGKILL with no SIGTERM before": {
		clientAttempt:   unansweredAttempt,
		backendAttempts: []BackendAttempt{attemptAt(110*ms, 150*ms, 900*ms)},
		process:         Process{SigkillAt: 150 * ms, hardKilled: true},
	},
	"process ended with an error": {
		violated:      UnexpectedExit,
		clientAttempt: servedAttempt,
		process:       Process{Err: errors.New("exit status 1")},
	},
	"slow to be ready": {
		violated:      NotReady,
		clientAttempt: servedAttempt,
		process:       Process{ReadyAt: 11 * time.Second},
	},
	"memory within the limit": {
		clientAttempt: servedAttempt,
		process:       Process{PeakMemory: 100},
		memoryLimit:   100,
	},
	"memory over the limit": {
		violated:      OverMemoryLimit,
		clientAttempt: servedAttempt,
		process:       Process{PeakMemory: 101},
		memoryLimit:   100,
	},
	"incomplete request ended in time": {
		clientAttempt: servedAttempt,
		incomplete:    []IncompleteRequest{{ConnectedAt: time.Second, EndedAt: 3900 * ms}},
	},
	"incomplete request ended late": {
		violated:      IncompleteKept,
		clientAttempt: servedAttempt,
		incomplete:    []IncompleteRequest{{ConnectedAt: time.Second, EndedAt: 4200 * ms}},
	},
	"incomplete request not ended": {
		violated:      IncompleteKept,
		clientAttempt: servedAttempt,
		incomplete:    []IncompleteRequest{{ConnectedAt: time.Second}},
	},
	"never ready": {
		violated:      NotReady,
		clientAttempt: servedAttempt,
		process:       Process{neverReady: true},
	},
}

// Check finds the violation in each case with a violated invariant, and no violation in the other cases.
func TestCheckFindsEachViolation(t *testing.T) {
	for name, c := range checkCases {
		t.Run(name, func(t *testing.T) {
			if c.change != nil {
				c.change(&c.clientAttempt)
			}
			c.process.Gateway = 1
			c.process.Number = 1
			verdict := Check(History{
				ClientAttempts:  []ClientAttempt{c.clientAttempt},
				BackendAttempts: c.backendAttempts,
				Processes:       []Process{c.process},
				ListChanges:     c.listChanges,
				Outages:         c.outages,
				SlowDiscovery:   c.slowDiscovery,

				IncompleteRequests: c.incomplete,
				MemoryLimit:        c.memoryLimit,
			})
			switch {
			case c.violated == "" && len(verdict.Violations) > 0, c.violated != "" && len(verdict.Violations) != 1:
				t.Errorf("violations: %v", verdict.Violations)
			case c.violated != "" && verdict.Violations[0].Invariant != c.violated:
				t.Errorf("found a violation of %q", verdict.Violations[0].Invariant)
			}
		})
	}
}
