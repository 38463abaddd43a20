package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"time"

	"golang.org/x/sync/errgroup"

	"amberlb/internal/lab/gatewayprocess"
	"amberlb/internal/lab/soak"
)

// Limits of the arguments of the command soak.
const (
	maxSeeds    = 10_000
	maxJobs     = 8 // a job runs one seed, with up to four gateways
	minDuration = 6 * time.Second
	maxDuration = time.Hour
)

// maxPrintedViolations is the number of violations of one seed that are printed; further violations are only counted.
const maxPrintedViolations = 10

// errInterrupted is returned if the context ended before the runs of all seeds were complete.
var errInterrupted = errors.New("interrupted before the runs of all seeds were complete")

// soakArguments declares the arguments of the command soak. Each seed determines one run: its gateways, clients and
// faults.
type soakArguments struct {
	Seed  uint64        `default:"1" help:"The first seed."`
	Seeds int           `default:"1" help:"The number of consecutive seeds to run, from the first one on."`
	For   time.Duration `default:"30s" help:"The duration of the run of each seed."`
	Jobs  int           `default:"1" help:"The number of seeds that run at the same time."`

	Hostile bool `help:"Play crowds of hostile clients against gateways at the corners of their limits."`
}

// newPlan returns the plan of a seed.
func (a soakArguments) newPlan(seed uint64) soak.Plan {
	if a.Hostile {
		return soak.NewHostilePlan(seed, a.For)
	}
	return soak.NewPlan(seed, a.For)
}

// validate returns an error that names the first argument that is out of range.
func (a soakArguments) validate() error {
	switch {
	case a.Seeds < 1 || a.Seeds > maxSeeds:
		return fmt.Errorf("--seeds %d: not between 1 and %d", a.Seeds, maxSeeds)
	case a.For < minDuration || a.For > maxDuration:
		return fmt.Errorf("--for %v: not between %v and %v", a.For, minDuration, maxDuration)
	case a.Jobs < 1 || a.Jobs > maxJobs:
		return fmt.Errorf("--jobs %d: not between 1 and %d", a.Jobs, maxJobs)
	}
	return nil
}

// runSoak runs all seeds. For each seed, it prints a line, followed by the violations of the run.
func runSoak(ctx context.Context, args soakArguments, stdout, stderr io.Writer) (status int, err error) {
	if err := args.validate(); err != nil {
		return 0, usageError{err}
	}
	log := slog.New(slog.NewTextHandler(stderr, nil))
	root, err := moduleRoot()
	if err != nil {
		return 0, usageError{err}
	}
	program, err := buildGateway(ctx, root, log)
	if err != nil {
		return 0, err
	}
	results, err := runSeeds(ctx, args, program, log)
	status, interrupted := printSoakResults(stdout, results)
	if err == nil && interrupted {
		err = errInterrupted
	}
	return status, err
}

// runSeeds runs all seeds, up to args.Jobs at the same time, and returns a result for each seed. If ctx ends before a
// seed's run is started, the result of the seed is the zero value. If some runs could not be set up, runSeeds returns
// the first error.
func runSeeds(
	ctx context.Context, args soakArguments, program gatewayprocess.Program, log *slog.Logger,
) ([]soak.Result, error) {
	results := make([]soak.Result, args.Seeds)
	var runs errgroup.Group
	runs.SetLimit(args.Jobs)
	for i := range results {
		runs.Go(func() error {
			if ctx.Err() != nil {
				return nil
			}
			plan := args.newPlan(args.Seed + uint64(i))
			result, err := soak.Run(ctx, plan, soak.Options{Program: program, Log: log, CheckMemory: true})
			results[i] = result
			return err
		})
	}
	err := runs.Wait()
	return results, err
}

// printSoakResults prints the results of all seeds whose runs were started. The status is exitFailed if
// there are violations. The result interrupted is true if not all runs were completed.
func printSoakResults(stdout io.Writer, results []soak.Result) (status int, interrupted bool) {
	status = exitOK
	for _, result := range results {
		begun := result.Plan.Seed != 0 || result.Plan.Duration != 0
		if !begun {
			interrupted = true
			continue
		}
		interrupted = interrupted || result.Partial
		if len(result.Verdict.Violations) > 0 {
			status = exitFailed
		}
		printSoakResult(stdout, result)
	}
	return status, interrupted
}

// printSoakResult prints a summary line of one seed, and its violations.
func printSoakResult(stdout io.Writer, result soak.Result) {
	plan := result.Plan
	verdict := result.Verdict
	longestDeadline := soak.KillAfter(plan.Classes) - soak.KillDelay
	fmt.Fprintf(stdout, "seed %d: %d gateways, %d stops, longest deadline %v, %d idle connections, %d bad clients: ",
		plan.Seed, plan.Gateways, len(plan.Stops), longestDeadline, plan.IdleConns, plan.BadClients)
	if slow := plan.SlowDiscovery; slow != (soak.SlowDiscovery{}) {
		fmt.Fprintf(stdout, "one of %d responses of discovery takes %v: ", slow.Interval, slow.ResponseTime)
	}
	printCrowds(stdout, result)
	fmt.Fprintf(stdout, "%d served, %d rejected, %d failed, %d disconnected, %d incomplete, ",
		verdict.Served, verdict.Rejected, verdict.Failed, verdict.Disconnected, verdict.Incomplete)
	fmt.Fprintf(stdout, "%d close races, %d ended by a hard kill, %d excused by SIGKILL, %d violations\n",
		verdict.CloseRaces, verdict.HardKilled, verdict.ExcusedByKill, len(verdict.Violations))
	for i, violation := range verdict.Violations {
		if i == maxPrintedViolations {
			fmt.Fprintf(stdout, "and %d more violations\n", len(verdict.Violations)-i)
			break
		}
		fmt.Fprintln(stdout, violation)
	}
}

// printCrowds prints the limits, the hostile clients and the peak of the memory of a run that has hostile clients.
func printCrowds(stdout io.Writer, result soak.Result) {
	if len(result.Plan.Crowds) == 0 {
		return
	}
	fmt.Fprintf(stdout, "%d MB, %d descriptors, ", result.Plan.MemoryMB, result.Plan.DescriptorLimit)
	for _, crowd := range result.Plan.Crowds {
		fmt.Fprintf(stdout, "%d %q (%s), ", crowd.Clients, crowd.Shape, crowd.Ending)
	}
	var peak int64
	for _, process := range result.History.Processes {
		peak = max(peak, process.PeakMemory)
	}
	fmt.Fprintf(stdout, "peak %d KiB, %d hostile connections, %d of them kept: ", peak>>10, result.Verdict.Hostile,
		result.Verdict.HostileKept)
}
