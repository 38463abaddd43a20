package policy

// RequestID names one attempt of a client at one gateway.
type RequestID uint32

// BackendID names a backend; it is the same at every gateway.
type BackendID uint32

// CustomerID names a customer; it is the same at every gateway.
type CustomerID uint64

// BackendState is what discovery says of a backend.
type BackendState int

// The states of a backend.
const (
	Removed  BackendState = iota // not listed any more
	Ready                        // may get attempts
	Draining                     // finishes what it has, and gets nothing more
)

// Backend is one entry of the endpoint list.
type Backend struct {
	ID        BackendID
	Zone      int
	Kind      int // of machine
	Cell      int // of backends that share their memory of keyed requests
	State     BackendState
	Weight    float64 // relative size, where Settings.ApproximateWeights
	StartedAt float64 // clock time of its last start; 0: long ago
}

// ListKind says what an EndpointsUpdated event holds.
type ListKind int

// The kinds of list.
const (
	FullList   ListKind = iota // all there are
	Delta                      // changed entries only
	CachedList                 // all, as last known to a gateway that starts
	ListFailed                 // discovery failed; the old list stands
)

// Outcome is how an attempt, a probe or a counter call ended.
type Outcome int

// The outcomes. provesNoExecution reports which of them prove that an attempt had no effect.
const (
	Served          Outcome = iota // answered
	Failed                         // answered with an error, or so that the answer can't be read
	Rejected                       // answered that nothing was done
	TimedOut                       // no answer in time; it may still be carried out
	ConnectFailed                  // no connection: nothing was sent
	ConnectionReset                // the connection ended before the answer did
	Cancelled                      // cancelled; it may still be carried out
	NotSent                        // ended before anything was sent
	OutcomeCount                   // how many outcomes there are
)

var outcomeNames = [OutcomeCount]string{
	Served:          "served",
	Failed:          "failed",
	Rejected:        "rejected",
	TimedOut:        "timed_out",
	ConnectFailed:   "connect_failed",
	ConnectionReset: "connection_reset",
	Cancelled:       "cancelled",
	NotSent:         "not_sent",
}

// String returns the outcome's name in logs.
func (o Outcome) String() string { return outcomeNames[o] }

// Event is one thing that happened to this gateway.
type Event interface{ event() }

// EndpointsUpdated is news of the endpoint list from discovery.
type EndpointsUpdated struct {
	Kind    ListKind
	Entries []Backend
}

// Request is a client's attempt, which is owed one final answer.
type Request struct {
	ID           RequestID
	Customer     CustomerID
	Plan         int     // index in Settings.Plans
	Class        int     // index in Settings.Classes
	Units        float64 // of quota that it takes
	FirstGateway int     // the customer's gateways are Gateways in a row from this index
	Gateways     int
	SentAt       float64 // clock time at which the client sent it; 0: just now
	Deadline     float64 // clock time at which the client stops waiting
	IsRetry      bool    // marked by the client as a retry
}

// ResponseStarted says that a streamed answer has begun.
type ResponseStarted struct {
	Request RequestID
	Attempt int // number of the attempt in its request, from 0
	Backend BackendID
	Latency float64 // seconds
}

// AttemptEnded is the one end of an attempt.
type AttemptEnded struct {
	Request     RequestID
	Attempt     int // number of the attempt in its request, from 0
	Backend     BackendID
	Outcome     Outcome
	Latency     float64   // seconds
	RequestOver bool      // the request needs no further answer
	QuotaUse    int       // 1 + the customer's use in percent, 0: not known
	ActualUnits float64   // true units of the request, 0: not known
	LoadReport  []float64 // by Settings.LoadFields
}

// Probed is the result of a probe.
type Probed struct {
	Backend    BackendID
	Outcome    Outcome
	Latency    float64   // seconds
	LoadReport []float64 // by Settings.LoadFields
}

// ClientDisconnected says that a request is over without our answer.
type ClientDisconnected struct{ Request RequestID }

// TimerFired says that a timer is due.
type TimerFired struct{ Token uint64 }

// CounterReply answers one CounterAdd. Where the outcome is Failed, it was added, but the total can't be
// read; where it is ConnectionReset, it may have been added.
type CounterReply struct {
	Name    uint64
	Outcome Outcome
	Total   float64 // after the addition, where Served
	Latency float64 // seconds
}

// LateCounterReply says what came of a CounterAdd that had ended as TimedOut. Not every one is reported.
type LateCounterReply struct {
	Call    uint64 // CounterAdd.Call
	Outcome Outcome
	Total   float64
}

// Shutdown says that the gateway ends: every request, also of those that are still to come, has to be
// answered by the given clock time.
type Shutdown struct{ AnswerBy float64 }

// PeerMessage is data from another gateway.
type PeerMessage struct {
	From int // index of the gateway
	Data []byte
}

func (EndpointsUpdated) event() {}

func (Request) event() {}

func (ResponseStarted) event() {}

func (AttemptEnded) event() {}

func (Probed) event() {}

func (ClientDisconnected) event() {}

func (TimerFired) event() {}

func (CounterReply) event() {}

func (LateCounterReply) event() {}

func (Shutdown) event() {}

func (PeerMessage) event() {}
