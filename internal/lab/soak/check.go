package soak

import (
	"cmp"
	"fmt"
	"net/http"
	"slices"
	"time"
)

// Limits of time that gateways are held to. timingMargin is added to those that are measured over sockets.
const (
	// closeRaceWindow is how long after it was sent a request may cross the close of its connection, pauses and the
	// proxy's delays included.
	closeRaceWindow = 300 * time.Millisecond

	// disconnectGrace is how long after its client's close an attempt may still begin.
	disconnectGrace = 100 * time.Millisecond

	// timeoutSlack is by how much a timeout sent to a backend may exceed what the client has left.
	timeoutSlack = 150 * time.Millisecond

	// readyTimeout is how long after its start a process must be ready.
	readyTimeout = 10 * time.Second

	// drainGrace is how long after the notification of a drain an attempt may still begin. The settings of the gateways
	// state it too.
	drainGrace = 2 * time.Second

	// overlapTolerance is by how much two attempts may overlap, since the end of one is seen late.
	overlapTolerance = 150 * time.Millisecond

	// killObservationSlack is how long before the recorded SIGKILL its connections may be seen to end.
	killObservationSlack = 50 * time.Millisecond
)

// Verdict is what Check found. Each request that was sent completely and reached a gateway counts in one of the numbers
// or has a violation.
type Verdict struct {
	Violations     []Violation
	ExcusedByKill  int // requests without an answer at a stop's SIGKILL, sent early enough to be excused
	KilledUnwarned int // requests that ended with a process that got SIGKILL with no SIGTERM before
	CloseRaces     int // requests that crossed the close of their connection unread
	Served         int // answered 200
	Rejected       int // answered 429 or 503
	Failed         int // answered otherwise
	Disconnected   int // the client disconnected
}

// processID identifies a process among all gateways'.
type processID struct {
	gateway int
	number  int
}

// checker joins the records of a run.
type checker struct {
	history         History
	backendAttempts map[string][]BackendAttempt // by request id
	processes       map[processID]*Process
	verdict         Verdict
}

// Check finds the violations in what was recorded of a run.
func Check(history History) Verdict {
	c := newChecker(history)
	duplicatesChecked := map[string]bool{}
	for i := range history.ClientAttempts {
		attempt := &history.ClientAttempts[i]
		c.checkResponse(attempt)
		c.checkBackendAttempts(attempt)
		if !duplicatesChecked[attempt.ID] {
			duplicatesChecked[attempt.ID] = true
			c.checkDuplicates(attempt)
		}
	}
	for i := range history.Processes {
		c.checkProcess(&history.Processes[i])
	}
	return c.verdict
}

func newChecker(history History) *checker {
	c := &checker{
		history:         history,
		backendAttempts: map[string][]BackendAttempt{},
		processes:       map[processID]*Process{},
	}
	for _, attempt := range history.BackendAttempts {
		c.backendAttempts[attempt.ID] = append(c.backendAttempts[attempt.ID], attempt)
	}
	for i := range history.Processes {
		process := &history.Processes[i]
		c.processes[processID{process.Gateway, process.Number}] = process
	}
	return c
}

// processOf returns the process that a client was connected to, nil if it is not known.
func (c *checker) processOf(attempt *ClientAttempt) *Process {
	return c.processes[processID{attempt.Gateway, attempt.ProcessNumber}]
}

// backendAttemptsOf returns the backends' attempts that a client's attempt can have caused.
func (c *checker) backendAttemptsOf(attempt *ClientAttempt) []BackendAttempt {
	var caused []BackendAttempt
	for _, b := range c.backendAttempts[attempt.ID] {
		beforeEnd := attempt.EndedAt == 0 || attempt.Disconnected || b.FirstByteAt <= attempt.EndedAt
		if b.FirstByteAt >= attempt.FirstByteAt && beforeEnd {
			caused = append(caused, b)
		}
	}
	return caused
}

// addViolation adds a violation that a client's attempt shows.
func (c *checker) addViolation(invariant Invariant, attempt *ClientAttempt, format string, args ...any) {
	c.verdict.Violations = append(c.verdict.Violations, Violation{
		Invariant:       invariant,
		Detail:          fmt.Sprintf(format, args...),
		ClientAttempt:   attempt,
		BackendAttempts: c.backendAttempts[attempt.ID],
		Process:         c.processOf(attempt),
	})
}

// addProcessViolation adds a violation that a process shows.
func (c *checker) addProcessViolation(invariant Invariant, process *Process, detail string) {
	violation := Violation{Invariant: invariant, Detail: detail, Process: process}
	c.verdict.Violations = append(c.verdict.Violations, violation)
}

// checkResponse checks that an attempt got its one final answer in time, and counts what became of it.
func (c *checker) checkResponse(attempt *ClientAttempt) {
	switch {
	case attempt.Disconnected:
		c.verdict.Disconnected++
	case attempt.SentAt == 0 || attempt.TargetDialFailed:
		// The request never was complete, or never reached a gateway: no answer is due.
	case attempt.Status != 0:
		c.countResponse(attempt.Status)
		c.checkResponseTime(attempt)
	default:
		c.checkMissingResponse(attempt)
	}
}

