package soak

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// Invariant names what a gateway broke.
type Invariant string

// The rules that are checked.
const (
	LostRequest         Invariant = "lost"       // a request that was taken got no whole answer in time
	DuplicateExecution  Invariant = "duplicate"  // a request of class Once ran twice, or two attempts were out at once
	TimeoutTooLong      Invariant = "overtime"   // a backend was told more time than the client had left
	SentAfterDisconnect Invariant = "after left" // an attempt began after the client had left
	SentToDrained       Invariant = "drained"    // an attempt began at a backend whose drain had been told long before
	UnexpectedExit      Invariant = "crash"      // a process ended in another way than it was told to
	NotReady            Invariant = "not ready"  // a process took too long to be ready
)

const (
	closeRaceWindow      = 300 * time.Millisecond // a request may cross the close of its connection so far, stalls and proxy included
	disconnectGrace      = 100 * time.Millisecond // attempts may begin so long after the client's close
	timeoutSlack         = 150 * time.Millisecond // over what the client has left
	readyTimeout         = 10 * time.Second
	drainGrace           = 2 * time.Second        // the settings' for drains
	watchDelay           = 300 * time.Millisecond // a watch has told a change by then
	maxNotifyDelay       = 6 * time.Second        // or by then, after a silence of discovery
	overlapTolerance     = 150 * time.Millisecond // two attempts count as out at once from here: the end of one is seen late
	killObservationSlack = 50 * time.Millisecond  // between a kill and what its connections show
)

// Process is one process of a gateway, from its start to its end.
type Process struct {
	Gateway, Number            int
	StartedAt, ReadyAt         time.Duration
	SigtermAt                  time.Duration // SIGTERM; 0: none
	SigkillAt                  time.Duration // SIGKILL; 0: none
	EndedAt                    time.Duration // 0: it never was
	Err                        error         // of the end, unless it was killed
	Log                        string        // the end of it
	signals                    []signalRecord
	killedUnwarned, neverReady bool
}

// signalRecord is one that a process got.
type signalRecord struct {
	At   time.Duration
	Name string
}

// History is all that was recorded in a run.
type History struct {
	ClientAttempts  []ClientAttempt
	BackendAttempts []BackendAttempt
	Processes       []Process
	ListChanges     []ListChange
	Outages         []Outage
}

// ListChange is one of the list of backends.
type ListChange struct {
	Backend string
	At      time.Duration
	Ready   bool // else it drains, or is gone
}

// removalNotifiedAt is when the last change of a backend before a moment counts as told, if that took it out of service.
func (h *History) removalNotifiedAt(backend string, moment time.Duration) (at time.Duration, removed bool) {
	for _, c := range h.ListChanges {
		if c.Backend != backend || c.At > moment {
			continue
		}
		if !c.Ready && removed {
			continue // it was out already
		}
		at, removed = c.At+watchDelay, !c.Ready
		for _, o := range h.Outages {
			// A watch that fell silent then is opened anew only after a while.
			if c.At > o.From-watchDelay && c.At < o.To+maxNotifyDelay {
				at = max(c.At, o.To) + maxNotifyDelay
			}
		}
	}
	return at, removed
}

// Violation is a broken rule with what is known of it.
type Violation struct {
	Invariant       Invariant
	Detail          string
	ClientAttempt   *ClientAttempt // nil where the fault is a process's
	BackendAttempts []BackendAttempt
	Process         *Process
}

