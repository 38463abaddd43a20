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

// Limits of the arguments of the soak.
const (
	maxSeeds    = 10_000
	maxJobs     = 8 // a run has up to four gateways
	minDuration = 6 * time.Second
	maxDuration = time.Hour
)

// maxPrintedViolations is how many violations of one run are printed in full.
const maxPrintedViolations = 10

// errInterrupted is returned where the context ended before all seeds were played to their end.
var errInterrupted = errors.New("interrupted: the last seeds are partial")

// soakArguments are the arguments of the soak.
type soakArguments struct {
	Seed  uint64        `default:"1" help:"The first seed."`
	Seeds int           `default:"1" help:"How many seeds are played, from the first one on."`
	For   time.Duration `default:"30s" help:"How long each is played."`
	Jobs  int           `default:"1" help:"How many are played at a time."`
}

// validate returns an error that names the argument that is out of range.
func (a soakArguments) validate() error {
	switch {
	case a.Seeds < 1 || a.Seeds > maxSeeds:
		return fmt.Errorf("--seeds %d: 1 to %d", a.Seeds, maxSeeds)
	case a.For < minDuration || a.For > maxDuration:
		return fmt.Errorf("--for %v: %v to %v", a.For, minDuration, maxDuration)
	case a.Jobs < 1 || a.Jobs > maxJobs:
		return fmt.Errorf("--jobs %d: 1 to %d", a.Jobs, maxJobs)
	}
	return nil
}

// runSoak plays the seeds and prints a line for each, with the records of each violation below it.
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

// runSeeds plays the seeds, so many at a time as the arguments say, and returns a result for each. That of a seed that
// was never begun is the zero value. The error is that of the first run that could not be set up.
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
			plan := soak.NewPlan(args.Seed+uint64(i), args.For)
			result, err := soak.Run(ctx, plan, soak.Options{Program: program, Log: log})
			results[i] = result
			return err
		})
	}
	err := runs.Wait()
	return results, err
}

// printSoakResults prints the results of all seeds that were begun. interrupted tells whether any was not played to its
// end.
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

// printSoakResult prints the summary of one seed and its violations.
func printSoakResult(stdout io.Writer, result soak.Result) {
	plan := result.Plan
	verdict := result.Verdict
	longestDeadline := soak.KillAfter(plan.Classes) - soak.KillDelay
	fmt.Fprintf(stdout, "seed %d: %d gateways, %d stops, longest deadline %v, crowd %d: ",
		plan.Seed, plan.Gateways, len(plan.Stops), longestDeadline, plan.IdleConns)
	fmt.Fprintf(stdout, "%d served, %d refused, %d failed, %d left, ",
		verdict.Served, verdict.Rejected, verdict.Failed, verdict.Disconnected)
	fmt.Fprintf(stdout, "%d crossed a close, %d ended by a kill with no warning, %d excused, %d faults\n",
		verdict.CloseRaces, verdict.KilledUnwarned, verdict.ExcusedByKill, len(verdict.Violations))
	for i, violation := range verdict.Violations {
		if i == maxPrintedViolations {
			fmt.Fprintf(stdout, "and %d more\n", len(verdict.Violations)-i)
			break
		}
		fmt.Fprintln(stdout, violation)
	}
}
