package main

import (
	"fmt"
	"math/rand/v2"
)

// simSettings are the settings of a deployment, as the wire states them.
type simSettings struct {
	Capabilities simCapabilities    `json:"allowed"`
	Classes      []simClass         `json:"classes"`
	Plans        []simPlan          `json:"packages"`
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

type simQuotaCounter struct {
	CounterPrice    float64 `json:"counterPrice"`
	CounterTimeoutS float64 `json:"counterTimeoutS"`
	HasCounter      bool    `json:"hasCounter"`
	MaxUnits        int     `json:"mostUnits"`
	UnitsEstimated  bool    `json:"truedUp"`
}

type simLoadReport struct {
	Fields   []string `json:"fields"`
	Delivery string   `json:"how"`
}

type simRequirements struct {
	AnswerSlackS      float64 `json:"answerSlackS"`
	PollIntervalS     float64 `json:"askEveryS"`
	SlowStartMinShare float64 `json:"coldFrom"`
	SlowStartWindowS  float64 `json:"coldS"`
	DrainGraceS       float64 `json:"drainGraceS"`
	OverloadFactor    float64 `json:"fallMultiple"`
	OverloadDurationS float64 `json:"overloadForS"`
}

// draws are the random draws of a stream.
type draws struct{ *rand.Rand }

func (d draws) chance(p float64) bool { return d.Float64() < p }

func (d draws) between(low, high float64) float64 { return low + (high-low)*d.Float64() }

func oneOf[T any](d draws, values ...T) T { return values[d.IntN(len(values))] }

// settings draws a deployment. The size of the fleet and the use of a counter go round with the seed, so that
// few seeds meet them all.
func (d draws) settings(seed uint64) simSettings {
	s := simSettings{
		FleetSize: []int{3, 60, 1, 8, 5}[seed%5], TickS: oneOf(d, 0.004, 0.02, 0.04),
		Discovery: oneOf(d, "push", "ask"), Weights: oneOf(d, "off", "nominal", "rough", "live"),
		Kinds: []string{"small", "wide"}, Zones: []string{"east", "west", "north"}, Zone: d.IntN(3),
		Capabilities: simCapabilities{CanCancel: d.chance(0.6), ConnectTimeoutS: 0.25, MaxOpen: 20000, MaxRetryAfterS: 0.5,
			CanHedge: d.chance(0.6), MaxAttempts: 1 + d.IntN(5), CanProbe: d.chance(0.5), CanSendRetryAfter: d.chance(0.6)},
		QuotaCounter: simQuotaCounter{CounterPrice: 0.02, CounterTimeoutS: 0.08, HasCounter: seed%4 != 3,
			MaxUnits: 1 + d.IntN(4), UnitsEstimated: d.chance(0.3)},
		LoadReport: simLoadReport{[]string{"pending", "busy_reqs"}, oneOf(d, "inline", "on_probe", "off")},
		Requirements: simRequirements{AnswerSlackS: 0.016, PollIntervalS: 10, SlowStartMinShare: d.between(0.1, 0.5),
			SlowStartWindowS: oneOf(d, 0, 5.0, 13.0), DrainGraceS: 2, OverloadFactor: 2, OverloadDurationS: 2},
		Prices: map[string]float64{"crossZone": oneOf(d, 0, 0.1), "waste": 0.05, "lateFail": 0.05, "probe": 0.01},
	}
	for _, c := range []struct{ effect, scope string }{{"repeatable", "all"}, {"repeatable", "all"}, {"once", "all"},
		{"by_key", "all"}, {"by_key", "zone"}, {"by_key", "cell"}} {
		aim := d.between(0.2, 2)
		s.Classes = append(s.Classes, simClass{ObjectivePerUnitS: oneOf(d, 0, 0, 2.0), DeadlineS: aim * d.between(1.5, 4),
			Idempotency: c.effect, DedupeScope: c.scope, LateWeightShare: oneOf(d, 0, 0.4), ObjectiveS: aim,
			Name: fmt.Sprintf("class-%d", len(s.Classes)), PriorityWeight: 1 + float64(d.IntN(8)),
			Streamed: c.effect != "by_key" && d.chance(0.4), DedupeWindowS: oneOf(d, 0.6, 0.9, 5.0)})
	}
	rate := d.between(0.5, 4)
	s.Plans = []simPlan{{},
		{Rate: rate, Burst: d.between(2, 16)},
		{Rate: 4 + 3*rate, Burst: d.between(5, 30)},
		{Rate: rate, Burst: d.between(3, 15), CeilingRate: rate * d.between(1, 3), CeilingBurst: d.between(4, 30)},
		{Rate: 3 * rate, Burst: d.between(4, 15), CeilingRate: 4 * rate, CeilingBurst: 400, OverQuotaWeight: 0.6},
		{MaxConcurrent: 1 + d.IntN(8), Rate: oneOf(d, 0, rate)}, {MaxConcurrent: 2, Rate: 2, Burst: 4},
		{Rate: 0.1, Burst: 1}}
	for i := range s.Plans {
		p := &s.Plans[i]
		p.Name, p.WeightFactor, p.CeilingSlack = fmt.Sprintf("plan-%d", i), d.between(0.3, 2), 3
		p.OverQuotaCost = oneOf(d, 0, 0.3, 1.2)
	}
	return s
}
