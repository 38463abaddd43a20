package experiment

import (
	_ "embed"
	"encoding/json"
	"fmt"
)

// minBurstRequests is the smallest burst of a quota, in requests. It applies to quotas with a low rate.
const minBurstRequests = 4.0

// settingsTemplate holds the deployment settings that all experiments share. The method
// settings adds the plans, the fleet size, the gateway's rank and locality, whether there is a
// counter, and the highest cost of a request.
// The template describes no existing deployment.
//
//go:embed settings.json
var settingsTemplate []byte

// planJSON is a plan as encoded in the settings. It has a quota and weights; the other keys
// of a plan are left out.
type planJSON struct {
	Name            string  `json:"name"`
	Rate            float64 `json:"unitsPerS"` // units a second
	Burst           float64 `json:"depth"`     // units
	WeightFactor    float64 `json:"pays"`
	OverQuotaCost   float64 `json:"beyondCosts"`
	OverQuotaWeight float64 `json:"overWorth"`
}

// newPlan returns a plan with a quota of unitsPerSecond. The burst is burstS times unitsPerSecond, or minBurstRequests
// requests if that is more.
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

// settings returns the deployment settings for the gateway with this rank. They hold one
// plan for each group, in the order of the groups, followed by the plans of the tenants.
func (e *Experiment) settings(rank int) (json.RawMessage, error) {
	var settings map[string]any
	if err := json.Unmarshal(settingsTemplate, &settings); err != nil {
		return nil, fmt.Errorf("settings template: %w", err)
	}
	plans, maxUnits := e.groupPlans()
	_, tenantPlans := e.tenants()
	plans = append(plans, tenantPlans...)
	if len(plans) == 0 {
		plans = []planJSON{newPlan("unused", 1, 1, 1)} // settings without a plan are invalid
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

// groupPlans returns a plan for each group, and the highest cost of a request of any group or tenant, in units. A
// request of a tenant costs 1 unit.
func (e *Experiment) groupPlans() (plans []planJSON, maxUnits float64) {
	maxUnits = 1
	for _, g := range e.Groups {
		unitsPerSecond := g.RequestsPerSecond * g.UnitsPerRequest / g.Utilization
		plans = append(plans, newPlan(g.Name, unitsPerSecond, g.BurstS, g.UnitsPerRequest))
		maxUnits = max(maxUnits, g.UnitsPerRequest)
	}
	return plans, maxUnits
}
