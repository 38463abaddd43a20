package policy

// Idempotency says whether a request of a class may be executed more than once.
type Idempotency int

// The kinds of idempotency.
const (
	Idempotent      Idempotency = iota // may be executed any number of times
	IdempotentByKey                    // keyed: backends drop duplicates by idempotency key; see DedupeScope
	NonIdempotent                      // must not be executed twice
)

// DedupeScope is the group of backends that recognizes duplicates of a request by its idempotency key.
// ScopeZone and ScopeCell refer to the zone and the cell of the backend that got the request first.
type DedupeScope int

// The scopes, widest first.
const (
	ScopeAll  DedupeScope = iota // all backends
	ScopeZone                    // the backends of one zone
	ScopeCell                    // the backends of one cell
)

// Class describes the requests of one service class.
//
// The weight of a request is the class's PriorityWeight times the plan's WeightFactor. Serving a
// request earns its weight, and requests of higher weight are served first.
type Class struct {
	LatencyObjective float64 // seconds; an answer within this time earns the full weight
	ObjectivePerUnit float64 // above 0 if LatencyObjective grows with the request's work; only tested for 0
	Deadline         float64 // seconds that a client waits at most for an answer, including its retries
	PriorityWeight   float64 // weight of a request if the plan's WeightFactor is 1
	LateWeightShare  float64 // share of the weight that an answer between LatencyObjective and deadline earns
	Idempotency      Idempotency
	DedupeScope      DedupeScope // backends that drop duplicates of a keyed request; only for IdempotentByKey
	DedupeWindow     float64     // seconds for which backends remember a keyed request
	Streamed         bool        // responses are streamed; decisions don't use it
}

// LongestRetryAfter returns the Retry-After of a rejection for lack of capacity in seconds: MaxRetryAfter, or 0
// if rejections may carry none.
func (s *Settings) LongestRetryAfter() float64 {
	if !s.CanSendRetryAfter {
		return 0
	}
	return max(s.MaxRetryAfter, 0)
}

// LongestDeadline returns the longest Deadline of the classes in seconds, 0 if there are no classes.
func LongestDeadline(classes []Class) float64 {
	longest := 0.0
	for _, class := range classes {
		longest = max(longest, class.Deadline)
	}
	return longest
}

// Plan describes what a customer has bought. All limits are per customer and hold for all gateways together.
//
// The quota is a token bucket of units. The ceiling is a second token bucket of units, and is never exceeded.
// Under a plan with a ceiling, requests over quota may be served, below all within the quota.
type Plan struct {
	WeightFactor    float64 // factor by which the plan multiplies Class.PriorityWeight
	Rate            float64 // units per second that refill the quota; 0: no quota
	Burst           float64 // capacity of the quota's token bucket in units
	MaxConcurrent   int     // limit on the attempts in flight; 0: no limit
	OverQuotaWeight float64 // share of its weight that a request over quota earns if it is served
	OverQuotaCost   float64 // share of the request's weight that an attempt costs if the request is over quota
	CeilingRate     float64 // units per second that refill the ceiling; 0: no ceiling
	CeilingBurst    float64 // capacity of the ceiling's token bucket in units
	CeilingSlack    float64 // units by which the ceiling's token bucket may be overdrawn; decisions don't use it
}

// LoadField identifies one value in the load report of a backend.
type LoadField int

// The values that a load report can contain.
const (
	LoadOther           LoadField = iota // a value of another kind
	LoadInFlight                         // requests being handled
	LoadQueued                           // requests waiting at the backend
	LoadCPU                              // share of the CPU in use
	LoadServiceMillis                    // milliseconds that a request takes
	LoadServedPerSecond                  // requests served per second
	LoadErrorsPerSecond                  // failed requests per second
)

// Settings describes a deployment and the gateway's place in it. The engine keeps the slices, so the caller
// must not modify them afterwards.
//
// The engine ignores CounterTimeout, MaxUnits, MaxOpenRequests, AnswerSlack and DrainGrace, which are for the
// gateway. It also ignores ApproximateWeights, LoadFields, LoadInline, CanProbe, OverloadFactor and
// OverloadDuration.
type Settings struct {
	Classes []Class
	Plans   []Plan

	GatewayIndex int     // index of this gateway in the fleet, from 0
	FleetSize    int     // number of gateways in the deployment; below 1 counts as 1
	Zone         int     // index of this gateway's zone; see Backend
	Tick         float64 // resolution of the clock in seconds; an event may come one tick late

	ClientsMarkRetries bool        // clients set Request.IsRetry on each of their retries
	PollDiscovery      bool        // discovery reports changes of the endpoint list only when polled
	ApproximateWeights bool        // Backend.Weight is a rough measure of size; else it has no meaning
	LoadFields         []LoadField // kinds of the values in a load report, in order
	LoadInline         bool        // AttemptEnded may contain a load report, not only ProbeEnded

	HasCounter     bool    // the deployment has a counter service
	CounterTimeout float64 // seconds after which a counter call times out
	CounterPrice   float64 // share of all earned weight that one counter call per first attempt costs
	MaxUnits       float64 // limit on the units of a request; 0: no limit
	UnitsEstimated bool    // Request.Units is an estimate; AttemptEnded.ActualUnits corrects it

	CanCancel         bool    // the gateway can cancel attempts
	CanProbe          bool    // the gateway can probe backends
	CanHedge          bool    // several attempts of a request may be in flight at once
	CanSendRetryAfter bool    // rejections may carry a Retry-After
	MaxRetryAfter     float64 // longest Retry-After that clients follow, in seconds
	MaxAttempts       int     // limit on the attempts of a request, including the first; below 1 counts as 1
	MaxCustomers      int     // limit on the customers whose state is kept; 0: no limit
	MaxOpenRequests   int     // limit on the open requests of this gateway; 0: no limit
	ConnectTimeout    float64 // seconds for which an attempt may wait for a connection

	AnswerSlack       float64 // seconds after a request's deadline in which its answer still counts as in time
	DrainGrace        float64 // seconds within which a gateway must learn that a backend is draining or removed
	SlowStartMinShare float64 // lowest share of its full capacity that a backend has at its start
	SlowStartWindow   float64 // seconds from a backend's start until it has its full capacity; 0: no slow start
	OverloadFactor    float64 // load that overloads a backend in slow start, as a multiple of its capacity
	OverloadDuration  float64 // seconds for which a load of OverloadFactor must last to overload the backend

	// Prices are shares of the weight that all requests earn. Each comment states the case in which the
	// whole price is paid. Decisions use only CrossZonePrice.
	CrossZonePrice   float64 // price if all attempts are at backends of another zone
	WastePrice       float64 // price if all backend work is for attempts that are not served
	LateFailurePrice float64 // price if all requests end unserved after their latency objective
	ProbePrice       float64 // price if there is one probe per first attempt
}
