package main

import (
	"fmt"
	"math/rand/v2"
)

// simSettings mirrors the JSON of a deployment's settings. Fields whose names end in S are in seconds.
type simSettings struct {
	Capabilities simCapabilities    `json:"allowed"`
	Classes      []simClass         `json:"classes"`
	Plans        []simPlan          `json:"packages"`
	Clients      simClients         `json:"clients"`
	Discovery    string             `json:"discovery"`
	QuotaCounter simQuotaCounter    `json:"familyInfo"`
	FleetSize    int                `json:"fleetSize"`
	Rank         int                `json:"rank"`
	Kinds        []string           `json:"kinds"`
	Zones        []string           `json:"localities"`
	Zone         int                `json:"locality"`
	LoadReport   simLoadReport      `json:"loadReport"`
	Requirements simRequirements    `json:"obligations"`
	Prices       map[string]float64 `json:"prices"`
	TickS        float64            `json:"tickS"`
	Weights      string             `json:"weights"`
}

// simCapabilities states which actions the deployment permits, and their limits.
type simCapabilities struct {
	CanCancel         bool    `json:"cancel"`
	ConnectTimeoutS   float64 `json:"connectTimeoutS"`
	MaxOpen           int     `json:"maxOpen"`
	MaxRetryAfterS    float64 `json:"maxRetryAfterS"`
	CanHedge          bool    `json:"mayDuplicate"`
	MaxAttempts       int     `json:"mostTries"`
	CanProbe          bool    `json:"probes"`
	CanSendRetryAfter bool    `json:"retryAfter"`
}

// simClients states how clients behave.
type simClients struct {
	MarkRetries bool `json:"marksRetry"`
}

// simClass holds the settings of a class of requests.
type simClass struct {
	ObjectivePerUnitS float64 `json:"aimStretch,omitempty"`
	DeadlineS         float64 `json:"deadlineS"`
	Idempotency       string  `json:"effect"`
	DedupeScope       string  `json:"keyScope"`
	LateWeightShare   float64 `json:"lateWorth"`
	Name              string  `json:"name"`
	ObjectiveS        float64 `json:"objectiveS"`
	PriorityWeight    float64 `json:"points"`
	Streamed          bool    `json:"streamed"`
	DedupeWindowS     float64 `json:"windowS"`
}

// simPlan holds the settings of a plan. Its quotas apply to each customer separately.
type simPlan struct {
	MaxConcurrent   int     `json:"atOnce"`
	OverQuotaCost   float64 `json:"beyondCosts"`
	CeilingSlack    float64 `json:"capSlack"`
	CeilingBurst    float64 `json:"ceilingBurst"`
	Burst           float64 `json:"depth"`
	Name            string  `json:"name"`
	CeilingRate     float64 `json:"neverOverRate"`
	OverQuotaWeight float64 `json:"overWorth"`
	WeightFactor    float64 `json:"pays"`
	Rate            float64 `json:"unitsPerS"`
}

// simQuotaCounter holds two kinds of settings: those for calls of the counter, and those for the number of units that a
// request takes from its customer's quota.
type simQuotaCounter struct {
	CounterPrice    float64 `json:"counterPrice"`
	CounterTimeoutS float64 `json:"counterTimeoutS"`
	HasCounter      bool    `json:"hasCounter"`
	MaxUnits        int     `json:"mostUnits"`
	UnitsEstimated  bool    `json:"truedUp"`
}

// simLoadReport holds the settings of the backends' load reports.
type simLoadReport struct {
	Fields   []string `json:"fields"`
	Delivery string   `json:"how"`
}

// simRequirements holds the times and factors of the rules that the simulator's protocol sets for gateways.
type simRequirements struct {
	AnswerSlackS      float64 `json:"answerSlackS"`
	PollIntervalS     float64 `json:"askEveryS"`
	SlowStartMinShare float64 `json:"coldFrom"`
	SlowStartWindowS  float64 `json:"coldS"`
	DrainGraceS       float64 `json:"drainGraceS"`
	OverloadFactor    float64 `json:"fallMultiple"`
	OverloadDurationS float64 `json:"overloadForS"`
}

// randomSource generates the random numbers of a stream. The order in which they are drawn determines the stream: if a
// draw is added, removed or moved, all streams change.
type randomSource struct{ *rand.Rand }

// chance returns true with probability p.
func (d randomSource) chance(p float64) bool { return d.Float64() < p }

// between draws a number that is uniformly distributed between low and high.
func (d randomSource) between(low, high float64) float64 { return low + (high-low)*d.Float64() }

// oneOf draws one of the values with equal probability.
func oneOf[T any](d randomSource, values ...T) T { return values[d.IntN(len(values))] }

