package soak

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// Rule names what a gateway broke.
type Rule string

// The rules that are checked.
const (
	Lost      Rule = "lost"       // a request that was taken got no whole answer in time
	Duplicate Rule = "duplicate"  // a request of class Once ran twice, or two attempts were out at once
	Overtime  Rule = "overtime"   // a backend was told more time than the client had left
	AfterLeft Rule = "after left" // an attempt began after the client had left
	Drained   Rule = "drained"    // an attempt began at a backend whose drain had been told long before
	Crash     Rule = "crash"      // a process ended in another way than it was told to
	NotReady  Rule = "not ready"  // a process took too long to be ready
)

const (
	crossing  = 300 * time.Millisecond // a request may cross the close of its connection so far, stalls and proxy included
	leftLimit = 100 * time.Millisecond // attempts may begin so long after the client's close
	toldSlack = 150 * time.Millisecond // over what the client has left
	readyMost = 10 * time.Second
	grace     = 2 * time.Second        // the settings' for drains
	toldAfter = 300 * time.Millisecond // a watch has told a change by then
	toldMost  = 6 * time.Second        // or by then, after a silence of discovery
	bothOut   = 150 * time.Millisecond // two attempts count as out at once from here: the end of one is seen late
	killSlack = 50 * time.Millisecond  // between a kill and what its connections show
)

// Life is one process of a gateway, from its start to its end.
type Life struct {
	Gateway, Number      int
	Started, Ready       time.Duration
	Stopped              time.Duration // SIGTERM; 0: none
	Killed               time.Duration // SIGKILL; 0: none
	Ended                time.Duration // 0: it never was
	Err                  error         // of the end, unless it was killed
	Log                  string        // the end of it
	signals              []signal
	abrupt, neverStarted bool
}

// signal is one that a process got.
type signal struct {
	At   time.Duration
	Name string
}

// History is all that was recorded in a run.
type History struct {
	Sendings []Sending
	Attempts []Attempt
	Lives    []Life
	Changes  []Change
	Outages  []Outage
}

// Change is one of the list of backends.
type Change struct {
	Backend string
	At      time.Duration
	Ready   bool // else it drains, or is gone
}

// told is when the last change of a backend before a moment counts as told, if that took it out of service.
func (h *History) told(backend string, moment time.Duration) (at time.Duration, out bool) {
	for _, c := range h.Changes {
		if c.Backend != backend || c.At > moment {
			continue
		}
		if !c.Ready && out {
			continue // it was out already
		}
		at, out = c.At+toldAfter, !c.Ready
		for _, o := range h.Outages {
			// A watch that fell silent then is opened anew only after a while.
			if c.At > o.From-toldAfter && c.At < o.To+toldMost {
				at = max(c.At, o.To) + toldMost
			}
		}
	}
	return at, out
}

// Fault is a broken rule with what is known of it.
type Fault struct {
	Rule     Rule
	What     string
	Sending  *Sending // nil where the fault is a process's
	Attempts []Attempt
	Life     *Life
}

// String tells the whole story of a fault, a line an observation.
func (f Fault) String() string {
	text := fmt.Sprintf("%s: %s", f.Rule, f.What)
	if s := f.Sending; s != nil {
		text += fmt.Sprintf("\n  client: %s %s to gateway %d: bytes %.3f to %.3f, would wait %.3f until %.3f, ended %.3f: status %d, left %t, resent %t, %v",
			s.ID, s.Class, s.Gateway, s.First.Seconds(), s.Sent.Seconds(), s.Patience.Seconds(), s.Due().Seconds(), s.Ended.Seconds(),
			s.Status, s.Left, s.Resent, s.Err)
	}
	for _, a := range f.Attempts {
		text += fmt.Sprintf("\n  backend %s: bytes %.3f to %.3f, told %.3f, ended %.3f, answered %t",
			a.Backend, a.First.Seconds(), a.Taken.Seconds(), a.Told.Seconds(), a.Ended.Seconds(), a.Answered)
	}
	if l := f.Life; l != nil {
		text += fmt.Sprintf("\n  process %d of gateway %d: started %.3f, ready %.3f, SIGTERM %.3f, SIGKILL %.3f, ended %.3f: %v",
			l.Number, l.Gateway, l.Started.Seconds(), l.Ready.Seconds(), l.Stopped.Seconds(), l.Killed.Seconds(), l.Ended.Seconds(), l.Err)
		for _, s := range l.signals {
			text += fmt.Sprintf("\n    %.3f %s", s.At.Seconds(), s.Name)
		}
		if f.Sending == nil {
			text += "\n  log: " + l.Log
		}
	}
	return text
}

// Verdict is what Check found.
type Verdict struct {
	Faults  []Fault
	Excused int // requests that a stop's SIGKILL found unanswered, and that had come early enough to be excused
	Abrupt  int // requests that ended with a process that was killed with no warning
	Crossed int // requests that crossed the close of their connection unread
	Served  int
	Refused int // answered 429 or 503
	Failed  int // answered otherwise
	Left    int
}

// checker joins the records of a run.
type checker struct {
	history  History
	attempts map[string][]Attempt // by request
	lives    map[[2]int]*Life     // by gateway and number
	verdict  Verdict
}

