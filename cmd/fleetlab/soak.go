package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"time"

	"golang.org/x/sync/errgroup"

	"amberlb/internal/lab/soak"
)

const (
	maxSeeds      = 10_000
	maxJobs       = 8 // a run has up to four gateways
	minDuration   = 6 * time.Second
	maxDuration   = time.Hour
	maxViolations = 10 // that are told of one run
)

// soakArguments are the arguments of the soak.
type soakArguments struct {
	Seed  uint64        `default:"1" help:"The first seed."`
	Seeds int           `default:"1" help:"How many seeds are played, from the first one on."`
	For   time.Duration `default:"30s" help:"How long each is played."`
	Jobs  int           `default:"1" help:"How many are played at a time."`
}

func (a soakArguments) check() error {
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

var errInterrupted = errors.New("interrupted: the last seeds are partial")

// runSoak plays the seeds and tells what was found, a line a seed and the story of each fault.
func runSoak(ctx context.Context, args soakArguments, out, errs io.Writer) (status int, err error) {
	if err := args.check(); err != nil {
		return 0, usageError{err}
	}
	log := slog.New(slog.NewTextHandler(errs, nil))
	dir, err := moduleRoot()
	if err != nil {
		return 0, usageError{err}
	}
	gateway, err := build(ctx, dir, log)
	if err != nil {
		return 0, err
	}
	results := make([]soak.Result, args.Seeds)
	var group errgroup.Group
	group.SetLimit(args.Jobs)
	for i := range results {
		group.Go(func() error {
			if ctx.Err() != nil {
				return nil
			}
			plan := soak.NewPlan(args.Seed+uint64(i), args.For)
			r, err := soak.Run(ctx, plan, soak.Options{Program: gateway, Log: log})
			results[i] = r
			return err
		})
	}
	err = group.Wait()
	status, partial := exitOK, false
	for _, r := range results {
		if r.Plan.Seed == 0 && r.Plan.Duration == 0 {
			partial = true // never begun
			continue
		}
		partial = partial || r.Partial
		if len(r.Verdict.Violations) > 0 {
			status = exitFailed
		}
		printSoakResult(out, r)
	}
	if err == nil && partial {
		err = errInterrupted
	}
	return status, err
}

func printSoakResult(out io.Writer, r soak.Result) {
	v := r.Verdict
	fmt.Fprintf(out, "seed %d: %d gateways, %d stops, longest deadline %v, crowd %d: %d served, %d refused, %d failed, %d left, "+
		"%d crossed a close, %d ended by a kill with no warning, %d excused, %d faults\n", r.Plan.Seed, r.Plan.Gateways, len(r.Plan.Stops),
		soak.KillAfter(r.Plan.Classes)-soak.KillDelay, r.Plan.IdleConns, v.Served, v.Rejected, v.Failed, v.Disconnected, v.CloseRaces, v.KilledUnwarned, v.ExcusedByKill,
		len(v.Violations))
	for i, f := range v.Violations {
		if i == maxViolations {
			fmt.Fprintf(out, "and %d more\n", len(v.Violations)-i)
			break
		}
		fmt.Fprintln(out, f)
	}
}
