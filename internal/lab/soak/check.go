package soak

import (
	"cmp"
	"fmt"
	"net/http"
	"slices"
	"time"
)

// Limits and tolerances of the checks. Check adds timingMargin to disconnectGrace, timeoutSlack and drainGrace, which
// are measured over sockets.
const (
	// closeRaceWindow is the longest time from sending a request to the end of its connection in a close race. In a
	// close race, the request is sent while the gateway is closing the idle connection. The window allows for pauses of
	// the process and for the delays of the proxy.
	closeRaceWindow = 300 * time.Millisecond

	// disconnectGrace is the time after a client's disconnect during which an attempt of the client's request may still
	// begin.
	disconnectGrace = 100 * time.Millisecond

	// timeoutSlack is the largest excess of the timeout sent to a backend over the time left until the client's
	// deadline.
	timeoutSlack = 150 * time.Millisecond

	// readyTimeout is the longest time that a process may take from its start until it is ready.
	readyTimeout = 10 * time.Second

	// drainGrace is the time during which an attempt at a draining backend may still begin, counted from the
	// notification of the gateways. The settings of the gateways contain the same time.
	drainGrace = 2 * time.Second

	// overlapTolerance is the longest permitted overlap of two attempts of a request in the backends' records. The
	// records may overlap because a backend notices the end of an attempt late.
	overlapTolerance = 150 * time.Millisecond

	// killObservationSlack is the longest time by which a client's record of the end of a connection may precede the
	// record of the SIGKILL that ended the connection.
	killObservationSlack = 50 * time.Millisecond
)

// Verdict is the result of Check. It counts the client attempts that were sent completely and reached a gateway, each
// in one field. An attempt without a complete response and without an excuse is not counted, but has a violation.
type Verdict struct {
	Violations    []Violation
	ExcusedByKill int // requests that a SIGKILL ended and that were sent at most KillDelay after SIGTERM
	HardKilled    int // requests ended by a hard kill (see Stop)
	CloseRaces    int // requests that the gateway never read, since it was closing the idle connection
	Served        int // requests answered with status 200
	Rejected      int // requests answered with status 429 or 503
	Failed        int // requests answered with another status
	Disconnected  int // requests whose client disconnected
	Incomplete    int // requests of bad clients, which the other fields don't count
	Hostile       int // connections of hostile clients
	HostileKept   int // those of Hostile that were owed an error or a close and got neither in time
}

// processID identifies a process of any gateway by the gateway's number and the process's number.
type processID struct {
	gateway int
	number  int
}

// checker joins the records of a run and collects the verdict.
type checker struct {
	history         History
	backendAttempts map[string][]BackendAttempt // backend attempts by request id
	processes       map[processID]*Process
	verdict         Verdict
}

