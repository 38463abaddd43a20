package experiment

import (
	_ "embed"
	"encoding/json"
	"fmt"
	"math"

	"amberlb/internal/lab/gatewayprocess"
)

const (
	minBurstRequests = 4.0     // requests in the burst of a quota, however low its rate
	firstTenantID    = 1 << 32 // the real gateways' tenants are numbered from here, above all hollow customers
)

// settingsTemplate is a deployment of no site, which states all but the plans, the fleet
// and the counter.
//
//go:embed settings.json
var settingsTemplate []byte

// planJSON is a plan in the settings' form: a quota and a price, nothing else.
type planJSON struct {
	Name            string  `json:"name"`
	Rate            float64 `json:"unitsPerS"`
	Burst           float64 `json:"depth"`
	WeightFactor    float64 `json:"pays"`
	OverQuotaCost   float64 `json:"beyondCosts"`
	OverQuotaWeight float64 `json:"overWorth"`
}

func newPlan(name string, unitsPerSecond, burstS, units float64) planJSON {
	return planJSON{Name: name, Rate: unitsPerSecond, Burst: max(burstS*unitsPerSecond, minBurstRequests*units),
		WeightFactor: 1, OverQuotaCost: 1, OverQuotaWeight: 0.3}
}

// settings are those of the gateway of a rank: the groups' plans in their order,
// then the tenants'.
func (e *Experiment) settings(rank int) (json.RawMessage, error) {
	var s map[string]any
	if err := json.Unmarshal(settingsTemplate, &s); err != nil {
		return nil, fmt.Errorf("template of the settings: %w", err)
	}
	units := 1.0
	var plans []planJSON
	for _, g := range e.Groups {
		plans = append(plans, newPlan(g.Name, g.RequestsPerSecond*g.UnitsPerRequest/g.Utilization, g.BurstS, g.UnitsPerRequest))
		units = max(units, g.UnitsPerRequest)
	}
	_, tenants := e.tenants()
	if plans = append(plans, tenants...); len(plans) == 0 {
		plans = []planJSON{newPlan("unused", 1, 1, 1)} // settings have one at least
	}
	s["packages"] = plans
	s["fleetSize"], s["rank"] = e.Fleet.Gateways, rank
	s["locality"] = rank % len(s["localities"].([]any))
	family := s["familyInfo"].(map[string]any)
	family["hasCounter"], family["mostUnits"] = e.Counter.Shards > 0, units
	return json.Marshal(s)
}

// tenants are the customers of the real gateways, the busiest first, and their
// plans: one for each halving of the rate. A tenant's gateways are real as far as
// these suffice; beyond them the set goes on among gateways that are not here.
func (e *Experiment) tenants() ([]gatewayprocess.Tenant, []planJSON) {
	config := &e.Tenants
	if e.Fleet.GatewayProcesses == 0 {
		return nil, nil
	}
	sum := 0.0
	for i := range config.Count {
		sum += math.Pow(float64(i+1), -config.ZipfExponent)
	}
	busiest := config.RequestsPerGateway * float64(max(e.Fleet.GatewayProcesses, config.SubsetSize)) / sum / config.Utilization // units a second of its quota
	var all []gatewayprocess.Tenant
	var plans []planJSON
	for i := range config.Count {
		planIndex := int(config.ZipfExponent * math.Log2(float64(i+1)))
		for len(plans) <= planIndex {
			n := len(plans)
			plans = append(plans, newPlan(fmt.Sprintf("tenants-%d", n), busiest/math.Exp2(float64(n)), config.BurstS, 1))
		}
		startPositions := max(e.Fleet.GatewayProcesses-config.SubsetSize, 0) + 1 // sets start so that they lie among the real ones
		all = append(all, gatewayprocess.Tenant{ID: firstTenantID + uint64(i), Plan: plans[planIndex].Name, SubsetSize: config.SubsetSize, FirstGateway: i % startPositions})
	}
	return all, plans
}

// hollowJob is what one process of hollow gateways holds.
type hollowJob struct {
	firstRank, gateways    int // ranks
	firstGroup, groupCount int
}

// hollowJobs shares the hollow gateways out over processes. A group stays whole: its
// customers' quotas are followed where all of its gateways are.
func (e *Experiment) hollowJobs() []hollowJob {
	var jobs []hollowJob
	first, n := e.Fleet.GatewayProcesses, e.Fleet.HollowProcesses
	for p := range min(n, len(e.Groups)) {
		from, to := p*len(e.Groups)/min(n, len(e.Groups)), (p+1)*len(e.Groups)/min(n, len(e.Groups))
		j := hollowJob{firstRank: first, firstGroup: from, groupCount: to - from}
		for _, g := range e.Groups[from:to] {
			j.gateways += g.Gateways
		}
		first += j.gateways
		jobs = append(jobs, j)
	}
	end := e.Fleet.GatewayProcesses + e.hollowGateways()
	for rest := end - first; first < end; {
		j := hollowJob{firstRank: first, gateways: min((rest+n-1)/n, end-first)}
		first += j.gateways
		jobs = append(jobs, j)
	}
	return jobs
}