// String tells the whole story of a fault, a line an observation.
func (f Violation) String() string {
	text := fmt.Sprintf("%s: %s", f.Invariant, f.Detail)
	if s := f.ClientAttempt; s != nil {
		text += fmt.Sprintf("\n  client: %s %s to gateway %d: bytes %.3f to %.3f, would wait %.3f until %.3f, ended %.3f: status %d, left %t, resent %t, %v",
			s.ID, s.Class, s.Gateway, s.FirstByteAt.Seconds(), s.SentAt.Seconds(), s.Timeout.Seconds(), s.Deadline().Seconds(), s.EndedAt.Seconds(),
			s.Status, s.Disconnected, s.Resent, s.Err)
	}
	for _, a := range f.BackendAttempts {
		text += fmt.Sprintf("\n  backend %s: bytes %.3f to %.3f, told %.3f, ended %.3f, answered %t",
			a.Backend, a.FirstByteAt.Seconds(), a.ReceivedAt.Seconds(), a.Timeout.Seconds(), a.EndedAt.Seconds(), a.Answered)
	}
	if l := f.Process; l != nil {
		text += fmt.Sprintf("\n  process %d of gateway %d: started %.3f, ready %.3f, SIGTERM %.3f, SIGKILL %.3f, ended %.3f: %v",
			l.Number, l.Gateway, l.StartedAt.Seconds(), l.ReadyAt.Seconds(), l.SigtermAt.Seconds(), l.SigkillAt.Seconds(), l.EndedAt.Seconds(), l.Err)
		for _, s := range l.signals {
			text += fmt.Sprintf("\n    %.3f %s", s.At.Seconds(), s.Name)
		}
		if f.ClientAttempt == nil {
			text += "\n  log: " + l.Log
		}
	}
	return text
}

// Verdict is what Check found.
type Verdict struct {
	Violations     []Violation
	ExcusedByKill  int // requests that a stop's SIGKILL found unanswered, and that had come early enough to be excused
	KilledUnwarned int // requests that ended with a process that was killed with no warning
	CloseRaces     int // requests that crossed the close of their connection unread
	Served         int
	Rejected       int // answered 429 or 503
	Failed         int // answered otherwise
	Disconnected   int
}

// checker joins the records of a run.
type checker struct {
	history         History
	backendAttempts map[string][]BackendAttempt // by request
	processes       map[[2]int]*Process         // by gateway and number
	verdict         Verdict
}

// Check finds what broke a rule.
func Check(h History) Verdict {
	c := &checker{history: h, backendAttempts: map[string][]BackendAttempt{}, processes: map[[2]int]*Process{}}
	for _, a := range h.BackendAttempts {
		c.backendAttempts[a.ID] = append(c.backendAttempts[a.ID], a)
	}
	for i := range h.Processes {
		c.processes[[2]int{h.Processes[i].Gateway, h.Processes[i].Number}] = &h.Processes[i]
	}
	checked := map[string]bool{}
	for i := range h.ClientAttempts {
		s := &h.ClientAttempts[i]
		c.checkAnswer(s)
		c.checkAttempts(s)
		if !checked[s.ID] {
			checked[s.ID] = true
			c.checkDuplicates(s)
		}
	}
	for i := range h.Processes {
		c.checkProcess(&h.Processes[i])
	}
	return c.verdict
}

func (c *checker) violation(invariant Invariant, s *ClientAttempt, format string, args ...any) {
	v := Violation{Invariant: invariant, Detail: fmt.Sprintf(format, args...), ClientAttempt: s}
	if s != nil {
		v.BackendAttempts = c.backendAttempts[s.ID]
		v.Process = c.processes[[2]int{s.Gateway, s.ProcessNumber}]
	}
	c.verdict.Violations = append(c.verdict.Violations, v)
}

// attemptsOf returns the attempts that a sending can have brought about.
func (c *checker) attemptsOf(s *ClientAttempt) []BackendAttempt {
	var list []BackendAttempt
	for _, a := range c.backendAttempts[s.ID] {
		if a.FirstByteAt >= s.FirstByteAt && (s.EndedAt == 0 || s.Disconnected || a.FirstByteAt <= s.EndedAt) {
			list = append(list, a)
		}
	}
	return list
}

