// Package policy decides, for one gateway, what happens to each request of a
// customer that is held to a quota before a shared back end.
//
// This file is the whole interface: settings go in once, events go in one at a
// time, actions come out. Times are seconds on the clock of the caller. The
// decisions are in engine.go and the files that it names.
package policy

// RequestID names one try of a client at one gateway.
type RequestID uint32

// BackendID names a backend; it is the same at every gateway.
type BackendID uint32

// CustomerID names a customer.
type CustomerID uint64

// Idempotency says how often a request of a class may take effect.
type Idempotency int

// The kinds of effect.
const (
	Idempotent      Idempotency = iota // may run any number of times
	IdempotentByKey                    // a group of backends drops repeats for a while
	NonIdempotent                      // must not run twice
)

// DedupeScope is the group of backends that drops repeats of a keyed request.
type DedupeScope int

// The scopes, widest first.
const (
	ScopeAll DedupeScope = iota
	ScopeZone
	ScopeCell
)

// Class is one class of requests.
type Class struct {
	LatencyObjective float64 // an answer within this time earns the full worth
	ObjectivePerUnit float64 // the aim grows by this many times the request's own work
	Deadline         float64 // the client's patience over all its tries
	PriorityWeight   float64
	LateWeightShare  float64 // share of the worth between aim and deadline
	Idempotency      Idempotency
	DedupeScope      DedupeScope
	DedupeWindow     float64 // how long the scope remembers a keyed request
	Streamed         bool
}

// LongestDeadline is the longest that a client of any class may wait.
func LongestDeadline(classes []Class) float64 {
	longest := 0.0
	for _, c := range classes {
		longest = max(longest, c.Deadline)
	}
	return longest
}

// Plan is what a customer has bought. A rate or limit of 0 means none.
type Plan struct {
	WeightFactor    float64 // factor on the worth of a request
	Rate            float64 // units a second
	Burst           float64 // units the quota's store holds at most
	MaxConcurrent   int     // attempts out at once, over all gateways
	OverQuotaWeight float64 // share of the worth earned beyond the quota
	OverQuotaCost   float64 // share of the worth that a send beyond the quota costs
	CeilingRate     float64
	CeilingBurst    float64
	CeilingSlack    float64
}

// LoadField is one value of a backend's load report.
type LoadField int

// The values a load report can hold.
const (
	LoadOther    LoadField = iota
	LoadInFlight           // requests held
	LoadQueued
	LoadCPU
	LoadServiceMillis
	LoadServedPerSecond
	LoadErrorsPerSecond
)

// Settings is what an operator states about a deployment.
type Settings struct {
	Classes []Class
	Plans   []Plan

	GatewayIndex int // this gateway's number among Fleet
	FleetSize    int // gateways
	Zone         int
	Tick         float64 // events come at most this often

	PollDiscovery      bool // changes of the list come only when asked for
	ApproximateWeights bool // Backend.Weight says something about size
	LoadFields         []LoadField
	LoadInline         bool // reports come with outcomes, not with probes alone

	Counter        bool
	CounterTimeout float64
	CounterPrice   float64
	MaxUnits       float64
	UnitsEstimated bool // a request's units are a guess until it is answered

	CanCancel         bool
	CanProbe          bool
	CanHedge          bool // two attempts of a request may be out at once
	CanSendRetryAfter bool // clients are told how long to stay away
	MaxRetryAfter     float64
	MaxAttempts       int
	MaxOpenRequests   int
	ConnectTimeout    float64

	AnswerSlack       float64
	DrainGrace        float64
	SlowStartMinShare float64 // least share of its capacity a backend starts at
	SlowStartWindow   float64 // it is warm after this time
	OverloadFactor    float64 // this many times its capacity pushes it over
	OverloadDuration  float64 // when sent for this long

	CrossZonePrice   float64
	WastePrice       float64
	LateFailurePrice float64
	ProbePrice       float64
}

// BackendState is what discovery says of a backend.
type BackendState int

// The states of a backend.
const (
	Removed BackendState = iota
	Ready
	Draining
)

