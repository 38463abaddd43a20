package policy

// Reason says why a request got a final answer that no backend made.
type Reason int

// The reasons.
const (
	ReasonQuota       Reason = iota // its customer has no units left
	ReasonConcurrency               // its customer's concurrency limit leaves this gateway nothing
	ReasonTooLate                   // it came with too little time
	ReasonQueue                     // the queue is too long for the time that it has
	ReasonNotSent                   // no attempt began in time
	ReasonNoAnswer                  // no attempt was answered in time
	ReasonNoAttempts                // an attempt failed, and no further one is allowed
	ReasonCount                     // how many reasons there are
)

var reasonNames = [ReasonCount]string{
	ReasonQuota:       "quota",
	ReasonConcurrency: "concurrency",
	ReasonTooLate:     "too_late",
	ReasonQueue:       "queue",
	ReasonNotSent:     "not_sent",
	ReasonNoAnswer:    "no_answer",
	ReasonNoAttempts:  "no_attempts",
}

// String returns the reason's name in logs.
func (r Reason) String() string { return reasonNames[r] }

// Action is one thing for the gateway to do.
type Action interface{ action() }

// SendAttempt starts the next attempt of a request. The attempts of a request are numbered from 0.
type SendAttempt struct {
	Request RequestID
	Backend BackendID
	Timeout float64 // seconds; 0: until the client's deadline
}

// CancelAttempt stops waiting for an attempt.
type CancelAttempt struct {
	Request RequestID
	Attempt int
}

// Reject is a final answer: the request was not carried out, or may be retried with no second effect.
type Reject struct {
	Request    RequestID
	RetryAfter float64 // seconds that the client should wait before it; 0: no advice
	Reason     Reason
}

// FailRequest is a final answer that promises nothing about the effect.
type FailRequest struct {
	Request RequestID
	Reason  Reason
}

// SetTimer asks for a TimerFired event. One with a request may be left out once that request is over and none
// of its attempts is in flight.
type SetTimer struct {
	Delay   float64   // seconds, 0 at least
	Token   uint64    // comes back in TimerFired
	Request RequestID // 0: none
}

// CounterAdd adds to a shared number and asks for its total. A name that is new starts at 0.
type CounterAdd struct {
	Call   uint64 // what LateCounterReply names it by
	Name   uint64
	Amount float64
	TTL    float64 // seconds after which the name is forgotten
}

// Probe asks a backend for its load.
type Probe struct{ Backend BackendID }

// PollEndpoints asks discovery for changes of the endpoint list.
type PollEndpoints struct{}

// Log writes a line for the operators.
type Log struct{ Text string }

func (SendAttempt) action() {}

func (CancelAttempt) action() {}

func (Reject) action() {}

func (FailRequest) action() {}

func (SetTimer) action() {}

func (CounterAdd) action() {}

func (Probe) action() {}

func (PollEndpoints) action() {}

func (Log) action() {}
