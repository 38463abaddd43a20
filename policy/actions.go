package policy

// Reason says why a request got a final answer that no backend made.
type Reason int

// The reasons.
const (
	ReasonQuota       Reason = iota // its customer has no units left
	ReasonConcurrency               // its customer has no place left for open requests at this gateway
	ReasonTooLate                   // it came with too little time
	ReasonQueue                     // the queue is too long for the time it has
	ReasonNotSent                   // no attempt began in time
	ReasonNoAnswer                  // no attempt was answered in time
	ReasonNoAttempts                // an attempt failed, and no further one is allowed
	ReasonCount                     // how many reasons there are
)

var reasonNames = [ReasonCount]string{"quota", "cap", "too_late", "queue", "not_sent", "no_answer", "no_attempts"}

// String names the reason for logs.
func (r Reason) String() string { return reasonNames[r] }

// Action is one thing for the gateway to do.
type Action interface{ action() }

// SendAttempt starts the next attempt of a request. Timeout 0: the client's deadline.
type SendAttempt struct {
	Request RequestID
	Backend BackendID
	Timeout float64
}

// CancelAttempt stops waiting for an attempt.
type CancelAttempt struct {
	Request RequestID
	Attempt int
}

// Reject is a final answer: turned away, trying again is harmless.
type Reject struct {
	Request    RequestID
	RetryAfter float64
	Reason     Reason
}

// FailRequest is a final answer with no promise about the effect.
type FailRequest struct {
	Request RequestID
	Reason  Reason
}

// SetTimer asks for a Timer event. With a Request it may be left out once that
// request is over and none of its attempts is out.
type SetTimer struct {
	Delay   float64
	Token   uint64
	Request RequestID // 0: none
}

// CounterAdd adds to a shared number and asks for its total. A name that is new
// starts at 0 and is forgotten after Keep. Call is what CounterLate names it by.
type CounterAdd struct {
	Call   uint64
	Name   uint64
	Amount float64
	TTL    float64
}

// Probe asks a backend for its load.
type Probe struct{ Backend BackendID }

// PollEndpoints asks discovery for changes.
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