// Backend is one entry of the list of backends.
type Backend struct {
	ID        BackendID
	Zone      int
	Kind      int
	Cell      int
	State     BackendState
	Weight    float64
	StartedAt float64 // time of its last start; 0: long ago
}

// ListKind says what a Backends event holds.
type ListKind int

// The kinds of list.
const (
	FullList   ListKind = iota // all there are
	Delta                      // changed entries only
	CachedList                 // all, as last known to a gateway that starts
	ListFailed                 // discovery failed; the old list stands
)

// Outcome is how an attempt ended.
type Outcome int

// The outcomes. NeverRan tells which of them prove that nothing happened.
const (
	Served Outcome = iota
	Failed
	Rejected
	TimedOut
	ConnectFailed
	ConnectionReset
	Cancelled
	NotSent
	OutcomeCount // how many outcomes there are
)

var outcomeNames = [OutcomeCount]string{"served", "error", "turned_away", "timed_out", "connect_failed", "broken",
	"cancelled", "not_sent"}

// String names the outcome for logs.
func (o Outcome) String() string { return outcomeNames[o] }

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

// Event is one thing that happened to this gateway.
type Event interface{ event() }

// EndpointsUpdated is what discovery told.
type EndpointsUpdated struct {
	Kind    ListKind
	Entries []Backend
}

// Request is a client's try, which is owed one final answer.
type Request struct {
	ID           RequestID
	Customer     CustomerID
	Plan         int
	Class        int
	Units        float64
	FirstGateway int // the gateways of this customer are Gateways in a row from here
	Gateways     int
	SentAt       float64 // clock time at which the client sent it; 0: just now
	Deadline     float64 // clock time at which the client stops waiting
	IsRetry      bool    // marked by the client as another try
}

// ResponseStarted says that a streamed answer has begun.
type ResponseStarted struct {
	Request RequestID
	Attempt int
	Backend BackendID
	Latency float64
}

// AttemptEnded is the one end of an attempt.
type AttemptEnded struct {
	Request     RequestID
	Attempt     int
	Backend     BackendID
	Outcome     Outcome
	Latency     float64
	RequestOver bool    // the request is over
	QuotaUse    int     // 1 + use of the customer in percent, 0: not told
	ActualUnits float64 // true units, 0: not told
	LoadReport  []float64
}

// Probed is the result of a probe.
type Probed struct {
	Backend    BackendID
	Outcome    Outcome
	Latency    float64
	LoadReport []float64
}

// ClientDisconnected says that a request is over without our answer.
type ClientDisconnected struct{ Request RequestID }

// TimerFired is a timer that is due.
type TimerFired struct{ Token uint64 }

// CounterReply answers one Count. Errored: it was added, but the total can't be
// read. Broken: the connection ended, and it may have been added.
type CounterReply struct {
	Name    uint64
	Outcome Outcome
	Total   float64
	Latency float64
}

// LateCounterReply tells what came of a Count that had ended as TimedOut. Not every
// one is told of.
type LateCounterReply struct {
	Call    uint64
	Outcome Outcome
	Total   float64
}

// Shutdown says that the gateway ends: every request, also of those that are still to come, has to be
// answered by the given clock time.
type Shutdown struct{ AnswerBy float64 }

// PeerMessage is data from another gateway.
type PeerMessage struct {
	From int
	Data []byte
}

func (EndpointsUpdated) event()   {}
func (Request) event()            {}
func (ResponseStarted) event()    {}
func (AttemptEnded) event()       {}
func (Probed) event()             {}
func (ClientDisconnected) event() {}
func (TimerFired) event()         {}
func (CounterReply) event()       {}
func (LateCounterReply) event()   {}
func (Shutdown) event()           {}
func (PeerMessage) event()        {}

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

func (SendAttempt) action()   {}
func (CancelAttempt) action() {}
func (Reject) action()        {}
func (FailRequest) action()   {}
func (SetTimer) action()      {}
func (CounterAdd) action()    {}
func (Probe) action()         {}
func (PollEndpoints) action() {}
func (Log) action()           {}
