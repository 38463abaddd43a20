package wire

import (
	"encoding/json"
	"fmt"

	"amberlb/policy"
)

// settingsJSON mirrors the JSON of an Attach record; unknown keys are passed over.
type settingsJSON struct {
	Capabilities struct {
		CanCancel         bool    `json:"cancel"`
		ConnectTimeoutS   float64 `json:"connectTimeoutS"`
		IdleTimeoutS      float64 `json:"keepaliveS"`
		MaxOpen           int     `json:"maxOpen"`
		MaxRetryAfterS    float64 `json:"maxRetryAfterS"`
		CanHedge          bool    `json:"mayDuplicate"`
		MaxAttempts       int     `json:"mostTries"`
		CanProbe          bool    `json:"probes"`
		CanSendRetryAfter bool    `json:"retryAfter"`
	} `json:"allowed"`
	Classes []struct {
		ObjectivePerUnitS float64 `json:"aimStretch"`
		DeadlineS         float64 `json:"deadlineS"`
		Idempotency       string  `json:"effect"`
		DedupeScope       string  `json:"keyScope"`
		LateWeightShare   float64 `json:"lateWorth"`
		Name              string  `json:"name"`
		ObjectiveS        float64 `json:"objectiveS"`
		PriorityWeight    float64 `json:"points"`
		Streamed          bool    `json:"streamed"`
		DedupeWindowS     float64 `json:"windowS"`
	} `json:"classes"`
	Discovery    string `json:"discovery"`
	QuotaCounter struct {
		CounterPrice    float64 `json:"counterPrice"`
		CounterTimeoutS float64 `json:"counterTimeoutS"`
		HasCounter      bool    `json:"hasCounter"`
		MaxUnits        float64 `json:"mostUnits"`
		UnitsEstimated  bool    `json:"truedUp"`
	} `json:"familyInfo"`
	FleetSize  int `json:"fleetSize"`
	LoadReport struct {
		Fields   []string `json:"fields"`
		Delivery string   `json:"how"`
	} `json:"loadReport"`
	Kinds        []string `json:"kinds"`
	Zones        []string `json:"localities"`
	Zone         int      `json:"locality"`
	Requirements struct {
		AnswerSlackS      float64 `json:"answerSlackS"`
		SlowStartMinShare float64 `json:"coldFrom"`
		SlowStartWindowS  float64 `json:"coldS"`
		DrainGraceS       float64 `json:"drainGraceS"`
		OverloadFactor    float64 `json:"fallMultiple"`
		OverloadDurationS float64 `json:"overloadForS"`
	} `json:"obligations"`
	Plans []struct {
		MaxConcurrent   float64 `json:"atOnce"`
		OverQuotaCost   float64 `json:"beyondCosts"`
		CeilingSlack    float64 `json:"capSlack"`
		CeilingBurst    float64 `json:"ceilingBurst"`
		Burst           float64 `json:"depth"`
		Name            string  `json:"name"`
		CeilingRate     float64 `json:"neverOverRate"`
		OverQuotaWeight float64 `json:"overWorth"`
		WeightFactor    float64 `json:"pays"`
		Rate            float64 `json:"unitsPerS"`
	} `json:"packages"`
	Prices struct {
		CrossZone   float64 `json:"crossZone"`
		LateFailure float64 `json:"lateFail"`
		Probe       float64 `json:"probe"`
		Waste       float64 `json:"waste"`
	} `json:"prices"`
	Rank    int     `json:"rank"`
	TickS   float64 `json:"tickS"`
	Weights string  `json:"weights"`
}

var idempotencyByName = map[string]policy.Idempotency{"": policy.Idempotent, "repeatable": policy.Idempotent,
	"by_key": policy.IdempotentByKey, "once": policy.NonIdempotent}

var dedupeScopesByName = map[string]policy.DedupeScope{"": policy.ScopeAll, "all": policy.ScopeAll,
	"zone": policy.ScopeZone, "cell": policy.ScopeCell}

var loadFieldsByName = map[string]policy.LoadField{"busy_reqs": policy.LoadInFlight, "pending": policy.LoadQueued,
	"cpu_share": policy.LoadCPU, "svc_ms": policy.LoadServiceMillis,
	"served_ps": policy.LoadServedPerSecond, "failed_ps": policy.LoadErrorsPerSecond}

// Deployment is all that the settings state: what the decisions need, and the
// names by which sockets speak of the same things, in the settings' order.
type Deployment struct {
	policy.Settings
	ClassNames, PlanNames, Zones, Kinds []string
	IdleTimeout                         float64 // seconds; idle connections are closed after it
}

