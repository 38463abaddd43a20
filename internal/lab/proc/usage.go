package proc

import (
	"errors"
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"
)

// clockTick is the unit of the times in /proc/PID/stat.
const clockTick = 10 * time.Millisecond

// Usage is what a process has used.
type Usage struct {
	CPU     time.Duration // user and system, in steps of 10 ms
	PeakRSS int64         // most resident memory so far, bytes
	RSS     int64         // resident memory now, bytes
}

// ReadUsage reads the usage of a process. It is an error if the process has ended.
func ReadUsage(pid int) (Usage, error) {
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return Usage{}, err
	}
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return Usage{}, err
	}
	usage, err := parseUsage(string(stat), string(status))
	if err != nil {
		return Usage{}, fmt.Errorf("process %d: %w", pid, err)
	}
	return usage, nil
}

// parseUsage parses the two files of a process.
func parseUsage(stat, status string) (usage Usage, err error) {
	usage.CPU, err = parseCPU(stat)
	if err != nil {
		return Usage{}, err
	}
	usage.PeakRSS, err = parseMemory(status, "VmHWM:")
	if err != nil {
		return Usage{}, err
	}
	usage.RSS, err = parseMemory(status, "VmRSS:")
	return usage, err
}

// parseCPU returns the CPU time in the text of stat. The process's name in it may hold
// blanks and parentheses, so the fields are counted from the last parenthesis.
func parseCPU(stat string) (time.Duration, error) {
	const utime, stime = 11, 12 // fields behind the name
	nameEnd := strings.LastIndex(stat, ") ")
	fields := strings.Fields(stat[nameEnd+1:])
	if nameEnd < 0 || len(fields) <= stime {
		return 0, errors.New("stat can't be read")
	}
	cpu := time.Duration(0)
	for _, field := range fields[utime : stime+1] {
		ticks, err := strconv.ParseInt(field, 10, 64)
		if err != nil {
			return 0, fmt.Errorf("stat: %w", err)
		}
		cpu += time.Duration(ticks) * clockTick
	}
	return cpu, nil
}

// parseMemory returns the value of a key of status in bytes. A process that has ended has none.
func parseMemory(status, key string) (int64, error) {
	for line := range strings.Lines(status) {
		value, ok := strings.CutPrefix(line, key)
		if !ok {
			continue
		}
		kib, err := strconv.ParseInt(strings.TrimSuffix(strings.TrimSpace(value), " kB"), 10, 64)
		return kib << 10, err
	}
	return 0, fmt.Errorf("no %s it has ended", key)
}
