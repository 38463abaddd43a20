package experiment

import (
	_ "embed"
	"encoding/json"
	"fmt"
	"math"

	"amberlb/internal/lab/real"
)

const (
	leastBurst = 4.0     // requests in the burst of a quota, however low its rate
	firstAlias = 1 << 32 // the real gateways' tenants are numbered from here, above all hollow customers
)

// template is a deployment of no site, which states all but the plans, the fleet
// and the counter.
//
//go:embed settings.json
var template []byte

// plan is a plan in the settings' form: a quota and a price, nothing else.
type plan struct {
	Name      string  `json:"name"`
	UnitsPerS float64 `json:"unitsPerS"`
	Depth     float64 `json:"depth"`
	Pays      float64 `json:"pays"`
	Beyond    float64 `json:"beyondCosts"`
	OverWorth float64 `json:"overWorth"`
}

func newPlan(name string, unitsPerSecond, burstS, units float64) plan {
	return plan{Name: name, UnitsPerS: unitsPerSecond, Depth: max(burstS*unitsPerSecond, leastBurst*units),
		Pays: 1, Beyond: 1, OverWorth: 0.3}
}

// settings are those of the gateway of a rank: the groups' plans in their order,
// then the tenants'.
func (e *Experiment) settings(rank int) (json.RawMessage, error) {
	var s map[string]any
	if err := json.Unmarshal(template, &s); err != nil {
		return nil, fmt.Errorf("template of the settings: %w", err)
	}
	units := 1.0
	var plans []plan
	for _, g := range e.Groups {
		plans = append(plans, newPlan(g.Name, g.PerSecond*g.Units/g.Use, g.BurstS, g.Units))
		units = max(units, g.Units)
	}
	_, tenants := e.tenants()
	if plans = append(plans, tenants...); len(plans) == 0 {
		plans = []plan{newPlan("unused", 1, 1, 1)} // settings have one at least
	}
	s["packages"] = plans
	s["fleetSize"], s["rank"] = e.Fleet.Gateways, rank
	s["locality"] = rank % len(s["localities"].([]any))
	family := s["familyInfo"].(map[string]any)
	family["hasCounter"], family["mostUnits"] = e.Counter.Parts > 0, units
	return json.Marshal(s)
}

// tenants are the customers of the real gateways, the busiest first, and their
// plans: one for each halving of the rate. A tenant's gateways are real as far as
// these suffice; beyond them the set goes on among gateways that are not here.
func (e *Experiment) tenants() ([]real.Tenant, []plan) {
	t := &e.Tenants
	if e.Fleet.Real == 0 {
		return nil, nil
	}
	sum := 0.0
	for i := range t.Count {
		sum += math.Pow(float64(i+1), -t.Zipf)
	}
	busiest := t.PerGateway * float64(max(e.Fleet.Real, t.Spread)) / sum / t.Use // units a second of its quota
	var all []real.Tenant
	var plans []plan
	for i := range t.Count {
		step := int(t.Zipf * math.Log2(float64(i+1)))
		for len(plans) <= step {
			n := len(plans)
			plans = append(plans, newPlan(fmt.Sprintf("tenants-%d", n), busiest/math.Exp2(float64(n)), t.BurstS, 1))
		}
		starts := max(e.Fleet.Real-t.Spread, 0) + 1 // sets start so that they lie among the real ones
		all = append(all, real.Tenant{ID: firstAlias + uint64(i), Plan: plans[step].Name, Spread: t.Spread, First: i % starts})
	}
	return all, plans
}

// span is what one process of hollow gateways holds.
type span struct {
	first, gateways int // ranks
	group, groups   int
}

// jobs shares the hollow gateways out over processes. A group stays whole: its
// customers' quotas are followed where all of its gateways are.
func (e *Experiment) jobs() []span {
	var jobs []span
	first, n := e.Fleet.Real, e.Fleet.Processes
	for p := range min(n, len(e.Groups)) {
		from, to := p*len(e.Groups)/min(n, len(e.Groups)), (p+1)*len(e.Groups)/min(n, len(e.Groups))
		j := span{first: first, group: from, groups: to - from}
		for _, g := range e.Groups[from:to] {
			j.gateways += g.Gateways
		}
		first += j.gateways
		jobs = append(jobs, j)
	}
	end := e.Fleet.Real + e.hollow()
	for rest := end - first; first < end; {
		j := span{first: first, gateways: min((rest+n-1)/n, end-first)}
		first += j.gateways
		jobs = append(jobs, j)
	}
	return jobs
}