// settings draws the settings of a deployment. The fleet size, the presence of a counter and whether clients mark
// retries depend on the seed only, so that a few consecutive seeds cover all values.
func (d randomSource) settings(seed uint64) simSettings {
	s := simSettings{
		FleetSize:    []int{3, 60, 1, 8, 5}[seed%5],
		TickS:        oneOf(d, 0.004, 0.02, 0.04),
		Clients:      simClients{MarkRetries: seed%2 == 0},
		Discovery:    oneOf(d, "push", "ask"),
		Weights:      oneOf(d, "off", "nominal", "rough", "live"),
		Kinds:        []string{"small", "wide"},
		Zones:        []string{"east", "west", "north"},
		Zone:         d.IntN(3),
		Capabilities: d.capabilities(),
		QuotaCounter: d.quotaCounter(seed%4 != 3),
		LoadReport: simLoadReport{
			Fields:   []string{"pending", "busy_reqs"},
			Delivery: oneOf(d, "inline", "on_probe", "off"),
		},
		Requirements: d.requirements(),
		Prices:       map[string]float64{"crossZone": oneOf(d, 0, 0.1), "waste": 0.05, "lateFail": 0.05, "probe": 0.01},
	}
	s.Classes = d.classes()
	s.Plans = d.plans()
	return s
}

func (d randomSource) capabilities() simCapabilities {
	return simCapabilities{
		CanCancel:         d.chance(0.6),
		ConnectTimeoutS:   0.25,
		MaxOpen:           20000,
		MaxRetryAfterS:    0.5,
		CanHedge:          d.chance(0.6),
		MaxAttempts:       1 + d.IntN(5),
		CanProbe:          d.chance(0.5),
		CanSendRetryAfter: d.chance(0.6),
	}
}

func (d randomSource) quotaCounter(hasCounter bool) simQuotaCounter {
	return simQuotaCounter{
		CounterPrice:    0.02,
		CounterTimeoutS: 0.08,
		HasCounter:      hasCounter,
		MaxUnits:        1 + d.IntN(4),
		UnitsEstimated:  d.chance(0.3),
	}
}

func (d randomSource) requirements() simRequirements {
	return simRequirements{
		AnswerSlackS:      0.016,
		PollIntervalS:     10,
		SlowStartMinShare: d.between(0.1, 0.5),
		SlowStartWindowS:  oneOf(d, 0, 5.0, 13.0),
		DrainGraceS:       2,
		OverloadFactor:    2,
		OverloadDurationS: 2,
	}
}

// classes draws the settings of two idempotent classes, one non-idempotent class, and one class for each dedupe scope
// of idempotency by key.
func (d randomSource) classes() []simClass {
	var classes []simClass
	for _, kind := range []struct{ idempotency, scope string }{
		{"repeatable", "all"}, {"repeatable", "all"}, {"once", "all"},
		{"by_key", "all"}, {"by_key", "zone"}, {"by_key", "cell"},
	} {
		objective := d.between(0.2, 2)
		classes = append(classes, simClass{
			ObjectivePerUnitS: oneOf(d, 0, 0, 2.0),
			DeadlineS:         objective * d.between(1.5, 4),
			Idempotency:       kind.idempotency,
			DedupeScope:       kind.scope,
			LateWeightShare:   oneOf(d, 0, 0.4),
			ObjectiveS:        objective,
			Name:              fmt.Sprintf("class-%d", len(classes)),
			PriorityWeight:    1 + float64(d.IntN(8)),
			Streamed:          kind.idempotency != "by_key" && d.chance(0.4),
			DedupeWindowS:     oneOf(d, 0.6, 0.9, 5.0),
		})
	}
	return classes
}

// plans draws the settings of plans with no quota, with a rate only, with a rate and a ceiling, and with a concurrency
// limit.
func (d randomSource) plans() []simPlan {
	rate := d.between(0.5, 4)
	plans := []simPlan{
		{},
		{Rate: rate, Burst: d.between(2, 16)},
		{Rate: 4 + 3*rate, Burst: d.between(5, 30)},
		{Rate: rate, Burst: d.between(3, 15), CeilingRate: rate * d.between(1, 3), CeilingBurst: d.between(4, 30)},
		{Rate: 3 * rate, Burst: d.between(4, 15), CeilingRate: 4 * rate, CeilingBurst: 400, OverQuotaWeight: 0.6},
		{MaxConcurrent: 1 + d.IntN(8), Rate: oneOf(d, 0, rate)},
		{MaxConcurrent: 2, Rate: 2, Burst: 4},
		{Rate: 0.1, Burst: 1},
	}
	for i := range plans {
		p := &plans[i]
		p.Name = fmt.Sprintf("plan-%d", i)
		p.WeightFactor = d.between(0.3, 2)
		p.CeilingSlack = 3
		p.OverQuotaCost = oneOf(d, 0, 0.3, 1.2)
	}
	return plans
}
