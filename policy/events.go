package policy

// RequestID names one try of a client at one gateway.
type RequestID uint32

// BackendID names a backend; it is the same at every gateway.
type BackendID uint32

// CustomerID names a customer.
type CustomerID uint64

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
