package experiment

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
)

// sweepable are the keys that a sweep may set, and how.
var sweepable = map[string]func(*Experiment, float64){
	"backends":         func(e *Experiment, v float64) { e.Backends.Count = int(v) },
	"churn":            func(e *Experiment, v float64) { e.Churn.PerSecond = v },
	"customers":        func(e *Experiment, v float64) { e.eachGroup(func(g *Group) { g.Customers = int(v) }) },
	"hollow":           func(e *Experiment, v float64) { e.Fleet.Hollow = int(v) },
	"per_gateway":      func(e *Experiment, v float64) { e.Tenants.PerGateway = v },
	"per_second":       func(e *Experiment, v float64) { e.eachGroup(func(g *Group) { g.PerSecond = v }) },
	"real":             func(e *Experiment, v float64) { e.Fleet.Real = int(v) },
	"spread":           setSpread,
	"tenants":          func(e *Experiment, v float64) { e.Tenants.Count = int(v) },
	"use":              func(e *Experiment, v float64) { e.Tenants.Use = v; e.eachGroup(func(g *Group) { g.Use = v }) },
	"whole_per_second": func(e *Experiment, v float64) { e.Discovery.WholePerSecond = v },
}

// setSpread gives all customers as many gateways, and a group no fewer.
func setSpread(e *Experiment, v float64) {
	e.Tenants.Spread = int(v)
	e.eachGroup(func(g *Group) {
		if g.Spread = int(v); len(g.Spreads) > 0 {
			g.Spreads = []int{int(v)} // the name tells it, as bounds expect
		}
		if g.Gateways > 0 {
			g.Gateways = max(g.Gateways, int(v))
		}
	})
}

// eachGroup changes the groups of e alone, not those of the experiment that it was copied from.
func (e *Experiment) eachGroup(change func(*Group)) {
	e.Groups = slices.Clone(e.Groups)
	for i := range e.Groups {
		change(&e.Groups[i])
	}
}

// over is a key with the values that it takes, one after another. Without a key
// the experiment is run once, as it stands.
type over struct {
	key    string
	values []float64
}

// parseOver reads KEY=VALUE,VALUE and so on.
func parseOver(text string) (over, error) {
	if text == "" {
		return over{values: []float64{0}}, nil
	}
	key, list, found := strings.Cut(text, "=")
	if !found {
		return over{}, fmt.Errorf("over: %q is not KEY=VALUE,VALUE", text)
	}
	if sweepable[key] == nil {
		return over{}, fmt.Errorf("over: no key %q can be swept", key)
	}
	o := over{key: key}
	for word := range strings.SplitSeq(list, ",") {
		v, err := strconv.ParseFloat(strings.TrimSpace(word), 64)
		if err != nil {
			return over{}, fmt.Errorf("over: %q is not a number", word)
		}
		o.values = append(o.values, v)
	}
	return o, nil
}

// points are the experiments of a sweep, checked, with all that the file left
// out put in.
func (e Experiment) points() (over, []Experiment, error) {
	o, err := parseOver(e.Over)
	if err != nil {
		return o, nil, err
	}
	var all []Experiment
	for _, v := range o.values {
		p := e
		if set := sweepable[o.key]; set != nil {
			set(&p, v)
		}
		p.fill()
		if err := p.check(); err != nil && o.key != "" {
			return o, nil, fmt.Errorf("at %s=%g: %w", o.key, v, err)
		} else if err != nil {
			return o, nil, err
		}
		all = append(all, p)
	}
	return o, all, nil
}
