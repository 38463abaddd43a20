package experiment

import (
	"encoding/json"
	"os"
	"path/filepath"
	"time"
)

// Candidate and Baseline name the versions of the programs that a report compares.
// Bounds apply to Candidate alone.
const (
	Candidate = "after"
	Baseline  = "before"
)

// Report is all that an experiment gave.
type Report struct {
	File       string     `json:"file"`
	Experiment Experiment `json:"experiment"` // as the file states it
	Seed       uint64     `json:"seed"`
	Commit     string     `json:"commit"`             // of this version; "unknown" outside a repository
	Baseline   string     `json:"baseline,omitempty"` // directory of the earlier version
	Started    time.Time  `json:"started"`
	DurationS  float64    `json:"took_s"`
	Machine    Machine    `json:"machine"`
	Partial    bool       `json:"partial"` // something was not measured to its end; the runs say what
	Passed     bool       `json:"kept"`    // all bounds were kept
	Runs       []Run      `json:"runs"`
	Slopes     []Slope    `json:"slopes,omitempty"`
	Verdicts   []Verdict  `json:"bounds,omitempty"`
}

// Machine is what the experiment ran on.
type Machine struct {
	Cores    int     `json:"cores"`
	MemoryMB float64 `json:"memory_mb"`
	Load     string  `json:"load"` // the kernel's load averages at the start
}

// Run is one version at one point of a sweep.
type Run struct {
	Version string             `json:"version"`
	Key     string             `json:"key,omitempty"` // what was swept, and its value here
	Value   float64            `json:"value"`
	Metrics Metrics            `json:"figures"`
	Groups  map[string]Metrics `json:"groups,omitempty"`
	Partial []string           `json:"partial,omitempty"` // what was not measured to its end, and why
}

// Write writes the report to a file, as JSON. It makes the file's directory if there is none.
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
