// Package hollow runs many hollow gateways in one process, under load, and judges what they let in and refuse by
// exact quotas.
package hollow

import (
	"encoding/json"
	"errors"
	"fmt"

	"amberlb/internal/gateway"
	"amberlb/internal/lab/load"
	"amberlb/internal/wire"
)

// Job is what one process is told to run.
type Job struct {
	Seed               uint64
	Settings           json.RawMessage // the deployment's; rank and size of the fleet are set for each gateway
	First, Gateways    int             // this process's: Gateways of the fleet from number First
	Fleet              int             // gateways of all processes
	Discovery, Counter string          // addresses
	ServiceS           float64         // seconds that a backend takes for a request
	WarmS, RunS        float64         // seconds of load that is not counted, and then of load that is
	Groups             []Group
	MemoryMB           int     // soft limit of the process; 0: none
	StartSpreadS       float64 // seconds over which the gateways start, at even gaps
	Retry              bool    // refused clients come again once, as told or after 50 ms, marked, at another gateway
}

// Group is customers that share one run of gateways, which no other group uses.
type Group struct {
	Name            string
	First, Gateways int // Gateways of the fleet from number First
	Spread          int // gateways in a row that each customer reaches, at a seeded place inside the group
	Customers       int
	PerSecond       float64 // requests a second of one customer, in the mean over the group
	Zipf            float64 // exponent of the shares of the customers; 0: even
	Plan, Class     int
	Units           float64 // of each request
	Shift           bool    // a customer's gateways get uneven shares, drawn anew every 7 to 18 s; else even ones
}

// Result is what came of a job.
type Result struct {
	Groups     []GroupResult
	Ready      load.Quantiles // seconds from a gateway's start to its first list
	Gateways   int
	Requests   uint64  // tries of all groups
	SpanS      float64 // seconds from the first counted load to the last answer
	CPUSeconds float64 // of the process in that span
	PeakMB     float64 // of the process since its start
}

// GroupResult counts the requests of one group that fell due after the warm-up, and their tries:
// Tries = Served + Refused + Failed + Dropped.
type GroupResult struct {
	Name                                    string
	Tries, Served, Refused, Failed, Dropped uint64
	Repeats                                 uint64         // tries that were a client's second
	RefusedInside                           uint64         // refused while the store had the units
	RefusedHalfFull                         uint64         // refused while half of the burst or more was unused
	Beyond                                  uint64         // sent on while the store lacked the units
	Calls, CallsUnanswered                  uint64         // of the group's gateways to the counter, in the counted span
	Latency                                 load.Quantiles // ms of those served, from when the first try fell due
}

// jobRun is the run of gateways of a job.
type jobRun struct {
	Job
	deployment wire.Deployment
	gateways   []*gateway.Hollow // by number, from First
}

// newJobRun reads a job and says what is wrong with it.
func newJobRun(j Job) (*jobRun, error) {
	h := &jobRun{Job: j, gateways: make([]*gateway.Hollow, max(j.Gateways, 0))}
	var err error
	if h.deployment, err = wire.ParseDeployment(j.Settings); err != nil {
		return nil, err
	}
	switch {
	case j.First < 0 || j.Gateways < 1 || j.First+j.Gateways > j.Fleet:
		return nil, fmt.Errorf("gateways %d to %d are not among %d", j.First, j.First+j.Gateways-1, j.Fleet)
	case j.ServiceS < 0 || j.WarmS < 0 || j.RunS <= 0 || j.MemoryMB < 0 || j.StartSpreadS < 0:
		return nil, errors.New("a time or the memory is out of range")
	}
	for n, g := range j.Groups {
		if err := h.validateGroup(g); err != nil {
			return nil, fmt.Errorf("group %q: %w", g.Name, err)
		}
		for _, other := range j.Groups[:n] {
			if g.First < other.First+other.Gateways && other.First < g.First+g.Gateways {
				return nil, fmt.Errorf("groups %q and %q share gateways", other.Name, g.Name)
			}
		}
	}
	return h, nil
}

func (h *jobRun) validateGroup(g Group) error {
	switch {
	case g.Gateways < 1 || g.First < h.First || g.First+g.Gateways > h.First+h.Gateways:
		return errors.New("its gateways are not all in this process")
	case g.Spread < 1 || g.Spread > g.Gateways:
		return fmt.Errorf("sets of %d among %d gateways", g.Spread, g.Gateways)
	case g.Customers < 1 || g.PerSecond <= 0 || g.Zipf < 0 || g.Units <= 0:
		return errors.New("customers, rate, exponent or units are out of range")
	case g.Customers > maxCustomerIDs/h.Fleet:
		return fmt.Errorf("%d customers are too many", g.Customers)
	case g.Plan < 0 || g.Plan >= len(h.deployment.Plans) || g.Class < 0 || g.Class >= len(h.deployment.Classes):
		return errors.New("the settings have no such plan or class")
	}
	return nil
}
