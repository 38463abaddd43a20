package experiment

import (
	"fmt"
	"math"

	"amberlb/internal/lab/gatewayprocess"
)

// firstTenantID is the lowest customer id of the tenants. It is above the ids of all customers of hollow gateways,
// unless the fleet size times the number of customers of a group exceeds 2^32.
const firstTenantID = 1 << 32

// tenants returns the customers of the gateway processes in order of falling request rate, and their plans. Each plan
// has half the quota of the plan before it. A subset that is larger than the number of gateway processes also
// contains ranks of gateways that are not started.
func (e *Experiment) tenants() ([]gatewayprocess.Tenant, []planJSON) {
	if e.Fleet.GatewayProcesses == 0 {
		return nil, nil
	}
	config := &e.Tenants
	busiestQuota := e.busiestTenantQuota()
	// firstGateways is the number of gateways that can be the first gateway of a subset. It is 1 if a subset has at
	// least as many gateways as there are gateway processes.
	firstGateways := max(e.Fleet.GatewayProcesses-config.SubsetSize, 0) + 1
	var tenants []gatewayprocess.Tenant
	var plans []planJSON
	for i := range config.Count {
		planIndex := int(config.ZipfExponent * math.Log2(float64(i+1)))
		for len(plans) <= planIndex {
			n := len(plans)
			rate := busiestQuota / math.Exp2(float64(n))
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

// busiestTenantQuota returns the rate of the quota of the tenant with the highest request rate, in units a second.
func (e *Experiment) busiestTenantQuota() float64 {
	config := &e.Tenants
	zipfSum := 0.0
	for i := range config.Count {
		zipfSum += math.Pow(float64(i+1), -config.ZipfExponent)
	}
	gateways := float64(max(e.Fleet.GatewayProcesses, config.SubsetSize))
	return config.RequestsPerGateway * gateways / zipfSum / config.Utilization
}
