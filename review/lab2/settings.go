package main

import "time"

// class is a class of requests.
type class struct {
	name     string
	safe     bool // safe to repeat
	aim      time.Duration
	deadline time.Duration
	late     float64
	points   float64
}

// The classes of the deployment.
var (
	invoiceCheck = class{name: "invoice-check", safe: true, aim: 2 * time.Second, deadline: 8 * time.Second, points: 3}
	advanceDraw  = class{name: "advance-draw", aim: 4 * time.Second, deadline: 12 * time.Second, late: 0.2, points: 5}
)

// The figures of the settings, as in the example of the wire's page.
const (
	fleetSize  = 3
	drainGrace = 2 * time.Second
)

// settings returns the settings of the gateway with the given number.
func settings(rank int) map[string]any {
	classes := []map[string]any{}
	for _, c := range []class{invoiceCheck, advanceDraw} {
		effect := "once"
		if c.safe {
			effect = "repeatable"
		}
		classes = append(classes, map[string]any{
			"deadlineS": c.deadline.Seconds(), "effect": effect, "keyScope": "all", "lateWorth": c.late, "name": c.name,
			"objectiveS": c.aim.Seconds(), "points": c.points, "streamed": false, "windowS": 5.0,
		})
	}
	plan := func(name string, rate, burst, pays, over, cost, ceiling, ceilingBurst, slack float64, atOnce int) map[string]any {
		return map[string]any{
			"atOnce": atOnce, "beyondCosts": cost, "capSlack": slack, "ceilingBurst": ceilingBurst, "depth": burst, "name": name,
			"neverOverRate": ceiling, "overWorth": over, "pays": pays, "unitsPerS": rate,
		}
	}
	return map[string]any{
		"allowed": map[string]any{
			"cancel": true, "connectTimeoutS": 0.25, "cpuUsPerRequest": 0, "cpuUsPerS": 500000, "keepaliveS": 30, "maxOpen": 20000,
			"maxRetryAfterS": 0.5, "mayDuplicate": false, "mostTries": 5, "multiplex": 1, "peers": true, "probes": true,
			"retryAfter": true,
		},
		"classes":   classes,
		"clients":   map[string]any{"marksRetry": true},
		"discovery": "push",
		"family":    "gate",
		"familyInfo": map[string]any{
			"counterPrice": 0.02, "counterTimeoutS": 0.08, "hasCounter": true, "inboxPerS": 100, "mostUnits": 2, "truedUp": false,
			"usePeriodS": 0,
		},
		"fleetSize":  fleetSize,
		"kinds":      []string{"small-fast", "wide-slow"},
		"layers":     []string{"advance-servers"},
		"loadReport": map[string]any{"fields": []string{"pending", "busy_reqs"}, "how": "on_probe"},
		"localities": []string{"floor-1", "floor-2", "floor-3"},
		"locality":   rank,
		"obligations": map[string]any{
			"answerSlackS": 0.016, "askEveryS": 10, "coldFrom": 0.16, "coldS": 13, "drainGraceS": drainGrace.Seconds(),
			"fallMultiple": 2, "overloadForS": 2,
		},
		"packages": []map[string]any{
			plan("starter", 1.4, 4, 0.45, 0, 1.2, 0, 0, 0, 0),
			plan("trader", 1.3, 5, 0.8, 0, 1, 0, 0, 0, 0),
			plan("business", 3, 16, 1.1, 0, 0.8, 0, 0, 0, 0),
			plan("corporate", 9.2, 13, 1.8, 0.3, 0, 20, 30, 3, 4),
		},
		"prices": map[string]any{
			"connection": 0, "crossZone": 0.02, "discovery": 0, "handshake": 0, "lateFail": 0.05, "moves": 0, "origin": 0, "peer": 0.03,
			"probe": 0.01, "waste": 0.05,
		},
		"rank": rank, "tickS": 0.004, "tier": 0, "weights": "rough",
	}
}

// newEntry returns an entry of discovery's list for a backend that has run for long.
func newEntry(b *backend, number int) entry {
	return entry{
		ID: "s-" + b.name, HostPort: b.address, Zone: []string{"floor-1", "floor-2", "floor-3"}[number%3],
		MachineType: []string{"small-fast", "wide-slow"}[number%2], Cell: number / 4, Lifecycle: "Ready", Weight: 1,
	}
}
