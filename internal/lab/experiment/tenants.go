package experiment

import (
	"fmt"
	"math"

	"amberlb/internal/lab/gatewayprocess"
)

// firstTenantID is the lowest id of the gateway processes' tenants. It is above those of all hollow customers.
const firstTenantID = 1 << 32

// tenants are the customers of the gateway processes, the busiest first, and their plans: one for each halving of the
// rate. The subset of a tenant consists of gateway processes as far as there are enough; beyond them it goes on among
// gateways that are not started here.
func (e *Experiment) tenants() ([]gatewayprocess.Tenant, []planJSON) {
	if e.Fleet.GatewayProcesses == 0 {
		return nil, nil
	}
	config := &e.Tenants
	busiestRate := e.busiestTenantRate()
	firstGateways := max(e.Fleet.GatewayProcesses-config.SubsetSize, 0) + 1 // subsets that start at these are all processes
	var tenants []gatewayprocess.Tenant
	var plans []planJSON
	for i := range config.Count {
		planIndex := int(config.ZipfExponent * math.Log2(float64(i+1)))
		for len(plans) <= planIndex {
			n := len(plans)
			rate := busiestRate / math.Exp2(float64(n))
			plans = append(plans, newPlan(fmt.Sprintf("tenants-%d", n), rate, config.BurstS, 1))
		}
		tenants = append(tenants, gatewayprocess.Tenant{
			ID:           firstTenantID + uint64(i),
			Plan:         plans[planIndex].Name,
			SubsetSize:   config.SubsetSize,
			FirstGateway: i % firstGateways,
		})
	}
	return tenants, plans
}

// busiestTenantRate is the quota of the busiest tenant, in units a second.
func (e *Experiment) busiestTenantRate() float64 {
	config := &e.Tenants
	zipfSum := 0.0
	for i := range config.Count {
		zipfSum += math.Pow(float64(i+1), -config.ZipfExponent)
	}
	gateways := float64(max(e.Fleet.GatewayProcesses, config.SubsetSize))
	return config.RequestsPerGateway * gateways / zipfSum / config.Utilization
}
