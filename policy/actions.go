package policy

// Reason says why the gateway answered a request itself, by a Reject or a FailRequest.
type Reason int

// The reasons.
const (
	ReasonQuota       Reason = iota // the customer's quota has too few units left
	ReasonConcurrency               // the customer's concurrency limit allows no attempts at this gateway
	ReasonTooLate                   // it arrived with too little time left
	ReasonQueue                     // the expected wait in the queue is longer than the time it has left
	ReasonNotSent                   // no attempt was started in time
	ReasonNoAnswer                  // an attempt was started, but no backend answered in time
	ReasonNoAttempts                // its last attempt failed, and no further one is allowed
	ReasonCount                     // number of reasons
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

// String returns the reason's name in metrics and logs.
func (r Reason) String() string { return reasonNames[r] }

// Action is something that the gateway has to do.
type Action interface{ action() }

// SendAttempt sends a request to a backend. The attempts of a request are numbered from 0, in the order of
// these actions.
type SendAttempt struct {
	Request RequestID
	Backend BackendID
	Timeout float64 // seconds; 0: until the request's deadline
}

// CancelAttempt stops waiting for an attempt, which is given by its number within its request. The backend
// may still execute it. The AttemptEnded event follows as usual.
type CancelAttempt struct {
	Request RequestID
	Attempt int
}

// Reject gives a request its final answer: it was not executed, or a retry has no second effect.
type Reject struct {
	Request    RequestID
	RetryAfter float64 // seconds that the client should wait before a retry; 0: no advice
	Reason     Reason
}

// FailRequest gives a request its final answer without saying whether it was executed.
type FailRequest struct {
	Request RequestID
	Reason  Reason
}

// SetTimer starts a timer that leads to a TimerFired event. A timer that belongs to a request may be dropped
// once that request has its final answer and none of its attempts is in flight.
type SetTimer struct {
	Delay   float64   // seconds, at least 0
	Token   uint64    // returned in TimerFired
	Request RequestID // the request that it belongs to; 0: none
}

// CounterAdd asks the counter service to add Amount, which may be below 0, to a total that all gateways
// share, and to return the new total. Name identifies the total; an unknown name starts at 0.
type CounterAdd struct {
	CallID uint64 // identifies this call in LateCounterReply
	Name   uint64
	Amount float64
	TTL    float64 // seconds after which the counter forgets the name
}

// Probe asks a backend for its load. Its result is a Probed event.
type Probe struct{ Backend BackendID }

// PollEndpoints asks discovery for changes of the endpoint list.
type PollEndpoints struct{}

// Log writes a line to the gateway's log, for its operators.
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