func (c *checker) countResponse(status int) {
	switch status {
	case http.StatusOK:
		c.verdict.Served++
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		c.verdict.Rejected++
	default:
		c.verdict.Failed++
	}
}

// checkResponseTime checks that a complete answer came in time.
func (c *checker) checkResponseTime(attempt *ClientAttempt) {
	if late := attempt.EndedAt - attempt.Deadline(); late > lateResponseLimit+timingMargin {
		c.addViolation(LostRequest, attempt, "the answer came %.3f s after the client's time", late.Seconds())
	}
}

// checkMissingResponse judges an attempt without a complete answer. What a SIGKILL or the close of an idle connection
// excuses is counted; all else is a lost request.
func (c *checker) checkMissingResponse(attempt *ClientAttempt) {
	process := c.processOf(attempt)
	switch {
	case endedByKill(attempt, process) && process.hardKilled: // such a process owes no answer
		c.verdict.KilledUnwarned++
	case endedByKill(attempt, process) && attempt.SentAt <= process.SigtermAt+KillDelay:
		c.verdict.ExcusedByKill++
	case len(c.backendAttemptsOf(attempt)) > 0:
		c.addViolation(LostRequest, attempt, "a request that had been sent to a backend got no whole answer")
	case attempt.ResponseStarted:
		c.addViolation(LostRequest, attempt, "an answer was cut")
	case isTimeout(attempt.Err):
		c.addViolation(LostRequest, attempt, "no answer came by %s after the client's time", lateResponseLimit)
	case attempt.EndedAt-attempt.SentAt > closeRaceWindow:
		c.addViolation(LostRequest, attempt, "the connection ended %.3f s after the request was whole",
			(attempt.EndedAt - attempt.SentAt).Seconds())
	case attempt.Resent:
		c.addViolation(LostRequest, attempt, "the second connection ended with no answer as well")
	default:
		c.verdict.CloseRaces++
	}
}

// endedByKill tells whether the attempt's connection ended with the SIGKILL of its process.
func endedByKill(attempt *ClientAttempt, process *Process) bool {
	return process != nil && process.SigkillAt > 0 && attempt.EndedAt >= process.SigkillAt-killObservationSlack
}

// checkBackendAttempts checks when the backends' attempts began, and which timeout they were sent with.
func (c *checker) checkBackendAttempts(attempt *ClientAttempt) {
	for _, b := range c.backendAttemptsOf(attempt) {
		if attempt.Disconnected && b.FirstByteAt > attempt.EndedAt+disconnectGrace+timingMargin {
			c.addViolation(SentAfterDisconnect, attempt, "an attempt began %.3f s after the client had left",
				(b.FirstByteAt - attempt.EndedAt).Seconds())
		}
		notifiedAt, removed := c.history.removalNotifiedAt(b.Backend, b.FirstByteAt)
		if removed && b.FirstByteAt > notifiedAt+drainGrace+timingMargin {
			c.addViolation(SentToDrained, attempt, "an attempt began %.3f s after the drain of %s was told",
				(b.FirstByteAt - notifiedAt).Seconds(), b.Backend)
		}
		remaining := attempt.Deadline() - b.FirstByteAt
		if attempt.SentAt > 0 && b.Timeout > remaining+timeoutSlack+timingMargin {
			c.addViolation(TimeoutTooLong, attempt, "a backend was told %.3f s when %.3f were left",
				b.Timeout.Seconds(), remaining.Seconds())
		}
	}
}

// checkDuplicates checks that a non-idempotent request ran at most once, and that no request had two attempts in flight
// at once.
func (c *checker) checkDuplicates(attempt *ClientAttempt) {
	executions := slices.Clone(c.backendAttempts[attempt.ID])
	slices.SortFunc(executions, func(a, b BackendAttempt) int { return cmp.Compare(a.ReceivedAt, b.ReceivedAt) })
	if attempt.Class == string(NonIdempotent) && len(executions) > 1 {
		c.addViolation(DuplicateExecution, attempt, "it ran %d times", len(executions))
	}
	for i := 1; i < len(executions); i++ {
		previous := executions[i-1]
		if previous.EndedAt == 0 || previous.EndedAt > executions[i].ReceivedAt+overlapTolerance {
			c.addViolation(DuplicateExecution, attempt, "two attempts were out at once")
		}
	}
}

// checkProcess checks the start and the end of a process.
func (c *checker) checkProcess(process *Process) {
	startup := process.ReadyAt - process.StartedAt
	switch {
	case process.neverReady:
		c.addProcessViolation(NotReady, process, "the process did not become ready")
	case startup > readyTimeout:
		c.addProcessViolation(NotReady, process, fmt.Sprintf("ready after %.1f s", startup.Seconds()))
	}
	if process.SigkillAt == 0 && process.Err != nil {
		c.addProcessViolation(UnexpectedExit, process, "the process ended by itself with an error")
	}
}
