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

// Usage is the resource usage of a process.
type Usage struct {
	CPU          time.Duration // CPU time in user and system mode since the start, in steps of 10 ms
	PeakRSS      int64         // peak resident memory since the start, bytes
	RSS          int64         // current resident memory, bytes
	AnonymousRSS int64         // part of RSS that is not backed by files, bytes
}

// ReadUsage reads the resource usage of a process. It returns an error if the process has exited.
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

// parseUsage parses the contents of /proc/PID/stat and /proc/PID/status.
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
	if err != nil {
		return Usage{}, err
	}
	usage.AnonymousRSS, err = parseMemory(status, "RssAnon:")
	return usage, err
}

// parseCPU returns the CPU time from the text of /proc/PID/stat. The text contains the name of
// the process, which may contain blanks and parentheses. Fields are therefore counted from the
// last parenthesis on.
func parseCPU(stat string) (time.Duration, error) {
	const utime, stime = 11, 12 // indices among the fields after the name
	nameEnd := strings.LastIndex(stat, ") ")
	fields := strings.Fields(stat[nameEnd+1:])
	if nameEnd < 0 || len(fields) <= stime {
		return 0, errors.New("stat: no name or too few fields")
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

// parseMemory returns the value of a key of /proc/PID/status in bytes. It returns an error if
// the key is missing, as it is for a process that has exited.
func parseMemory(status, key string) (int64, error) {
	for line := range strings.Lines(status) {
		value, ok := strings.CutPrefix(line, key)
		if !ok {
			continue
		}
		kib, err := strconv.ParseInt(strings.TrimSuffix(strings.TrimSpace(value), " kB"), 10, 64)
		return kib << 10, err
	}
	return 0, fmt.Errorf("status has no %q: the process has exited", key)
}
