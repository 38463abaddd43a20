package policy

// Idempotency says how often a request of a class may take effect.
type Idempotency int

// The kinds of idempotency.
const (
	Idempotent      Idempotency = iota // may run any number of times
	IdempotentByKey                    // a group of backends drops duplicates for a while
	NonIdempotent                      // must not run twice
)

// DedupeScope is the group of backends that drops duplicates of a keyed request.
type DedupeScope int

// The scopes, widest first.
const (
	ScopeAll  DedupeScope = iota // all backends
	ScopeZone                    // those of one zone
	ScopeCell                    // those of one cell
)

// Class is one class of requests.
type Class struct {
	LatencyObjective float64 // seconds; an answer within this time earns the full weight
	ObjectivePerUnit float64 // the objective grows by this many times the request's own work
	Deadline         float64 // seconds that the client waits over all its attempts
	PriorityWeight   float64 // what an answer earns
	LateWeightShare  float64 // share of the weight that an answer between objective and deadline earns
	Idempotency      Idempotency
	DedupeScope      DedupeScope // of an IdempotentByKey class
	DedupeWindow     float64     // seconds for which the scope remembers a keyed request
	Streamed         bool        // answers come as streams
}

// LongestDeadline returns the seconds that a client of any class may wait at most, 0 where there is no class.
func LongestDeadline(classes []Class) float64 {
	longest := 0.0
	for _, class := range classes {
		longest = max(longest, class.Deadline)
	}
	return longest
}

// Plan is what a customer has bought. A rate or limit of 0 means none.
type Plan struct {
	WeightFactor    float64 // factor on the priority weight of a request
	Rate            float64 // units a second that the quota refills
	Burst           float64 // units that the quota's store holds at most
	MaxConcurrent   int     // attempts in flight, over all gateways
	OverQuotaWeight float64 // share of the weight that is earned beyond the quota
	OverQuotaCost   float64 // share of the weight that an attempt beyond the quota costs
	CeilingRate     float64 // units a second at which the ceiling's store refills, over all gateways
	CeilingBurst    float64 // units that the ceiling's store holds at most
	CeilingSlack    float64 // units by which that store may drop below 0; nothing is decided by it
}

// LoadField is one value of a backend's load report.
type LoadField int

// The values that a load report can hold.
const (
	LoadOther           LoadField = iota // none of those below
	LoadInFlight                         // requests being handled
	LoadQueued                           // requests that wait
	LoadCPU                              // share of the processor in use
	LoadServiceMillis                    // milliseconds that a request takes
	LoadServedPerSecond                  // requests
	LoadErrorsPerSecond                  // requests
)

// Settings is what an operator states about a deployment. The engine copies it; its slices must not change
// afterwards.
type Settings struct {
	Classes []Class
	Plans   []Plan

	GatewayIndex int     // this gateway's number among FleetSize, from 0
	FleetSize    int     // gateways of the deployment
	Zone         int     // that this gateway is in
	Tick         float64 // seconds; the shortest time between two events' clock times

	PollDiscovery      bool        // changes of the endpoint list come only when polled for
	ApproximateWeights bool        // Backend.Weight says something about size
	LoadFields         []LoadField // what a load report holds, in its order
	LoadInline         bool        // load reports come with outcomes, not with probes alone

	Counter        bool    // there is a counter service
	CounterTimeout float64 // seconds that a counter call may take
	CounterPrice   float64 // of counter calls, where they are as many as first attempts
	MaxUnits       float64 // units of a request at most
	UnitsEstimated bool    // a request's units are an estimate until it is answered

	CanCancel         bool    // attempts can be cancelled
	CanProbe          bool    // backends can be probed
	CanHedge          bool    // two attempts of a request may be in flight at once
	CanSendRetryAfter bool    // clients can be sent a Retry-After
	MaxRetryAfter     float64 // seconds; a client follows no longer one
	MaxAttempts       int     // of a request; below 1 counts as 1
	MaxOpenRequests   int     // of this gateway; 0: not limited
	ConnectTimeout    float64 // seconds that an attempt may wait for a connection

	AnswerSlack       float64 // seconds after its deadline at which a final answer still counts
	DrainGrace        float64 // seconds for which attempts at a draining or removed backend may still begin
	SlowStartMinShare float64 // least share of its capacity that a backend starts at
	SlowStartWindow   float64 // seconds after which a backend is warm; 0: at once
	OverloadFactor    float64 // this many times its capacity overloads a backend in slow start
	OverloadDuration  float64 // when it is sent that for so many seconds

	// Prices, as shares of all that requests earn. CrossZonePrice alone decides.
	CrossZonePrice   float64 // of attempts at backends of another zone, as a share of all
	WastePrice       float64 // of work at backends that served no answer, as a share of all
	LateFailurePrice float64 // of weight that ended unserved after its objective had passed
	ProbePrice       float64 // of probes, where they are as many as first attempts
}
