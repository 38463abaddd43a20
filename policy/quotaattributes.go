package policy

// What a plan comes to. Each is a share or a count that holds for any deployment.
const (
	maxSmallGatewaySet     = 5.0  // gateways of a customer that are few
	longWindow             = 50.0 // seconds of a long window; names live 60 s at most
	ceilingLeaseShare      = 0.22 // of a ceiling's burst: what a window may lease; local shares have the rest
	concurrencyUtilization = 0.65 // mean use of the places, where they are kept as a rate
	concurrencyRateWindow  = 1.0  // seconds of the window for that
	minUnitsPerGateway     = 4.0  // units of refill a window and gateway, lest reports come too late
	localUnits             = 5.0  // units that one of many holds, as far as that is so many bursts for all
	smallSetOverdraft      = 0.8  // part of the burst that the counter lends where gateways are few
	largeSetOverdraft      = 2.0  // and where they are many: what these hold ahead would pass for a dry spell
)

// quotaAttributes are what a plan comes to for one customer at one gateway.
type quotaAttributes struct {
	smallGatewaySet         bool // its gateways are
	reportedStore           bool // its store is kept by reports of what own shares have spent
	refillsWithinWindow     bool // its window is: allowances grow with time
	admitsOverQuota         bool // what own shares let in beyond the quota earns more than it costs
	gatewayCount            float64
	overdraft               float64 // of such a store: units that the counter lends at once
	rate, allowance, window float64 // units a second, units a window, its length
	initialAllowance        float64 // the first allowance where nothing is known
	localRate, localBurst   float64
	initialLease            float64 // block
	concurrencyLimit        int
	localConcurrency        int // of the places, this gateway's own
}

// quotaFor works out what a plan comes to for a customer of so many gateways.
//
// A store is kept by reports of what own shares have spent (settle) wherever a customer has few gateways,
// or these see enough of it. Under a ceiling, calls keep it alone: few gateways each see the totals often
// enough for an exact store, a long window whose allowance grows with time. Else each window is short and
// stands for itself.
//
// Under a ceiling, leases and local shares together never pass it. An exact store spends in any time L
// allowance*(1+leaseLifeShare) + rate*L at most, and twice the first allowance if the counter comes back
// empty; short windows allowance*(2+leaseLifeShare) + rate*L. The shares have the rest of burst and rate.
// Where a plan gains by what is served beyond its quota, they also pay for that, at the lowest level;
// without a ceiling nothing would bound it.
func (e *Engine) quotaFor(p *Plan, gateways, index int) quotaAttributes {
	n := float64(max(gateways, 1))
	t := quotaAttributes{gatewayCount: n, rate: p.Rate, allowance: p.Burst, initialLease: p.Burst / n,
		smallGatewaySet: n <= maxSmallGatewaySet,
		localRate:       p.Rate / n, localBurst: max(p.Burst/n, 1), concurrencyLimit: p.MaxConcurrent,
		localConcurrency: (p.MaxConcurrent + gateways - 1 - index) / max(gateways, 1)} // their sum is the limit
	t.reportedStore = e.settings.Counter && p.CeilingRate <= 0 && p.Rate > 0 &&
		(t.smallGatewaySet || p.Rate*longWindow >= minUnitsPerGateway*n)
	switch {
	case t.reportedStore && t.smallGatewaySet:
		t.overdraft = smallSetOverdraft * p.Burst
	case t.reportedStore:
		t.overdraft = largeSetOverdraft * p.Burst
		t.localBurst = max(p.Burst/n, min(localUnits, localUnits*p.Burst/n), 1)
	}
	t.refillsWithinWindow = t.smallGatewaySet || t.reportedStore
	t.initialAllowance = t.allowance
	if p.CeilingRate > 0 {
		t.rate = min(p.Rate, p.CeilingRate)
		if t.smallGatewaySet {
			t.allowance = min(p.Burst, p.CeilingBurst/(1+leaseLifeShare))
			t.initialAllowance = (p.CeilingBurst - (1+leaseLifeShare)*t.allowance) / 2
			t.localBurst = t.initialAllowance / n
		} else {
			t.allowance = min(p.Burst, p.CeilingBurst*ceilingLeaseShare)
			if (p.CeilingBurst-(2+leaseLifeShare)*t.allowance)/n < 1 {
				// A share that never holds a unit pays for nothing, and is lost to the customer. So
				// leases have what they can use of it.
				t.allowance = min(p.Burst, p.CeilingBurst/(2+leaseLifeShare))
			}
			t.initialAllowance, t.localBurst = t.allowance, (p.CeilingBurst-(2+leaseLifeShare)*t.allowance)/n
		}
		t.initialLease, t.localRate = t.allowance/n, (p.CeilingRate-t.rate)/n
		t.admitsOverQuota = p.OverQuotaWeight > p.OverQuotaCost
	}
	t.window = longWindow
	if !t.refillsWithinWindow {
		t.window = t.allowance / max(t.rate, 1e-3)
	}
	if !t.smallGatewaySet && t.concurrencyLimit > 0 {
		// Places kept by many hands are two calls a request, and stray. What they let through on
		// average is kept as a rate instead.
		if t.concurrencyLimit = 0; t.rate == 0 && e.latency.mean > 0 {
			t.rate = concurrencyUtilization * float64(p.MaxConcurrent) / e.latency.mean
			t.window = concurrencyRateWindow
			t.allowance, t.initialAllowance = t.rate*concurrencyRateWindow, t.rate*concurrencyRateWindow
			t.initialLease, t.localRate = 1, t.rate/n
		}
	}
	return t
}