// ParseSettings reads the settings of an Attach record.
func ParseSettings(text []byte) (policy.Settings, error) {
	d, err := ParseDeployment(text)
	return d.Settings, err
}

// ParseDeployment reads the settings with the names in them.
func ParseDeployment(text []byte) (Deployment, error) {
	var parsed settingsJSON
	if err := json.Unmarshal(text, &parsed); err != nil {
		return Deployment{}, fmt.Errorf("settings: %w", err)
	}
	d := Deployment{Zones: parsed.Zones, Kinds: parsed.Kinds, IdleTimeout: parsed.Capabilities.IdleTimeoutS}
	for _, c := range parsed.Classes {
		d.ClassNames = append(d.ClassNames, c.Name)
	}
	for _, p := range parsed.Plans {
		d.PlanNames = append(d.PlanNames, p.Name)
	}
	var err error
	d.Settings, err = parsed.policySettings()
	return d, err
}

// policySettings translates the options into what the decisions need.
func (j *settingsJSON) policySettings() (policy.Settings, error) {
	s := j.generalSettings()
	for _, c := range j.Classes {
		idempotency, known := idempotencyByName[c.Idempotency]
		if !known {
			return s, fmt.Errorf("settings: effect %q is not known", c.Idempotency)
		}
		scope, known := dedupeScopesByName[c.DedupeScope]
		if !known && idempotency == policy.IdempotentByKey {
			return s, fmt.Errorf("settings: key scope %q is not known", c.DedupeScope)
		}
		s.Classes = append(s.Classes, policy.Class{LatencyObjective: c.ObjectiveS, ObjectivePerUnit: c.ObjectivePerUnitS,
			Deadline: c.DeadlineS, PriorityWeight: c.PriorityWeight, LateWeightShare: c.LateWeightShare, Idempotency: idempotency,
			DedupeScope: scope, DedupeWindow: c.DedupeWindowS, Streamed: c.Streamed})
	}
	for _, p := range j.Plans {
		s.Plans = append(s.Plans, policy.Plan{WeightFactor: p.WeightFactor, Rate: p.Rate, Burst: p.Burst,
			MaxConcurrent: int(p.MaxConcurrent), OverQuotaWeight: p.OverQuotaWeight, OverQuotaCost: p.OverQuotaCost,
			CeilingRate: p.CeilingRate, CeilingBurst: p.CeilingBurst, CeilingSlack: p.CeilingSlack})
	}
	if len(s.Classes) == 0 || len(s.Plans) == 0 {
		return s, fmt.Errorf("settings: no classes or no packages")
	}
	return s, nil
}

// generalSettings translates all that is neither a class nor a plan.
func (j *settingsJSON) generalSettings() policy.Settings {
	s := policy.Settings{
		GatewayIndex: j.Rank, FleetSize: j.FleetSize, Zone: j.Zone, Tick: j.TickS,
		PollDiscovery:      j.Discovery == "ask",
		ApproximateWeights: j.Weights == "rough" || j.Weights == "nominal",
		LoadInline:         j.LoadReport.Delivery == "inline",

		Counter:        j.QuotaCounter.HasCounter,
		CounterTimeout: j.QuotaCounter.CounterTimeoutS,
		CounterPrice:   j.QuotaCounter.CounterPrice,
		MaxUnits:       j.QuotaCounter.MaxUnits,
		UnitsEstimated: j.QuotaCounter.UnitsEstimated,

		CanCancel: j.Capabilities.CanCancel, CanProbe: j.Capabilities.CanProbe, CanHedge: j.Capabilities.CanHedge,
		CanSendRetryAfter: j.Capabilities.CanSendRetryAfter, MaxRetryAfter: j.Capabilities.MaxRetryAfterS,
		MaxAttempts: j.Capabilities.MaxAttempts, MaxOpenRequests: j.Capabilities.MaxOpen,
		ConnectTimeout: j.Capabilities.ConnectTimeoutS,

		AnswerSlack: j.Requirements.AnswerSlackS, DrainGrace: j.Requirements.DrainGraceS,
		SlowStartMinShare: j.Requirements.SlowStartMinShare, SlowStartWindow: j.Requirements.SlowStartWindowS,
		OverloadFactor: j.Requirements.OverloadFactor, OverloadDuration: j.Requirements.OverloadDurationS,

		CrossZonePrice: j.Prices.CrossZone, WastePrice: j.Prices.Waste,
		LateFailurePrice: j.Prices.LateFailure, ProbePrice: j.Prices.Probe,
	}
	for _, f := range j.LoadReport.Fields {
		s.LoadFields = append(s.LoadFields, loadFieldsByName[f])
	}
	return s
}