// Check searches the records of a run for violations of the invariants.
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
	for _, record := range history.IncompleteRequests {
		c.checkIncomplete(record)
	}
	for i := range history.HostileExchanges {
		c.checkHostile(&history.HostileExchanges[i])
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

// processOf returns the process that the attempt's connection was made to, or nil if the process is not known.
func (c *checker) processOf(attempt *ClientAttempt) *Process {
	return c.processes[processID{attempt.Gateway, attempt.ProcessNumber}]
}

// backendAttemptsOf returns the backend attempts that a client attempt may have caused: those of the same request that
// began after the client attempt began and, unless the client disconnected, before the client attempt ended.
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

// addViolation adds a violation found in a client attempt.
func (c *checker) addViolation(invariant Invariant, attempt *ClientAttempt, format string, args ...any) {
	c.verdict.Violations = append(c.verdict.Violations, Violation{
		Invariant:       invariant,
		Detail:          fmt.Sprintf(format, args...),
		ClientAttempt:   attempt,
		BackendAttempts: c.backendAttempts[attempt.ID],
		Process:         c.processOf(attempt),
	})
}

// addProcessViolation adds a violation found in the record of a process.
func (c *checker) addProcessViolation(invariant Invariant, process *Process, detail string) {
	violation := Violation{Invariant: invariant, Detail: detail, Process: process}
	c.verdict.Violations = append(c.verdict.Violations, violation)
}

// checkResponse checks that an attempt got a complete response in time, and counts the outcome.
func (c *checker) checkResponse(attempt *ClientAttempt) {
	switch {
	case attempt.Disconnected:
		c.verdict.Disconnected++
	case attempt.SentAt == 0 || attempt.TargetDialFailed:
		// No response is due: the request was not sent completely, or never reached a gateway.
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

// checkResponseTime checks that a complete response came at most lateResponseLimit after the client's deadline.
func (c *checker) checkResponseTime(attempt *ClientAttempt) {
	if late := attempt.EndedAt - attempt.Deadline(); late > lateResponseLimit+timingMargin {
		c.addViolation(LostRequest, attempt, "the response came %.3f s after the client's deadline", late.Seconds())
	}
}

// checkMissingResponse classifies an attempt without a complete response. A hard kill excuses the missing response. A
// SIGKILL after SIGTERM excuses it if the request was sent at most KillDelay after SIGTERM. A close race (see
// closeRaceWindow) excuses it too. The verdict has a count for each of these excuses. Without an excuse, the attempt is
// reported as a lost request.
func (c *checker) checkMissingResponse(attempt *ClientAttempt) {
	process := c.processOf(attempt)
	switch {
	case endedByKill(attempt, process) && process.hardKilled: // a hard kill excuses any missing response
		c.verdict.HardKilled++
	case endedByKill(attempt, process) && attempt.SentAt <= process.SigtermAt+KillDelay:
		c.verdict.ExcusedByKill++
	case len(c.backendAttemptsOf(attempt)) > 0:
		c.addViolation(LostRequest, attempt, "a request that had been sent to a backend got no complete response")
	case attempt.ResponseStarted:
		c.addViolation(LostRequest, attempt, "a response was truncated")
	case isTimeout(attempt.Err):
		c.addViolation(LostRequest, attempt, "no response came within %s after the client's deadline", lateResponseLimit)
	case attempt.EndedAt-attempt.SentAt > closeRaceWindow:
		c.addViolation(LostRequest, attempt, "the connection ended %.3f s after the request was complete",
			(attempt.EndedAt - attempt.SentAt).Seconds())
	case attempt.Resent:
		c.addViolation(LostRequest, attempt, "the connection of the resend ended without a response as well")
	default:
		c.verdict.CloseRaces++
	}
}

// endedByKill reports whether the attempt ended after the SIGKILL of its process, or at most killObservationSlack before
// the SIGKILL.
func endedByKill(attempt *ClientAttempt, process *Process) bool {
	return process != nil && process.SigkillAt > 0 && attempt.EndedAt >= process.SigkillAt-killObservationSlack
}

// checkBackendAttempts checks the times at which the backend attempts began, and the timeouts sent with them.
func (c *checker) checkBackendAttempts(attempt *ClientAttempt) {
	for _, b := range c.backendAttemptsOf(attempt) {
		if attempt.Disconnected && b.FirstByteAt > attempt.EndedAt+disconnectGrace+timingMargin {
			c.addViolation(SentAfterDisconnect, attempt, "an attempt began %.3f s after the client had disconnected",
				(b.FirstByteAt - attempt.EndedAt).Seconds())
		}
		notifiedAt, removed := c.history.removalNotifiedAt(b.Backend, b.FirstByteAt)
		if removed && b.FirstByteAt > notifiedAt+drainGrace+timingMargin {
			c.addViolation(SentToDrained, attempt, "an attempt began %.3f s after gateways were notified of the drain of %s",
				(b.FirstByteAt - notifiedAt).Seconds(), b.Backend)
		}
		remaining := attempt.Deadline() - b.FirstByteAt
		if attempt.SentAt > 0 && b.Timeout > remaining+timeoutSlack+timingMargin {
			c.addViolation(TimeoutTooLong, attempt, "a backend got a timeout of %.3f s when the client had %.3f s left",
				b.Timeout.Seconds(), remaining.Seconds())
		}
	}
}

// checkDuplicates checks that a non-idempotent request was executed at most once, and that no request had two attempts
// in flight at the same time.
func (c *checker) checkDuplicates(attempt *ClientAttempt) {
	executions := slices.Clone(c.backendAttempts[attempt.ID])
	slices.SortFunc(executions, func(a, b BackendAttempt) int { return cmp.Compare(a.ReceivedAt, b.ReceivedAt) })
	if attempt.Class == string(NonIdempotent) && len(executions) > 1 {
		c.addViolation(DuplicateExecution, attempt, "the request was executed %d times", len(executions))
	}
	for i := 1; i < len(executions); i++ {
		previous := executions[i-1]
		if previous.EndedAt == 0 || previous.EndedAt > executions[i].ReceivedAt+overlapTolerance {
			c.addViolation(DuplicateExecution, attempt, "two attempts were in flight at the same time")
		}
	}
}

// checkProcess checks that a process became ready in time and did not end by itself with an error.
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
	if limit := c.history.MemoryLimit; limit > 0 && process.PeakMemory > limit {
		detail := fmt.Sprintf("the process used %d bytes of memory, with a limit of %d", process.PeakMemory, limit)
		c.addProcessViolation(OverMemoryLimit, process, detail)
	}
}
