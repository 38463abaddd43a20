package experiment

import (
	"encoding/json"
	"os"
	"path/filepath"
	"time"
)

// Candidate and Baseline are the names of the versions that a report compares. Candidate is
// the version that fleetlab belongs to, and Baseline is an earlier version. Bounds apply to
// Candidate only.
const (
	Candidate = "after"
	Baseline  = "before"
)

// Report is the result of an experiment.
type Report struct {
	File       string     `json:"file"`
	Experiment Experiment `json:"experiment"` // as returned by Read
	Seed       uint64     `json:"seed"`
	Commit     string     `json:"commit"`             // commit of Candidate; "unknown" outside a repository
	Baseline   string     `json:"baseline,omitempty"` // directory of Baseline; "" if only Candidate was measured
	Started    time.Time  `json:"started"`
	DurationS  float64    `json:"took_s"`
	Machine    Machine    `json:"machine"`
	Partial    bool       `json:"partial"` // at least one run was not completed; Run.Partial says why
	Passed     bool       `json:"kept"`    // all bounds were kept
	Runs       []Run      `json:"runs"`
	Slopes     []Slope    `json:"slopes,omitempty"`
	Verdicts   []Verdict  `json:"bounds,omitempty"`
}

// Machine describes the machine that the experiment ran on.
type Machine struct {
	Cores    int     `json:"cores"`
	MemoryMB float64 `json:"memory_mb"`
	Load     string  `json:"load"` // load averages of the kernel at the start of the experiment
}

// Run holds the metrics of one version at one point of a sweep.
type Run struct {
	Version string             `json:"version"`
	Key     string             `json:"key,omitempty"` // swept key, whose value is in Value; "" without a sweep
	Value   float64            `json:"value"`
	Metrics Metrics            `json:"figures"`
	Groups  map[string]Metrics `json:"groups,omitempty"`
	Partial []string           `json:"partial,omitempty"` // the phases that were not completed, each with the reason
}

// Write writes the report to a file, as JSON. It creates the file's directory if it doesn't exist.
func (r *Report) Write(path string) error {
	text, err := json.MarshalIndent(r, "", "  ")
	if err != nil {
		return err
	}
	if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
		return err
	}
	return os.WriteFile(path, append(text, '\n'), 0o644)
}
