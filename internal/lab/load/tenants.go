package load

import (
	"math"
	"math/rand/v2"
	"slices"
)

// TenantDistribution is the shares of the requests that tenants have. The first tenant has the most.
type TenantDistribution struct {
	cumulative []float64 // for each tenant the share of all up to it, its own included
}

// NewTenantDistribution distributes requests over n tenants by a Zipf law: the i-th, counted from 1, has i^-exponent of
// what the first one has. An exponent of 0 is even.
func NewTenantDistribution(n int, exponent float64) *TenantDistribution {
	d := &TenantDistribution{cumulative: make([]float64, n)}
	sum := 0.0
	for i := range d.cumulative {
		sum += math.Pow(float64(i+1), -exponent)
		d.cumulative[i] = sum
	}
	for i := range d.cumulative {
		d.cumulative[i] /= sum
	}
	return d
}

// Sample draws a tenant, counted from 0.
func (d *TenantDistribution) Sample(rng *rand.Rand) int {
	i, _ := slices.BinarySearch(d.cumulative, rng.Float64())
	return min(i, len(d.cumulative)-1)
}
