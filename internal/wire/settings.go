package wire

import (
	"encoding/json"
	"fmt"

	"amberlb/policy"
)

// Deployment holds everything that the settings state: the settings of the policy engine, and the names by which
// requests and endpoint lists refer to classes, plans, zones and kinds of machines. The policy engine refers to
// these by their index in the lists of names.
type Deployment struct {
	policy.Settings
	ClassNames  []string
	PlanNames   []string
	Zones       []string
	Kinds       []string // kinds of machines
	IdleTimeout float64  // seconds after which idle connections are closed
}

// ParseSettings parses the settings of an instance and returns only those of the policy engine.
func ParseSettings(text []byte) (policy.Settings, error) {
	deployment, err := ParseDeployment(text)
	return deployment.Settings, err
}

// ParseDeployment parses the settings of a deployment. It returns an *UnknownNameError if a setting has a value
// that is not defined for it, and ErrNoClassesOrPlans if the settings have no class or no plan.
func ParseDeployment(text []byte) (Deployment, error) {
	var parsed settingsJSON
	if err := json.Unmarshal(text, &parsed); err != nil {
		return Deployment{}, fmt.Errorf("settings: %w", err)
	}
	deployment := Deployment{
		ClassNames:  parsed.classNames(),
		PlanNames:   parsed.planNames(),
		Zones:       parsed.Zones,
		Kinds:       parsed.Kinds,
		IdleTimeout: parsed.Capabilities.IdleTimeoutS,
	}
	var err error
	deployment.Settings, err = parsed.policySettings()
	return deployment, err
}

// settingsJSON mirrors the JSON of the settings. Its tags are the keys that the protocol defines; unknown keys are
// ignored. Fields whose names end in S are in seconds.
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
	Clients struct {
		MarkRetries bool `json:"marksRetry"`
	} `json:"clients"`
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
