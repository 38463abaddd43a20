package experiment

import (
	"encoding/json"

	"amberlb/internal/lab/hollow"
)

// hollowJob says which hollow gateways and which groups one process runs. The ranks of the gateways and the indices of
// the groups are consecutive.
type hollowJob struct {
	firstRank  int // rank of the first gateway
	gateways   int // number of gateways
	firstGroup int // index of the first group
	groupCount int
}

// groupsOf returns the groups of a job.
func (e *Experiment) groupsOf(job hollowJob) []Group {
	return e.Groups[job.firstGroup : job.firstGroup+job.groupCount]
}

// hollowJobs distributes the hollow gateways over processes: first the gateways of the groups, then the gateways that
// belong to no group. All gateways of a group are in one process, because that process tracks the quotas of the
// group's customers.
func (e *Experiment) hollowJobs() []hollowJob {
	processes := e.Fleet.HollowProcesses
	groupProcesses := min(processes, len(e.Groups))
	nextRank := e.Fleet.GatewayProcesses
	var jobs []hollowJob
	for i := range groupProcesses {
		from := i * len(e.Groups) / groupProcesses
		to := (i + 1) * len(e.Groups) / groupProcesses
		job := hollowJob{firstRank: nextRank, firstGroup: from, groupCount: to - from}
		for _, g := range e.groupsOf(job) {
			job.gateways += g.Gateways
		}
		nextRank += job.gateways
		jobs = append(jobs, job)
	}
	endRank := e.Fleet.GatewayProcesses + e.hollowGateways()
	perProcess := (endRank - nextRank + processes - 1) / processes
	for nextRank < endRank {
		job := hollowJob{firstRank: nextRank, gateways: min(perProcess, endRank-nextRank)}
		nextRank += job.gateways
		jobs = append(jobs, job)
	}
	return jobs
}

// encodeJob returns the JSON that the process of a job reads from its standard input.
func (e *Experiment) encodeJob(job hollowJob, s *standins) ([]byte, error) {
	settings, err := e.settings(job.firstRank)
	if err != nil {
		return nil, err
	}
	encoded := hollow.Job{
		Seed:         e.Seed,
		Settings:     settings,
		First:        job.firstRank,
		Gateways:     job.gateways,
		Fleet:        e.Fleet.Gateways,
		Discovery:    s.discoveryAddress,
		Counter:      s.counterAddress,
		ServiceS:     e.Backends.ServiceTimeMS / 1000,
		WarmS:        e.WarmupSeconds,
		RunS:         e.Seconds,
		MemoryMB:     e.hollowProcessMemoryMB(job),
		StartSpreadS: e.Restart.StaggerS,
	}
	firstRank := job.firstRank
	for i, g := range e.groupsOf(job) {
		encoded.Groups = append(encoded.Groups, hollow.Group{
			Name:      g.Name,
			First:     firstRank,
			Gateways:  g.Gateways,
			Spread:    g.SubsetSize,
			Customers: g.Customers,
			PerSecond: g.RequestsPerSecond,
			Zipf:      g.ZipfExponent,
			Plan:      job.firstGroup + i, // the settings list the plans of the groups first
			Units:     g.UnitsPerRequest,
			Shift:     g.ShiftingWeights,
		})
		firstRank += g.Gateways
	}
	return json.Marshal(encoded)
}
