package main

import (
	"context"
	"io"
	"log/slog"
	"path/filepath"
	"strings"

	"amberlb/internal/lab/experiment"
)

// runExperiment runs an experiment, prints its tables to stdout and writes the JSON report.
// If sweep is not "", it replaces the sweep in the experiment file.
func runExperiment(
	ctx context.Context, args experimentArguments, sweep string, stdout, stderr io.Writer,
) (status int, err error) {
	parsed, err := experiment.Read(args.File, sweep)
	if err != nil {
		return 0, usageError{err}
	}
	log := slog.New(slog.NewTextHandler(stderr, nil))
	root, err := moduleRoot()
	if err != nil {
		return 0, usageError{err}
	}
	versions, err := buildVersions(ctx, root, args.Baseline, log)
	if err != nil {
		return 0, err
	}
	lab := experiment.Lab{Versions: versions, Root: root, Log: log}
	report, err := lab.Run(ctx, args.File, parsed)
	if err != nil {
		return 0, usageError{err}
	}
	report.Baseline = args.Baseline
	report.Print(stdout)
	path := args.reportPath(root)
	if err := report.Write(path); err != nil {
		return 0, err
	}
	log.Info("report", "file", path)
	if !report.Passed || report.Partial {
		return exitFailed, nil
	}
	return exitOK, nil
}

// reportPath returns the path of the report, which the argument Report sets. The default is a file
// in the directory logs of the module root. Its name is that of the experiment file, with the suffix
// .json.
func (a experimentArguments) reportPath(root string) string {
	if a.Report != "" {
		return a.Report
	}
	name := strings.TrimSuffix(filepath.Base(a.File), ".toml")
	return filepath.Join(root, "logs", name+".json")
}
