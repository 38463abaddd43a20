package experiment

import (
	"errors"
	"fmt"
	"math"
	"path"
	"slices"
	"strings"
)

// Limits of the size of an experiment. maxTenants also limits the number of customers of a group.
const (
	maxProcesses = 300     // number of processes, including this process
	maxSeconds   = 3600    // seconds; limit of each duration in the file
	maxBackends  = 200_000 // number of backends in a phase, including the spare backends for churn
	maxTenants   = 1 << 20
)

// rangeCheck is a value from the file and its valid range.
type rangeCheck struct {
	key   string
	value float64
	min   float64
	max   float64
}

// check returns an error that names the key if the value is out of range. NaN is always out of range.
func (c rangeCheck) check() error {
	if !(c.value >= c.min && c.value <= c.max) {
		return fmt.Errorf("%s: %g is not between %g and %g", c.key, c.value, c.min, c.max)
	}
	return nil
}

// validate returns an error that names the first invalid key. The defaults must already be applied.
func (e *Experiment) validate() error {
	if strings.TrimSpace(e.Purpose) == "" {
		return errors.New("shows: a description of what the experiment shows is missing")
	}
	for _, c := range e.rangeChecks() {
		if err := c.check(); err != nil {
			return err
		}
	}
	if err := e.validateGroupNames(); err != nil {
		return err
	}
	if err := e.validateBounds(); err != nil {
		return err
	}
	return e.validateCapacity()
}

// rangeChecks returns all range checks, in the order in which they are made.
func (e *Experiment) rangeChecks() []rangeCheck {
	checks := e.fleetChecks()
	checks = append(checks, e.standinChecks()...)
	if e.Fleet.GatewayProcesses > 0 {
		checks = append(checks, e.Tenants.checks()...)
	}
	for i := range e.Groups {
		checks = append(checks, e.Groups[i].checks()...)
	}
	listed := float64(e.Backends.Count + e.spareBackends())
	return append(checks, rangeCheck{"churn.per_second: total number of backends", listed, 1, maxBackends})
}

// fleetChecks returns the checks of the durations and of the fleet.
func (e *Experiment) fleetChecks() []rangeCheck {
	fleet := &e.Fleet
	return []rangeCheck{
		{"seconds", e.Seconds, 0.1, maxSeconds},
		{"warm_seconds", e.WarmupSeconds, 0, maxSeconds},
		{"quiet_seconds", e.IdleSeconds, 0, maxSeconds},
		{"fleet.gateways", float64(fleet.Gateways), float64(e.neededGateways()), 1e6},
		{"fleet.real", float64(fleet.GatewayProcesses), 0, maxProcesses},
		{"fleet.hollow", float64(fleet.HollowGateways), 0, 1e5},
		{"fleet.processes", float64(fleet.HollowProcesses), 1, maxProcesses},
		{"fleet.memory_mb", float64(fleet.MemoryMB), 16, math.MaxFloat64},
		{"fleet.cores", fleet.Cores, 0.1, 1024},
		{"fleet.ready_within_s", fleet.ReadyTimeoutS, 0.1, maxSeconds},
	}
}

// standinChecks returns the checks of the stand-ins, of churn and of the restart.
func (e *Experiment) standinChecks() []rangeCheck {
	return []rangeCheck{
		{"backends.count", float64(e.Backends.Count), 1, maxBackends},
		{"backends.service_ms", e.Backends.ServiceTimeMS, 0, 1000},
		{"counter.parts", float64(e.Counter.Shards), 0, 1024},
		{"counter.service_ms", e.Counter.ServiceTimeMS, 0, 1000},
		{"counter.waiting", float64(e.Counter.MaxQueued), 0, 1e6},
		{"discovery.whole_per_second", e.Discovery.FullListsPerSecond, 0, math.MaxFloat64},
		{"churn.per_second", e.Churn.ReplacementsPerSecond, 0, 10_000},
		{"restart.within_s", e.Restart.StaggerS, 0, e.Fleet.ReadyTimeoutS},
	}
}

func (t *Tenants) checks() []rangeCheck {
	return []rangeCheck{
		{"tenants.count", float64(t.Count), 1, maxTenants},
		{"tenants.zipf", t.ZipfExponent, 0, 5},
		{"tenants.per_gateway", t.RequestsPerGateway, 0.1, 10_000},
		{"tenants.spread", float64(t.SubsetSize), 1, 1e6},
		{"tenants.use", t.Utilization, 0.001, 100},
		{"tenants.burst_s", t.BurstS, 0.1, 3600},
	}
}

func (g *Group) checks() []rangeCheck {
	key := func(name string) string { return fmt.Sprintf("group %q: %s", g.Name, name) }
	return []rangeCheck{
		{key("spread"), float64(g.SubsetSize), 1, 1e5},
		{key("gateways"), float64(g.Gateways), float64(g.SubsetSize), 1e5},
		{key("customers"), float64(g.Customers), 1, maxTenants},
		{key("per_second"), g.RequestsPerSecond, 1e-6, 1e5},
		{key("zipf"), g.ZipfExponent, 0, 5},
		{key("units"), g.UnitsPerRequest, 0.001, 1e6},
		{key("use"), g.Utilization, 0.001, 100},
		{key("burst_s"), g.BurstS, 0.1, 3600},
	}
}

// validateGroupNames returns an error if a group has no name or the name of another group.
func (e *Experiment) validateGroupNames() error {
	seen := map[string]bool{}
	for _, g := range e.Groups {
		unnamed := g.Name == "" || g.Name[0] == '-' // expandGroups turns an empty name into "-5", for example
		if unnamed || seen[g.Name] {
			return fmt.Errorf("group: the name %q is empty or not unique", g.Name)
		}
		seen[g.Name] = true
	}
	return nil
}

// validateBounds returns an error if a bound has no limit, names an unknown metric, or has a pattern that matches no
// group.
func (e *Experiment) validateBounds() error {
	for _, b := range e.Bounds {
		perGroup := b.Group != ""
		switch {
		case !metricExists(b.Metric, perGroup):
			scope := "a run"
			if perGroup {
				scope = "a group"
			}
			return fmt.Errorf("bound: no figure of %s is named %q", scope, b.Metric)
		case b.Max == nil && b.Min == nil:
			return fmt.Errorf("bound %q: neither most nor least is set", b.Metric)
		case perGroup && !slices.ContainsFunc(e.Groups, b.appliesTo):
			return fmt.Errorf("bound %q: no group is named %q", b.Metric, b.Group)
		}
	}
	return nil
}

// appliesTo reports whether the bound's pattern matches the name of the group.
func (b Bound) appliesTo(g Group) bool { return b.matches(g.Name) }

// matches reports whether the bound's pattern matches the name of a group. A malformed pattern matches no name.
func (b Bound) matches(groupName string) bool {
	matched, err := path.Match(b.Group, groupName)
	return err == nil && matched
}
