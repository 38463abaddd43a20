package experiment

import (
	_ "embed"
	"encoding/json"
	"fmt"
)

// minBurstRequests is the smallest burst of a quota, in requests, however low its rate.
const minBurstRequests = 4.0

// settingsTemplate is a deployment of no site, which states all but the plans, the fleet
// and the counter.
//
//go:embed settings.json
var settingsTemplate []byte

// planJSON is a plan in the settings' form: a quota and a weight, nothing else.
type planJSON struct {
	Name            string  `json:"name"`
	Rate            float64 `json:"unitsPerS"` // units a second
	Burst           float64 `json:"depth"`     // units
	WeightFactor    float64 `json:"pays"`
	OverQuotaCost   float64 `json:"beyondCosts"`
	OverQuotaWeight float64 `json:"overWorth"`
}

// newPlan is a plan of a rate in units a second, with a burst of so many seconds of it but of a few requests at least.
func newPlan(name string, unitsPerSecond, burstS, unitsPerRequest float64) planJSON {
	return planJSON{
		Name:            name,
		Rate:            unitsPerSecond,
		Burst:           max(burstS*unitsPerSecond, minBurstRequests*unitsPerRequest),
		WeightFactor:    1,
		OverQuotaCost:   1,
		OverQuotaWeight: 0.3,
	}
}

// settings are those of the gateway of a rank: the groups' plans in their order,
// then the tenants'.
func (e *Experiment) settings(rank int) (json.RawMessage, error) {
	var settings map[string]any
	if err := json.Unmarshal(settingsTemplate, &settings); err != nil {
		return nil, fmt.Errorf("template of the settings: %w", err)
	}
	plans, maxUnits := e.groupPlans()
	_, tenantPlans := e.tenants()
	plans = append(plans, tenantPlans...)
	if len(plans) == 0 {
		plans = []planJSON{newPlan("unused", 1, 1, 1)} // settings must have a plan
	}
	settings["packages"] = plans
	settings["fleetSize"] = e.Fleet.Gateways
	settings["rank"] = rank
	settings["locality"] = rank % len(settings["localities"].([]any))
	familyInfo := settings["familyInfo"].(map[string]any)
	familyInfo["hasCounter"] = e.Counter.Shards > 0
	familyInfo["mostUnits"] = maxUnits
	return json.Marshal(settings)
}

// groupPlans are the plans of the groups, and the most units that a request of any group, or of a tenant, costs.
func (e *Experiment) groupPlans() (plans []planJSON, maxUnits float64) {
	maxUnits = 1
	for _, g := range e.Groups {
		unitsPerSecond := g.RequestsPerSecond * g.UnitsPerRequest / g.Utilization
		plans = append(plans, newPlan(g.Name, unitsPerSecond, g.BurstS, g.UnitsPerRequest))
		maxUnits = max(maxUnits, g.UnitsPerRequest)
	}
	return plans, maxUnits
}