// checkAnswer checks the one final answer.
func (c *checker) checkAnswer(s *ClientAttempt) {
	process := c.processes[[2]int{s.Gateway, s.ProcessNumber}]
	switch {
	case s.Disconnected:
		c.verdict.Disconnected++
	case s.SentAt == 0, s.Unreached: // it never was whole, or never reached a gateway
	case s.Status == 200:
		c.verdict.Served++
		c.checkDeadline(s)
	case s.Status == 429, s.Status == 503:
		c.verdict.Rejected++
		c.checkDeadline(s)
	case s.Status != 0:
		c.verdict.Failed++
		c.checkDeadline(s)
	case process != nil && process.killedUnwarned && s.EndedAt >= process.SigkillAt-killObservationSlack: // it owes nothing
		c.verdict.KilledUnwarned++
	case process != nil && process.SigkillAt > 0 && s.EndedAt >= process.SigkillAt-killObservationSlack && s.SentAt <= process.SigtermAt+KillDelay:
		c.verdict.ExcusedByKill++
	case len(c.attemptsOf(s)) > 0:
		c.violation(LostRequest, s, "a request that had been sent to a backend got no whole answer")
	case s.AnswerStarted:
		c.violation(LostRequest, s, "an answer was cut")
	case isTimeout(s.Err):
		c.violation(LostRequest, s, "no answer came by %s after the client's time", lateAnswerLimit)
	case s.EndedAt-s.SentAt > closeRaceWindow:
		c.violation(LostRequest, s, "the connection ended %.3f s after the request was whole", (s.EndedAt - s.SentAt).Seconds())
	case s.Resent:
		c.violation(LostRequest, s, "the second connection ended with no answer as well")
	default:
		c.verdict.CloseRaces++
	}
}

func (c *checker) checkDeadline(s *ClientAttempt) {
	if late := s.EndedAt - s.Deadline(); late > lateAnswerLimit+timingMargin {
		c.violation(LostRequest, s, "the answer came %.3f s after the client's time", late.Seconds())
	}
}

// checkAttempts checks when attempts began, and what time they told.
func (c *checker) checkAttempts(s *ClientAttempt) {
	for _, a := range c.attemptsOf(s) {
		if s.Disconnected && a.FirstByteAt > s.EndedAt+disconnectGrace+timingMargin {
			c.violation(SentAfterDisconnect, s, "an attempt began %.3f s after the client had left", (a.FirstByteAt - s.EndedAt).Seconds())
		}
		if notifiedAt, removed := c.history.removalNotifiedAt(a.Backend, a.FirstByteAt); removed && a.FirstByteAt > notifiedAt+drainGrace+timingMargin {
			c.violation(SentToDrained, s, "an attempt began %.3f s after the drain of %s was told", (a.FirstByteAt - notifiedAt).Seconds(), a.Backend)
		}
		if remaining := s.Deadline() - a.FirstByteAt; s.SentAt > 0 && a.Timeout > remaining+timeoutSlack+timingMargin {
			c.violation(TimeoutTooLong, s, "a backend was told %.3f s when %.3f were left", a.Timeout.Seconds(), remaining.Seconds())
		}
	}
}

// checkDuplicates checks that a request of class Once ran once, and none had two attempts out.
func (c *checker) checkDuplicates(s *ClientAttempt) {
	list := slices.Clone(c.backendAttempts[s.ID])
	slices.SortFunc(list, func(a, b BackendAttempt) int { return cmp.Compare(a.ReceivedAt, b.ReceivedAt) })
	if s.Class == string(NonIdempotent) && len(list) > 1 {
		c.violation(DuplicateExecution, s, "it ran %d times", len(list))
	}
	for i := 1; i < len(list); i++ {
		if before := list[i-1]; before.EndedAt == 0 || before.EndedAt > list[i].ReceivedAt+overlapTolerance {
			c.violation(DuplicateExecution, s, "two attempts were out at once")
		}
	}
}

func (c *checker) checkProcess(p *Process) {
	switch {
	case p.neverReady:
		c.verdict.Violations = append(c.verdict.Violations, Violation{Invariant: NotReady, Detail: "the process did not become ready", Process: p})
	case p.ReadyAt-p.StartedAt > readyTimeout:
		c.verdict.Violations = append(c.verdict.Violations, Violation{Invariant: NotReady, Detail: fmt.Sprintf("ready after %.1f s", (p.ReadyAt - p.StartedAt).Seconds()), Process: p})
	}
	if p.SigkillAt == 0 && p.Err != nil {
		c.verdict.Violations = append(c.verdict.Violations, Violation{Invariant: UnexpectedExit, Detail: "the process ended by itself with an error", Process: p})
	}
}
