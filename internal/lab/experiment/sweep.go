package experiment

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
)

// sweepSetters are the keys that a sweep may set, and how.
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

// setSubsetSize gives all customers as many gateways, and a group no fewer.
func setSubsetSize(e *Experiment, v float64) {
	e.Tenants.SubsetSize = int(v)
	e.updateGroups(func(g *Group) {
		if g.SubsetSize = int(v); len(g.SubsetSizes) > 0 {
			g.SubsetSizes = []int{int(v)} // the name tells it, as bounds expect
		}
		if g.Gateways > 0 {
			g.Gateways = max(g.Gateways, int(v))
		}
	})
}

// updateGroups changes the groups of e alone, not those of the experiment that it was copied from.
func (e *Experiment) updateGroups(change func(*Group)) {
	e.Groups = slices.Clone(e.Groups)
	for i := range e.Groups {
		change(&e.Groups[i])
	}
}

// sweep is a key with the values that it takes, one after another. Without a key
// the experiment is run once, as it stands.
type sweep struct {
	key    string
	values []float64
}

// parseSweep reads KEY=VALUE,VALUE and so on.
func parseSweep(text string) (sweep, error) {
	if text == "" {
		return sweep{values: []float64{0}}, nil
	}
	key, list, found := strings.Cut(text, "=")
	if !found {
		return sweep{}, fmt.Errorf("over: %q is not KEY=VALUE,VALUE", text)
	}
	if sweepSetters[key] == nil {
		return sweep{}, fmt.Errorf("over: no key %q can be swept", key)
	}
	o := sweep{key: key}
	for word := range strings.SplitSeq(list, ",") {
		v, err := strconv.ParseFloat(strings.TrimSpace(word), 64)
		if err != nil {
			return sweep{}, fmt.Errorf("over: %q is not a number", word)
		}
		o.values = append(o.values, v)
	}
	return o, nil
}

// sweepPoints are the experiments of a sweep, checked, with all that the file left
// out put in.
func (e Experiment) sweepPoints() (sweep, []Experiment, error) {
	o, err := parseSweep(e.Sweep)
	if err != nil {
		return o, nil, err
	}
	var all []Experiment
	for _, v := range o.values {
		p := e
		if set := sweepSetters[o.key]; set != nil {
			set(&p, v)
		}
		p.applyDefaults()
		if err := p.validate(); err != nil && o.key != "" {
			return o, nil, fmt.Errorf("at %s=%g: %w", o.key, v, err)
		} else if err != nil {
			return o, nil, err
		}
		all = append(all, p)
	}
	return o, all, nil
}
