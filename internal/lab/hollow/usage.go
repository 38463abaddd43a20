package hollow

import (
	"syscall"
	"time"
)

// resourceUsage is the resource usage of this process since its start.
type resourceUsage struct {
	cpu    time.Duration // CPU time in user and system mode
	peakMB float64       // peak resident memory
}

// readUsage reads the resource usage of this process.
func readUsage() resourceUsage {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		panic(err) // Getrusage can't fail with these arguments
	}
	return resourceUsage{
		cpu:    time.Duration(usage.Utime.Nano() + usage.Stime.Nano()),
		peakMB: float64(usage.Maxrss) / 1024,
	}
}