// Check finds what broke a rule.
func Check(h History) Verdict {
	c := &checker{history: h, attempts: map[string][]Attempt{}, lives: map[[2]int]*Life{}}
	for _, a := range h.Attempts {
		c.attempts[a.ID] = append(c.attempts[a.ID], a)
	}
	for i := range h.Lives {
		c.lives[[2]int{h.Lives[i].Gateway, h.Lives[i].Number}] = &h.Lives[i]
	}
	once := map[string]bool{}
	for i := range h.Sendings {
		s := &h.Sendings[i]
		c.answered(s)
		c.sent(s)
		if !once[s.ID] {
			once[s.ID] = true
			c.copies(s)
		}
	}
	for i := range h.Lives {
		c.life(&h.Lives[i])
	}
	return c.verdict
}

func (c *checker) fault(rule Rule, s *Sending, what string, args ...any) {
	f := Fault{Rule: rule, What: fmt.Sprintf(what, args...), Sending: s}
	if s != nil {
		f.Attempts = c.attempts[s.ID]
		f.Life = c.lives[[2]int{s.Gateway, s.Life}]
	}
	c.verdict.Faults = append(c.verdict.Faults, f)
}

// of returns the attempts that a sending can have brought about.
func (c *checker) of(s *Sending) []Attempt {
	var list []Attempt
	for _, a := range c.attempts[s.ID] {
		if a.First >= s.First && (s.Ended == 0 || s.Left || a.First <= s.Ended) {
			list = append(list, a)
		}
	}
	return list
}

// answered checks the one final answer.
func (c *checker) answered(s *Sending) {
	life := c.lives[[2]int{s.Gateway, s.Life}]
	switch {
	case s.Left:
		c.verdict.Left++
	case s.Sent == 0, s.Refused: // it never was whole, or never reached a gateway
	case s.Status == 200:
		c.verdict.Served++
		c.inTime(s)
	case s.Status == 429, s.Status == 503:
		c.verdict.Refused++
		c.inTime(s)
	case s.Status != 0:
		c.verdict.Failed++
		c.inTime(s)
	case life != nil && life.abrupt && s.Ended >= life.Killed-killSlack: // it owes nothing
		c.verdict.Abrupt++
	case life != nil && life.Killed > 0 && s.Ended >= life.Killed-killSlack && s.Sent <= life.Stopped+KillDelay:
		c.verdict.Excused++
	case len(c.of(s)) > 0:
		c.fault(Lost, s, "a request that had been sent to a backend got no whole answer")
	case s.Began:
		c.fault(Lost, s, "an answer was cut")
	case isTimeout(s.Err):
		c.fault(Lost, s, "no answer came by %s after the client's time", lateLimit)
	case s.Ended-s.Sent > crossing:
		c.fault(Lost, s, "the connection ended %.3f s after the request was whole", (s.Ended - s.Sent).Seconds())
	case s.Resent:
		c.fault(Lost, s, "the second connection ended with no answer as well")
	default:
		c.verdict.Crossed++
	}
}

func (c *checker) inTime(s *Sending) {
	if late := s.Ended - s.Due(); late > lateLimit+lateMargin {
		c.fault(Lost, s, "the answer came %.3f s after the client's time", late.Seconds())
	}
}

// sent checks when attempts began, and what time they told.
func (c *checker) sent(s *Sending) {
	for _, a := range c.of(s) {
		if s.Left && a.First > s.Ended+leftLimit+lateMargin {
			c.fault(AfterLeft, s, "an attempt began %.3f s after the client had left", (a.First - s.Ended).Seconds())
		}
		if told, out := c.history.told(a.Backend, a.First); out && a.First > told+grace+lateMargin {
			c.fault(Drained, s, "an attempt began %.3f s after the drain of %s was told", (a.First - told).Seconds(), a.Backend)
		}
		if left := s.Due() - a.First; s.Sent > 0 && a.Told > left+toldSlack+lateMargin {
			c.fault(Overtime, s, "a backend was told %.3f s when %.3f were left", a.Told.Seconds(), left.Seconds())
		}
	}
}

// copies checks that a request of class Once ran once, and none had two attempts out.
func (c *checker) copies(s *Sending) {
	list := slices.Clone(c.attempts[s.ID])
	slices.SortFunc(list, func(a, b Attempt) int { return cmp.Compare(a.Taken, b.Taken) })
	if s.Class == string(Once) && len(list) > 1 {
		c.fault(Duplicate, s, "it ran %d times", len(list))
	}
	for i := 1; i < len(list); i++ {
		if before := list[i-1]; before.Ended == 0 || before.Ended > list[i].Taken+bothOut {
			c.fault(Duplicate, s, "two attempts were out at once")
		}
	}
}

func (c *checker) life(l *Life) {
	switch {
	case l.neverStarted:
		c.verdict.Faults = append(c.verdict.Faults, Fault{Rule: NotReady, What: "the process did not become ready", Life: l})
	case l.Ready-l.Started > readyMost:
		c.verdict.Faults = append(c.verdict.Faults, Fault{Rule: NotReady, What: fmt.Sprintf("ready after %.1f s", (l.Ready - l.Started).Seconds()), Life: l})
	}
	if l.Killed == 0 && l.Err != nil {
		c.verdict.Faults = append(c.verdict.Faults, Fault{Rule: Crash, What: "the process ended by itself with an error", Life: l})
	}
}
