// Package experiment reads an experiment file of the fleet lab, runs gateways against
// stand-ins of all services that a gateway talks to, and compares the measured metrics
// with the bounds in the file.
//
// There are two kinds of gateways. A gateway process is the deployed program. Hollow
// gateways share a few processes. They make the same decisions as gateway processes, and talk
// to discovery and the counter in the same way. They have no sockets to clients and backends
// (see gateway.Hollow).
package experiment

// Experiment is the content of an experiment file. Times are in seconds if the key ends in
// _s or _seconds, and in milliseconds if it ends in _ms. The field of a key that is missing
// from the file is 0. A field that is 0 and has a default is set to its default.
type Experiment struct {
	Purpose string `toml:"shows" json:"shows"` // short description of what the experiment shows
	Seed    uint64 `toml:"seed" json:"seed"`   // seed of all random numbers

	// Seconds is the duration of the measured load. WarmupSeconds is the duration of the
	// warm-up, which is the load before the measured load.
	Seconds       float64 `toml:"seconds" json:"seconds"`
	WarmupSeconds float64 `toml:"warm_seconds" json:"warm_seconds"`

	// IdleSeconds is the time for which the gateway processes are measured without requests,
	// before the load starts.
	IdleSeconds float64 `toml:"quiet_seconds" json:"quiet_seconds"`

	// Sweep has the form KEY=VALUE,VALUE,... The experiment runs once for each value of the
	// key. If Sweep is "", there is a single run.
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

// Fleet configures the gateways. A gateway's rank is its index in the fleet. The gateway
// processes have the lowest ranks. The hollow gateways of the groups have the next ranks. The
// hollow gateways that belong to no group have the highest ranks.
type Fleet struct {
	// Gateways is the fleet size that the gateways are configured with. It may exceed the
	// number of gateways that are started. Default: the number of gateways that are started,
	// or Tenants.SubsetSize if that is larger.
	Gateways int `toml:"gateways" json:"gateways"`

	// GatewayProcesses is the number of gateways that are started as processes.
	GatewayProcesses int `toml:"real" json:"real"`

	// HollowGateways is the number of hollow gateways, including the gateways of the groups.
	// If the groups have more gateways in total, that total is used instead.
	HollowGateways int `toml:"hollow" json:"hollow"`

	// HollowProcesses is the number of processes that the hollow gateways are
	// distributed over. Default: 1.
	HollowProcesses int `toml:"processes" json:"processes"`

	// MemoryMB and Cores are the limits of each gateway process. Defaults: 256 and 1.
	MemoryMB int     `toml:"memory_mb" json:"memory_mb"`
	Cores    float64 `toml:"cores" json:"cores"`

	// ReadyTimeoutS is the time within which a gateway has to become ready. Default: 10.
	ReadyTimeoutS float64 `toml:"ready_within_s" json:"ready_within_s"`
}

// Backends configures the backends, which all gateways share.
type Backends struct {
	Count         int     `toml:"count" json:"count"`
	ServiceTimeMS float64 `toml:"service_ms" json:"service_ms"`
}

// Counter configures the stand-in of the counter service.
type Counter struct {
	Shards        int     `toml:"parts" json:"parts"`           // 0: there is no counter
	ServiceTimeMS float64 `toml:"service_ms" json:"service_ms"` // service time of one call
	MaxQueued     int     `toml:"waiting" json:"waiting"`       // maximum number of calls queued at a shard
}

// Discovery configures the stand-in of the discovery service.
type Discovery struct {
	FullListsPerSecond float64 `toml:"whole_per_second" json:"whole_per_second"` // maximum rate; 0: no limit
}

// Group is a set of customers, and the hollow gateways that they send requests to. The
// gateways have consecutive ranks and belong to no other group.
type Group struct {
	Name string `toml:"name" json:"name"`

	// Gateways is the number of gateways of the group. Default: SubsetSize.
	Gateways int `toml:"gateways" json:"gateways"`

	// SubsetSize is the number of gateways that each customer sends requests to.
	SubsetSize int `toml:"spread" json:"spread"`

	// SubsetSizes, if not empty, replaces the group with one group for each subset
	// size.
	SubsetSizes []int `toml:"spreads" json:"spreads,omitempty"`

	Customers int `toml:"customers" json:"customers"`

	// RequestsPerSecond is the mean request rate of a customer of the group.
	RequestsPerSecond float64 `toml:"per_second" json:"per_second"`

	// ZipfExponent is the exponent of the Zipf distribution of the request rate over the
	// customers. 0 gives all customers the same rate.
	ZipfExponent float64 `toml:"zipf" json:"zipf"`

	// UnitsPerRequest is the cost of a request. Default: 1.
	UnitsPerRequest float64 `toml:"units" json:"units"`

	// Utilization is the share of the quota that a customer with the mean request rate uses.
	Utilization float64 `toml:"use" json:"use"`

	// BurstS is the burst of a customer's quota divided by the quota's rate. The burst is at
	// least minBurstRequests requests.
	BurstS float64 `toml:"burst_s" json:"burst_s"`

	// ShiftingWeights distributes the requests of a customer unevenly over its gateways and
	// changes the distribution from time to time.
	ShiftingWeights bool `toml:"shift" json:"shift"`
}

// Tenants configures the customers of the gateway processes. Each plan of the tenants has
// half the quota of the plan before it. Each tenant gets the plan with the smallest quota of
// which the tenant's requests use at most the share Utilization. The requests use more
// than half of that share, since half the quota would not be enough.
type Tenants struct {
	Count int `toml:"count" json:"count"`

	// ZipfExponent is the exponent of the Zipf distribution of the request rate over the
	// tenants. 0 gives all tenants the same rate.
	ZipfExponent float64 `toml:"zipf" json:"zipf"`

	// RequestsPerGateway is the request rate of each gateway process, in requests a second.
	RequestsPerGateway float64 `toml:"per_gateway" json:"per_gateway"`

	// SubsetSize is the number of gateways that each tenant sends requests to. Default: 1.
	SubsetSize int `toml:"spread" json:"spread"`

	Utilization float64 `toml:"use" json:"use"`

	// BurstS is the burst of a plan's quota divided by the quota's rate. The burst is at
	// least minBurstRequests requests.
	BurstS float64 `toml:"burst_s" json:"burst_s"`
}

// Churn configures the replacement of backends, which begins once the gateways are ready.
type Churn struct {
	ReplacementsPerSecond float64 `toml:"per_second" json:"per_second"`
}

// Restart configures how the hollow gateways are started.
type Restart struct {
	StaggerS float64 `toml:"within_s" json:"within_s"` // time over which the starts are spread evenly; 0: all at once
}

// Bound limits a metric of each run or, if Group is set, of each group whose name matches
// the pattern Group (see path.Match). At least one of Max and Min has to be set.
type Bound struct {
	Metric string   `toml:"figure" json:"figure"`
	Group  string   `toml:"group" json:"group,omitempty"` // pattern; "": Metric is a metric of the whole run
	Max    *float64 `toml:"most" json:"most,omitempty"`
	Min    *float64 `toml:"least" json:"least,omitempty"`
}

// hollowGateways returns the number of hollow gateways.
func (e *Experiment) hollowGateways() int {
	groupGateways := 0
	for _, g := range e.Groups {
		groupGateways += g.Gateways
	}
	return max(groupGateways, e.Fleet.HollowGateways)
}

// neededGateways returns the smallest fleet size that the experiment can run with.
func (e *Experiment) neededGateways() int {
	return max(e.Fleet.GatewayProcesses+e.hollowGateways(), e.Tenants.SubsetSize)
}
