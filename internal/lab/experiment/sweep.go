package experiment

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
)

// sweepSetters maps each key that can be swept to a function that sets the key's value in an experiment.
var sweepSetters = map[string]func(*Experiment, float64){
	"backends":    func(e *Experiment, v float64) { e.Backends.Count = int(v) },
	"churn":       func(e *Experiment, v float64) { e.Churn.ReplacementsPerSecond = v },
	"customers":   func(e *Experiment, v float64) { e.updateGroups(func(g *Group) { g.Customers = int(v) }) },
	"hollow":      func(e *Experiment, v float64) { e.Fleet.HollowGateways = int(v) },
	"per_gateway": func(e *Experiment, v float64) { e.Tenants.RequestsPerGateway = v },
	"per_second":  func(e *Experiment, v float64) { e.updateGroups(func(g *Group) { g.RequestsPerSecond = v }) },
	"real":        func(e *Experiment, v float64) { e.Fleet.GatewayProcesses = int(v) },
	"spread":      setSubsetSize,
	"tenants":     func(e *Experiment, v float64) { e.Tenants.Count = int(v) },
	"use": func(e *Experiment, v float64) {
		e.Tenants.Utilization = v
		e.updateGroups(func(g *Group) { g.Utilization = v })
	},
	"whole_per_second": func(e *Experiment, v float64) { e.Discovery.FullListsPerSecond = v },
}

// setSubsetSize sets the subset size of all customers to v. If the file gives a group fewer than v gateways, the group
// gets v gateways.
func setSubsetSize(e *Experiment, v float64) {
	size := int(v)
	e.Tenants.SubsetSize = size
	e.updateGroups(func(g *Group) {
		g.SubsetSize = size
		if len(g.SubsetSizes) > 0 {
			// If SubsetSizes is set, expandGroups appends the size to the group's name. The patterns of bounds may
			// match that name.
			g.SubsetSizes = []int{size}
		}
		if g.Gateways > 0 {
			g.Gateways = max(g.Gateways, size)
		}
	})
}

// updateGroups calls change for each group of e. It clones the slice of groups first, since copies of an experiment
// share that slice.
func (e *Experiment) updateGroups(change func(*Group)) {
	e.Groups = slices.Clone(e.Groups)
	for i := range e.Groups {
		change(&e.Groups[i])
	}
}

// sweep holds the swept key and the values of the key for which the experiment is run, one after another.
type sweep struct {
	key    string    // "": there is no swept key, and the experiment is run once
	values []float64 // values of the key; a single 0 if there is no swept key
}

// parseSweep parses KEY=VALUE,VALUE,... The text "" means that there is no swept key.
func parseSweep(text string) (sweep, error) {
	if text == "" {
		return sweep{values: []float64{0}}, nil
	}
	key, list, found := strings.Cut(text, "=")
	if !found {
		return sweep{}, fmt.Errorf("over: %q is not KEY=VALUE,VALUE", text)
	}
	if sweepSetters[key] == nil {
		return sweep{}, fmt.Errorf("over: the key %q can't be swept", key)
	}
	parsed := sweep{key: key}
	for word := range strings.SplitSeq(list, ",") {
		value, err := strconv.ParseFloat(strings.TrimSpace(word), 64)
		if err != nil {
			return sweep{}, fmt.Errorf("over: %q is not a number", word)
		}
		parsed.values = append(parsed.values, value)
	}
	return parsed, nil
}

// sweepPoints returns the sweep and, for each of its values, the experiment to run, validated and with defaults applied.
func (e Experiment) sweepPoints() (sweep, []Experiment, error) {
	parsed, err := parseSweep(e.Sweep)
	if err != nil {
		return sweep{}, nil, err
	}
	var points []Experiment
	for _, value := range parsed.values {
		point := e
		if set := sweepSetters[parsed.key]; set != nil {
			set(&point, value)
		}
		point.applyDefaults()
		err := point.validate()
		if err != nil && parsed.key != "" {
			err = fmt.Errorf("at %s=%g: %w", parsed.key, value, err)
		}
		if err != nil {
			return sweep{}, nil, err
		}
		points = append(points, point)
	}
	return parsed, points, nil
}
