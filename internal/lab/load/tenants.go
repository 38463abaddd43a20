package load

import (
	"math"
	"math/rand/v2"
	"slices"
)

// TenantDistribution is a distribution of requests over tenants. The first tenant has the largest share.
type TenantDistribution struct {
	cumulative []float64 // for each tenant, the sum of the shares of all tenants up to and including it
}

// NewTenantDistribution returns a Zipf distribution over n tenants: the share of the i-th tenant, counted from 1, is
// proportional to i^-exponent. An exponent of 0 gives equal shares.
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

// Sample draws a tenant and returns its index, counted from 0.
func (d *TenantDistribution) Sample(rng *rand.Rand) int {
	i, _ := slices.BinarySearch(d.cumulative, rng.Float64())
	return min(i, len(d.cumulative)-1)
}
