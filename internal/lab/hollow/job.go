// Package hollow runs many hollow gateways (see gateway.Hollow) under load in one process,
// and compares their admissions and rejections with the exact quotas of the customers.
package hollow

import (
	"encoding/json"
	"errors"
	"fmt"

	"amberlb/internal/gateway"
	"amberlb/internal/lab/load"
	"amberlb/internal/wire"
)

// maxCustomerIDs is the number of possible customer ids. All ids are below it.
const maxCustomerIDs = 1 << 33

// Job describes the gateways and the load of one process. A job and its result are passed
// between processes as JSON. The names of the fields of Job, Group, Result and GroupResult are
// the JSON keys. They must not change, since the processes may run different versions of the
// lab.
//
// If Retry is set, clients retry a rejected request once, at the next gateway of the customer's
// subset. The retry is marked as a retry. It is sent after the Retry-After of the rejection, or
// after 50 ms if the rejection has no Retry-After. A client does not retry if the deadline would
// pass before the retry is sent.
type Job struct {
	Seed         uint64
	Settings     json.RawMessage // deployment settings, in which each gateway's rank and the fleet size are replaced
	First        int             // rank of this process's first gateway
	Gateways     int             // number of this process's gateways, whose ranks are consecutive
	Fleet        int             // number of gateways in the fleet, over all processes
	Discovery    string          // address of discovery
	Counter      string          // address of the counter
	ServiceS     float64         // service time of the backends, s
	WarmS        float64         // duration of the warm-up, whose requests are not measured, s
	RunS         float64         // duration of the measured load, which follows the warm-up, s
	Groups       []Group
	MemoryMB     int     // soft memory limit of the process; 0: none
	StartSpreadS float64 // time over which the starts of the gateways are spread evenly, s
	Retry        bool    // clients retry a rejected request once
}

// Group is a set of customers, and the gateways that they send requests to. The gateways have
// consecutive ranks and belong to no other group.
type Group struct {
	Name      string
	First     int // rank of the group's first gateway
	Gateways  int // number of the group's gateways
	Spread    int // subset size: number of consecutive gateways that a customer uses, from a random first gateway on
	Customers int
	PerSecond float64 // mean rate of a customer of the group, in requests a second
	Zipf      float64 // exponent of the Zipf distribution of the load over the customers; 0: equal rates
	Plan      int     // index of the plan in the settings
	Class     int     // index of the class in the settings
	Units     float64 // cost of each request
	Shift     bool    // a customer's gateways have random weights, drawn again every 7 to 18 s; false: equal weights
}

// Result is the result of a job.
type Result struct {
	Groups     []GroupResult
	Ready      load.Quantiles // time from a gateway's start to its first endpoint list, s
	Gateways   int
	Requests   uint64  // sum of Tries over all groups
	SpanS      float64 // time from the start of the measured load to the last answer, s
	CPUSeconds float64 // CPU time of the process from the start of the measured load to the last answer, s
	PeakMB     float64 // peak memory of the process since its start, MB
}

// GroupResult counts the attempts of one group for requests that were due after the warm-up:
// Tries = Served + Refused + Failed + Dropped.
type GroupResult struct {
	Name            string
	Tries           uint64         // attempts
	Served          uint64         // attempts answered 200
	Refused         uint64         // attempts answered 429 or 503: rejections
	Failed          uint64         // attempts answered with another status
	Dropped         uint64         // attempts not sent because too many requests were in flight
	Repeats         uint64         // attempts that were retries by the client
	RefusedInside   uint64         // attempts rejected although within the customer's quota
	RefusedHalfFull uint64         // attempts rejected while half of the burst or more was unused
	Beyond          uint64         // attempts forwarded although over the customer's quota
	Calls           uint64         // calls of the group's gateways to the counter after the warm-up
	CallsUnanswered uint64         // calls, included in Calls, that got no response
	Latency         load.Quantiles // latency of served requests, from the due time of the first attempt, ms
}

// jobRun is the state of a running job.
type jobRun struct {
	Job
	deployment wire.Deployment
	gateways   []*gateway.Hollow // gateways in order of rank; the rank of gateways[0] is First
}

// newJobRun validates a job. The error says what is invalid.
func newJobRun(job Job) (*jobRun, error) {
	h := &jobRun{Job: job, gateways: make([]*gateway.Hollow, max(job.Gateways, 0))}
	var err error
	h.deployment, err = wire.ParseDeployment(job.Settings)
	if err != nil {
		return nil, err
	}
	switch {
	case job.First < 0 || job.Gateways < 1 || job.First+job.Gateways > job.Fleet:
		return nil, fmt.Errorf("gateways %d to %d are not among %d of the fleet",
			job.First, job.First+job.Gateways-1, job.Fleet)
	case job.ServiceS < 0 || job.WarmS < 0 || job.RunS <= 0 || job.MemoryMB < 0 || job.StartSpreadS < 0:
		return nil, errors.New("one of ServiceS, WarmS, RunS, MemoryMB and StartSpreadS is out of range")
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

// overlaps reports whether two groups share gateways.
func (g Group) overlaps(other Group) bool {
	return g.First < other.First+other.Gateways && other.First < g.First+g.Gateways
}

func (h *jobRun) validateGroup(group Group) error {
	switch {
	case group.Gateways < 1 || group.First < h.First || group.First+group.Gateways > h.First+h.Gateways:
		return errors.New("its gateways are not all in this process")
	case group.Spread < 1 || group.Spread > group.Gateways:
		return fmt.Errorf("subsets of %d among %d gateways", group.Spread, group.Gateways)
	case group.Customers < 1 || group.PerSecond <= 0 || group.Zipf < 0 || group.Units <= 0:
		return errors.New("one of Customers, PerSecond, Zipf and Units is out of range")
	case group.Customers > maxCustomerIDs/h.Fleet:
		return fmt.Errorf("%d customers are too many", group.Customers)
	case group.Plan < 0 || group.Plan >= len(h.deployment.Plans):
		return errUnknownIndex
	case group.Class < 0 || group.Class >= len(h.deployment.Classes):
		return errUnknownIndex
	}
	return nil
}

// errUnknownIndex is returned for a group whose plan or class is not in the settings.
var errUnknownIndex = errors.New("the settings have no such plan or class")
