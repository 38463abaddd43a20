package experiment

import (
	"errors"
	"fmt"
	"os"
)

// maxMemoryShare is the largest share of the machine's memory that an experiment may need.
const maxMemoryShare = 0.5

// Estimated memory use, in MB.
const (
	labMB           = 256.0  // this process, without the endpoint list
	backendMB       = 0.002  // a backend in this process: its endpoint list entry and the copies being sent
	hollowProcessMB = 64.0   // a process of hollow gateways, without the gateways
	hollowMB        = 0.3    // a hollow gateway, without its endpoint list
	hollowBackendMB = 0.0012 // a backend in the endpoint list of a hollow gateway
	customerMB      = 0.002  // a customer in one hollow gateway; each gateway of the customer's subset needs this much
)

// validateCapacity returns an error if the experiment has no gateways, has too many processes, or needs more than
// maxMemoryShare of this machine's memory.
func (e *Experiment) validateCapacity() error {
	if e.Fleet.GatewayProcesses == 0 && e.hollowGateways() == 0 {
		return errors.New("fleet: both real and hollow are 0, so there is no gateway")
	}
	processes := 1 + e.Fleet.GatewayProcesses + len(e.hollowJobs())
	if processes > maxProcesses {
		return fmt.Errorf("fleet.processes: %d processes exceed the limit of %d", processes, maxProcesses)
	}
	availableMB, err := machineMemoryMB()
	if err != nil {
		return err
	}
	if neededMB := e.totalMemoryMB(); neededMB > maxMemoryShare*availableMB {
		return fmt.Errorf("fleet: the experiment needs about %.0f MB, more than half of the machine's %.0f MB",
			neededMB, availableMB)
	}
	return nil
}

// totalMemoryMB estimates the peak memory of all processes together. Gateway processes and hollow gateways never run at
// the same time, so the estimate includes only the larger of the two sums.
func (e *Experiment) totalMemoryMB() float64 {
	allHollowMB := 0.0
	for _, job := range e.hollowJobs() {
		allHollowMB += float64(e.hollowProcessMemoryMB(job))
	}
	gatewaysMB := float64(e.Fleet.GatewayProcesses * e.Fleet.MemoryMB)
	return labMB + backendMB*float64(e.Backends.Count+e.spareBackends()) + max(gatewaysMB, allHollowMB)
}

// hollowProcessMemoryMB estimates the memory of one process of hollow gateways.
func (e *Experiment) hollowProcessMemoryMB(job hollowJob) int {
	needed := hollowProcessMB + float64(job.gateways)*(hollowMB+hollowBackendMB*float64(e.Backends.Count))
	for _, g := range e.groupsOf(job) {
		needed += customerMB * float64(g.Customers*g.SubsetSize)
	}
	return int(needed)
}

// machineMemoryMB returns the total memory of this machine.
func machineMemoryMB() (float64, error) {
	text, err := os.ReadFile("/proc/meminfo")
	if err != nil {
		return 0, err
	}
	var kib float64
	if _, err := fmt.Sscanf(string(text), "MemTotal: %f kB", &kib); err != nil {
		return 0, fmt.Errorf("/proc/meminfo: %w", err)
	}
	return kib / 1024, nil
}
