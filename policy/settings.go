package policy

// Idempotency says whether a request of a class may be executed more than once.
type Idempotency int

// The kinds of idempotency.
const (
	Idempotent      Idempotency = iota // may be executed any number of times
	IdempotentByKey                    // keyed: backends drop duplicates, see Class.DedupeScope
	NonIdempotent                      // must not be executed twice
)

// DedupeScope is the group of backends that recognizes duplicates of a request by its idempotency key. A zone
// or cell is that of the backend which got the request first.
type DedupeScope int

// The scopes, widest first.
const (
	ScopeAll  DedupeScope = iota // all backends
	ScopeZone                    // the backends of one zone
	ScopeCell                    // the backends of one cell
)

// Class describes the requests of one service class.
//
// The weight of a request is the class's PriorityWeight times the plan's WeightFactor. It is what serving the
// request earns, and requests of higher weight are served first.
type Class struct {
	LatencyObjective float64 // seconds; a response within this time earns the full weight
	ObjectivePerUnit float64 // the objective grows by this factor times the request's own work; 0: it is fixed
	Deadline         float64 // seconds that a client waits at most, over all its attempts
	PriorityWeight   float64 // weight of a request under a plan whose WeightFactor is 1
	LateWeightShare  float64 // share of the weight that a response between objective and deadline earns
	Idempotency      Idempotency
	DedupeScope      DedupeScope // backends that drop duplicates of a keyed request; only for IdempotentByKey
	DedupeWindow     float64     // seconds for which these backends remember a keyed request
	Streamed         bool        // responses are streamed
}

// LongestDeadline returns the longest Deadline of the classes in seconds, 0 if there are none.
func LongestDeadline(classes []Class) float64 {
	longest := 0.0
	for _, class := range classes {
		longest = max(longest, class.Deadline)
	}
	return longest
}

// Plan describes what a customer has bought. All limits are per customer and hold for all gateways together.
//
// The quota is a token bucket of units. The ceiling is a second token bucket, and is never exceeded. A plan
// with a ceiling may serve requests beyond the quota, at the lowest priority.
type Plan struct {
	WeightFactor    float64 // factor on the class's PriorityWeight
	Rate            float64 // units per second that refill the quota; 0: no quota
	Burst           float64 // capacity of the quota's token bucket in units
	MaxConcurrent   int     // attempts in flight; 0: no limit
	OverQuotaWeight float64 // share of its weight that a request beyond the quota earns when served
	OverQuotaCost   float64 // share of its weight that an attempt for a request beyond the quota costs
	CeilingRate     float64 // units per second that refill the ceiling; 0: no ceiling
	CeilingBurst    float64 // capacity of the ceiling's token bucket in units
	CeilingSlack    float64 // units by which the ceiling's bucket may be overdrawn; decisions don't use it
}

// LoadField identifies one value in the load report of a backend.
type LoadField int

// The values that a load report can contain.
const (
	LoadOther           LoadField = iota // a value that is none of the following
	LoadInFlight                         // requests being handled
	LoadQueued                           // requests waiting at the backend
	LoadCPU                              // share of the CPU in use
	LoadServiceMillis                    // milliseconds that a request takes
	LoadServedPerSecond                  // requests served per second
	LoadErrorsPerSecond                  // requests failed per second
)

// Settings describes a deployment and the gateway's place in it. The engine keeps the slices, so the caller
// must not modify them afterwards. Some of the fields are used only by the gateway, or not at all.
type Settings struct {
	Classes []Class
	Plans   []Plan

	GatewayIndex int     // index of this gateway in the fleet, from 0
	FleetSize    int     // number of gateways in the deployment; below 1 counts as 1
	Zone         int     // zone of this gateway, numbered as in Backend
	Tick         float64 // seconds; resolution of the clock: an event may come one tick late

	PollDiscovery      bool        // discovery reports changes of the endpoint list only when polled
	ApproximateWeights bool        // Backend.Weight is a rough measure of size; else it means nothing
	LoadFields         []LoadField // the values of a load report, in order
	LoadInline         bool        // load reports come with the ends of attempts too, not only with probes

	HasCounter     bool    // the deployment has a counter service
	CounterTimeout float64 // seconds after which a counter call times out
	CounterPrice   float64 // price of counter calls when they are as many as first attempts; see below
	MaxUnits       float64 // units that a request may need at most; 0: no limit
	UnitsEstimated bool    // Request.Units is an estimate; AttemptEnded.ActualUnits corrects it

	CanCancel         bool    // the gateway can cancel attempts
	CanProbe          bool    // the gateway can probe backends
	CanHedge          bool    // two attempts of a request may be in flight at once
	CanSendRetryAfter bool    // rejections may carry a Retry-After
	MaxRetryAfter     float64 // seconds; clients do not follow a longer Retry-After
	MaxAttempts       int     // attempts per request, the first included; below 1 counts as 1
	MaxOpenRequests   int     // open requests of this gateway; 0: no limit
	ConnectTimeout    float64 // seconds that an attempt may wait for a connection

	AnswerSlack       float64 // seconds after its deadline within which a final answer still counts
	DrainGrace        float64 // seconds for which attempts at a draining or removed backend may still start
	SlowStartMinShare float64 // least share of its capacity that a backend has at its start
	SlowStartWindow   float64 // seconds from a backend's start until it has its full capacity; 0: no slow start
	OverloadFactor    float64 // a backend in slow start is overloaded by this many times its capacity ...
	OverloadDuration  float64 // ... sent to it for this many seconds

	// Prices are shares of the weight that all requests earn. Decisions use only CrossZonePrice.
	CrossZonePrice   float64 // price of attempts at backends of another zone, when all attempts are such
	WastePrice       float64 // price of backend work for attempts that are not served, when all work is such
	LateFailurePrice float64 // price of weight that ends unserved after its latency objective
	ProbePrice       float64 // price of probes when they are as many as first attempts
}
