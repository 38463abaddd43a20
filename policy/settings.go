package policy

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
