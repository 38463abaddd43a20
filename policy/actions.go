package policy

// Reason says why the gateway answered a request itself, by a Reject or a FailRequest.
type Reason int

// The reasons.
const (
	ReasonQuota       Reason = iota // the customer's quota has too few units left
	ReasonConcurrency               // the customer's concurrency limit allows no attempts at this gateway
	ReasonCustomers                 // the state of too many customers is kept already to add the request's customer
	ReasonTooLate                   // the request arrived with too little time left to answer it
	ReasonQueue                     // the expected wait in the queue is longer than the request's remaining time
	ReasonNotSent                   // no attempt was started in time
	ReasonNoAnswer                  // an attempt was started, but no backend responded in time
	ReasonNoAttempts                // the request's last attempt failed, and no retry could be started
	ReasonCount                     // number of reasons
)

var reasonNames = [ReasonCount]string{
	ReasonQuota:       "quota",
	ReasonConcurrency: "concurrency",
	ReasonCustomers:   "customers",
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
// their SendAttempt actions.
type SendAttempt struct {
	Request RequestID
	Backend BackendID
	Timeout float64 // seconds; 0: until the request's deadline
}

// CancelAttempt stops waiting for an attempt; Attempt is its number within the request. The backend may still
// execute the attempt. The AttemptEnded event follows as usual.
type CancelAttempt struct {
	Request RequestID
	Attempt int
}

// Reject gives a request its final answer and tells the client that it may retry: the request was not
// executed, or executing it again has no second effect.
type Reject struct {
	Request    RequestID
	RetryAfter float64 // seconds that the client should wait before a retry; 0: no Retry-After
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
	Request RequestID // request that the timer belongs to; 0: none
}

// CounterAdd asks the counter service to add Amount to a total that all gateways share, and to return the new
// total. Amount may be below 0. Name identifies the total. The total of an unknown name is 0.
type CounterAdd struct {
	CallID uint64 // identifies this call in LateCounterReply
	Name   uint64
	Amount float64
	TTL    float64 // seconds after which the counter forgets the name
}

// Probe asks a backend for its load. A ProbeEnded event reports the result.
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
