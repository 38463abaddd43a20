// Package experiment reads an experiment of the fleet lab, runs gateways between
// stand-ins of all services that they talk to, and reports what was measured
// against the bounds that the experiment states.
package experiment

// Experiment is what an experiment's file states. Times are in seconds where the
// key ends in _s or _seconds and in milliseconds where it ends in _ms. A key that the
// file leaves out is 0, for which a field may state a default.
type Experiment struct {
	Purpose string `toml:"shows" json:"shows"` // a few words on what the experiment shows
	Seed    uint64 `toml:"seed" json:"seed"`   // of all that is drawn at random

	// Seconds is the length of the load that is measured, WarmupSeconds that of the
	// load before it, which is not.
	Seconds       float64 `toml:"seconds" json:"seconds"`
	WarmupSeconds float64 `toml:"warm_seconds" json:"warm_seconds"`

	// IdleSeconds is how long gateway processes are measured without requests,
	// before the load.
	IdleSeconds float64 `toml:"quiet_seconds" json:"quiet_seconds"`

	// Sweep is a key with the values that it takes, KEY=VALUE,VALUE and so on; "":
	// there is no sweep.
	Sweep string `toml:"over" json:"over,omitempty"`

	Fleet     Fleet     `toml:"fleet" json:"fleet"`
	Backends  Backends  `toml:"backends" json:"backends"`
	Counter   Counter   `toml:"counter" json:"counter"`
	Discovery Discovery `toml:"discovery" json:"discovery"`
	Groups    []Group   `toml:"group" json:"group,omitempty"`
	Tenants   Tenants   `toml:"tenants" json:"tenants"`
	Churn     Churn     `toml:"churn" json:"churn"`
	Restart   Restart   `toml:"restart" json:"restart"`
	Bounds    []Bound   `toml:"bound" json:"bound,omitempty"`
}

// Fleet says which gateways there are. The gateway processes have the first ranks, the
// groups' hollow gateways follow, then the hollow ones that no group uses.
type Fleet struct {
	// Gateways is the size of the fleet, of which some may not be started here.
	// Default: as many as are needed.
	Gateways int `toml:"gateways" json:"gateways"`

	// GatewayProcesses is the number of gateways that are started as processes.
	GatewayProcesses int `toml:"real" json:"real"`

	// HollowGateways is the number of hollow gateways, of which the groups' are the
	// first. Default: the groups' alone.
	HollowGateways int `toml:"hollow" json:"hollow"`

	// HollowProcesses is the number of processes that the hollow gateways are
	// distributed over. Default: 1.
	HollowProcesses int `toml:"processes" json:"processes"`

	// MemoryMB and Cores are the limits of a gateway process. Default: 256 and 1.
	MemoryMB int     `toml:"memory_mb" json:"memory_mb"`
	Cores    float64 `toml:"cores" json:"cores"`

	// ReadyTimeoutS is how long is waited for a gateway to be ready. Default: 10.
	ReadyTimeoutS float64 `toml:"ready_within_s" json:"ready_within_s"`
}

// Backends are the backends behind all gateways.
type Backends struct {
	Count         int     `toml:"count" json:"count"`
	ServiceTimeMS float64 `toml:"service_ms" json:"service_ms"`
}

// Counter is the size of the counter service.
type Counter struct {
	Shards        int     `toml:"parts" json:"parts"`           // 0: there is no counter
	ServiceTimeMS float64 `toml:"service_ms" json:"service_ms"` // of a call
	MaxQueued     int     `toml:"waiting" json:"waiting"`       // calls that wait at a shard at most
}

// Discovery is how fast lists are sent.
type Discovery struct {
	FullListsPerSecond float64 `toml:"whole_per_second" json:"whole_per_second"` // 0: no limit
}

// Group is a set of customers who share hollow gateways of consecutive ranks, which no
// other group uses.
type Group struct {
	Name string `toml:"name" json:"name"`

	// Gateways is the number of gateways that the customers share. Default: the
	// subset size.
	Gateways int `toml:"gateways" json:"gateways"`

	// SubsetSize is the number of gateways that each customer reaches.
	SubsetSize int `toml:"spread" json:"spread"`

	// SubsetSizes, if there are any, make the group stand for one of each size.
	SubsetSizes []int `toml:"spreads" json:"spreads,omitempty"`

	Customers int `toml:"customers" json:"customers"`

	// RequestsPerSecond is the rate of a customer, in the mean over the group.
	RequestsPerSecond float64 `toml:"per_second" json:"per_second"`

	// ZipfExponent is that of the rates over the customers; 0: all are alike.
	ZipfExponent float64 `toml:"zipf" json:"zipf"`

	// UnitsPerRequest is the cost of a request. Default: 1.
	UnitsPerRequest float64 `toml:"units" json:"units"`

	// Utilization is the share of its quota that a customer of mean rate uses.
	Utilization float64 `toml:"use" json:"use"`

	// BurstS is the quota's burst, in seconds of its rate.
	BurstS float64 `toml:"burst_s" json:"burst_s"`

	// ShiftingWeights makes the shares of a customer's gateways uneven and change.
	ShiftingWeights bool `toml:"shift" json:"shift"`
}

// Tenants are the customers of the gateway processes. Their quotas come in steps of
// two: each uses at most Utilization of its own, and more than half of that.
type Tenants struct {
	Count int `toml:"count" json:"count"`

	// ZipfExponent is that of the rates over the tenants; 0: all are alike.
	ZipfExponent float64 `toml:"zipf" json:"zipf"`

	// RequestsPerGateway is the rate at each gateway process, in requests a second.
	RequestsPerGateway float64 `toml:"per_gateway" json:"per_gateway"`

	// SubsetSize is the number of gateways that each tenant reaches. Default: 1.
	SubsetSize int `toml:"spread" json:"spread"`

	Utilization float64 `toml:"use" json:"use"`

	// BurstS is the quota's burst, in seconds of its rate.
	BurstS float64 `toml:"burst_s" json:"burst_s"`
}

// Churn is how many backends are replaced a second, from when the gateways are ready.
type Churn struct {
	ReplacementsPerSecond float64 `toml:"per_second" json:"per_second"`
}

// Restart starts the hollow gateways over a while instead of at once.
type Restart struct {
	StaggerS float64 `toml:"within_s" json:"within_s"` // from the first start to the last
}

// Bound is a limit of a metric. It holds for the runs, or for all groups whose name
// matches a pattern (see path.Match). One that states neither limit is invalid.
type Bound struct {
	Metric string   `toml:"figure" json:"figure"`
	Group  string   `toml:"group" json:"group,omitempty"` // pattern; "": the bound is one of the runs
	Max    *float64 `toml:"most" json:"most,omitempty"`
	Min    *float64 `toml:"least" json:"least,omitempty"`
}

// hollowGateways is the number of hollow gateways.
func (e *Experiment) hollowGateways() int {
	groupGateways := 0
	for _, g := range e.Groups {
		groupGateways += g.Gateways
	}
	return max(groupGateways, e.Fleet.HollowGateways)
}

// neededGateways is the smallest size of the fleet that the experiment can be run with.
func (e *Experiment) neededGateways() int {
	return max(e.Fleet.GatewayProcesses+e.hollowGateways(), e.Tenants.SubsetSize)
}
