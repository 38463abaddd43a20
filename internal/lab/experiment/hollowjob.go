package experiment

import (
	"encoding/json"

	"amberlb/internal/lab/hollow"
)

// hollowJob says which hollow gateways and groups one process runs.
type hollowJob struct {
	firstRank  int // of its gateways, whose ranks are consecutive
	gateways   int // number
	firstGroup int // index of the first of its groups, which are consecutive
	groupCount int
}

// groupsOf are the groups of a job.
func (e *Experiment) groupsOf(job hollowJob) []Group {
	return e.Groups[job.firstGroup : job.firstGroup+job.groupCount]
}

// hollowJobs distributes the hollow gateways over processes: first those of the groups, then those of no group. All
// gateways of a group are in one process, since the quotas of its customers are checked there.
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

// encodeJob is what the process of a job reads, as JSON.
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
			Plan:      job.firstGroup + i, // the groups' plans are the settings' first
			Units:     g.UnitsPerRequest,
			Shift:     g.ShiftingWeights,
		})
		firstRank += g.Gateways
	}
	return json.Marshal(encoded)
}
