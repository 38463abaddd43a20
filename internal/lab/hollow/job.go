// Package hollow runs many hollow gateways in one process, under load, and compares
// what they admit and reject with exact quotas.
package hollow

import (
	"encoding/json"
	"errors"
	"fmt"

	"amberlb/internal/gateway"
	"amberlb/internal/lab/load"
	"amberlb/internal/wire"
)

// maxCustomerIDs is the limit of the customers' ids, which are below it.
const maxCustomerIDs = 1 << 33

// Job is what one process has to run. The names of its fields, and of those of Group,
// Result and GroupResult, are their keys in JSON, which versions of the lab exchange.
type Job struct {
	Seed         uint64
	Settings     json.RawMessage // the deployment's; rank and size of the fleet are set for each gateway
	First        int             // rank of this process's first gateway
	Gateways     int             // number of this process's gateways, whose ranks are consecutive
	Fleet        int             // size of the fleet, over all processes
	Discovery    string          // address
	Counter      string          // address
	ServiceS     float64         // service time of the backends, s
	WarmS        float64         // length of the load that is not measured, s
	RunS         float64         // length of the load after it, which is measured, s
	Groups       []Group
	MemoryMB     int     // soft limit of the process; 0: none
	StartSpreadS float64 // time over which the gateways start, at even intervals, s
	Retry        bool    // rejected clients retry once, after Retry-After or else 50 ms, marked, at another gateway
}

// Group is a set of customers who share consecutive gateways, which no other group uses.
type Group struct {
	Name      string
	First     int // rank of the group's first gateway
	Gateways  int // number of the group's gateways
	Spread    int // size of a customer's subset: consecutive gateways at a seeded place in the group
	Customers int
	PerSecond float64 // rate of one customer, in the mean over the group, in requests a second
	Zipf      float64 // exponent of the customers' shares of the load; 0: even
	Plan      int     // index in the settings
	Class     int     // index in the settings
	Units     float64 // cost of each request
	Shift     bool    // a customer's gateways get uneven shares, drawn anew every 7 to 18 s; else even ones
}

// Result is what a job gave.
type Result struct {
	Groups     []GroupResult
	Ready      load.Quantiles // from a gateway's start to its first list, s
	Gateways   int
	Requests   uint64  // attempts of all groups
	SpanS      float64 // from the start of the measured load to the last answer, s
	CPUSeconds float64 // of the process in that span
	PeakMB     float64 // of the process since its start
}

// GroupResult counts the requests of one group that were due after the warm-up, and their attempts:
// Tries = Served + Refused + Failed + Dropped.
type GroupResult struct {
	Name            string
	Tries           uint64         // attempts
	Served          uint64         // answered 200
	Refused         uint64         // answered 429 or 503
	Failed          uint64         // answered otherwise
	Dropped         uint64         // not sent, since too many were in flight
	Repeats         uint64         // attempts that were a client's retry
	RefusedInside   uint64         // rejected while the bucket had the units
	RefusedHalfFull uint64         // rejected while half of the burst or more was unused
	Beyond          uint64         // forwarded while the bucket lacked the units
	Calls           uint64         // of the group's gateways to the counter, in the measured span
	CallsUnanswered uint64         // of these
	Latency         load.Quantiles // of the served, from when the first attempt was due, ms
}

// jobRun is a job that runs.
type jobRun struct {
	Job
	deployment wire.Deployment
	gateways   []*gateway.Hollow // by rank, from First
}

// newJobRun validates a job. Its errors say what is invalid.
func newJobRun(job Job) (*jobRun, error) {
	h := &jobRun{Job: job, gateways: make([]*gateway.Hollow, max(job.Gateways, 0))}
	var err error
	h.deployment, err = wire.ParseDeployment(job.Settings)
	if err != nil {
		return nil, err
	}
	switch {
	case job.First < 0 || job.Gateways < 1 || job.First+job.Gateways > job.Fleet:
		return nil, fmt.Errorf("gateways %d to %d are not among %d", job.First, job.First+job.Gateways-1, job.Fleet)
	case job.ServiceS < 0 || job.WarmS < 0 || job.RunS <= 0 || job.MemoryMB < 0 || job.StartSpreadS < 0:
		return nil, errors.New("a time or the memory is out of range")
	}
	for n, group := range job.Groups {
		if err := h.validateGroup(group); err != nil {
			return nil, fmt.Errorf("group %q: %w", group.Name, err)
		}
		for _, other := range job.Groups[:n] {
			if group.overlaps(other) {
				return nil, fmt.Errorf("groups %q and %q share gateways", other.Name, group.Name)
			}
		}
	}
	return h, nil
}

// overlaps tells whether two groups share gateways.
func (g Group) overlaps(other Group) bool {
	return g.First < other.First+other.Gateways && other.First < g.First+g.Gateways
}

func (h *jobRun) validateGroup(group Group) error {
	switch {
	case group.Gateways < 1 || group.First < h.First || group.First+group.Gateways > h.First+h.Gateways:
		return errors.New("its gateways are not all in this process")
	case group.Spread < 1 || group.Spread > group.Gateways:
		return fmt.Errorf("sets of %d among %d gateways", group.Spread, group.Gateways)
	case group.Customers < 1 || group.PerSecond <= 0 || group.Zipf < 0 || group.Units <= 0:
		return errors.New("customers, rate, exponent or units are out of range")
	case group.Customers > maxCustomerIDs/h.Fleet:
		return fmt.Errorf("%d customers are too many", group.Customers)
	case group.Plan < 0 || group.Plan >= len(h.deployment.Plans):
		return errUnknownIndex
	case group.Class < 0 || group.Class >= len(h.deployment.Classes):
		return errUnknownIndex
	}
	return nil
}

// errUnknownIndex is that of a group whose plan or class the settings lack.
var errUnknownIndex = errors.New("the settings have no such plan or class")
