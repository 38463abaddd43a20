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
	mostSeeds  = 10_000
	mostJobs   = 8 // a run has up to four gateways
	leastLong  = 6 * time.Second
	mostLong   = time.Hour
	mostFaults = 10 // that are told of one run
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
	case a.Seeds < 1 || a.Seeds > mostSeeds:
		return fmt.Errorf("--seeds %d: 1 to %d", a.Seeds, mostSeeds)
	case a.For < leastLong || a.For > mostLong:
		return fmt.Errorf("--for %v: %v to %v", a.For, leastLong, mostLong)
	case a.Jobs < 1 || a.Jobs > mostJobs:
		return fmt.Errorf("--jobs %d: 1 to %d", a.Jobs, mostJobs)
	}
	return nil
}

var errInterrupted = errors.New("interrupted: the last seeds are partial")

// runSoak plays the seeds and tells what was found, a line a seed and the story of each fault.
func runSoak(ctx context.Context, a soakArguments, out, errs io.Writer) (status int, err error) {
	if err := a.check(); err != nil {
		return 0, errUse{err}
	}
	log := slog.New(slog.NewTextHandler(errs, nil))
	dir, err := root()
	if err != nil {
		return 0, errUse{err}
	}
	gateway, err := build(ctx, dir, log)
	if err != nil {
		return 0, err
	}
	results := make([]soak.Result, a.Seeds)
	var playing errgroup.Group
	playing.SetLimit(a.Jobs)
	for i := range results {
		playing.Go(func() error {
			if ctx.Err() != nil {
				return nil
			}
			plan := soak.NewPlan(a.Seed+uint64(i), a.For)
			r, err := soak.Run(ctx, plan, soak.Options{Program: gateway, Log: log})
			results[i] = r
			return err
		})
	}
	err = playing.Wait()
	status, partial := kept, false
	for _, r := range results {
		if r.Plan.Seed == 0 && r.Plan.Length == 0 {
			partial = true // never begun
			continue
		}
		partial = partial || r.Partial
		if len(r.Verdict.Faults) > 0 {
			status = broken
		}
		printSoak(out, r)
	}
	if err == nil && partial {
		err = errInterrupted
	}
	return status, err
}

func printSoak(out io.Writer, r soak.Result) {
	v := r.Verdict
	fmt.Fprintf(out, "seed %d: %d gateways, %d stops, longest deadline %v, crowd %d: %d served, %d refused, %d failed, %d left, "+
		"%d crossed a close, %d ended by a kill with no warning, %d excused, %d faults\n", r.Plan.Seed, r.Plan.Gateways, len(r.Plan.Stops),
		soak.KillAfter(r.Plan.Classes)-soak.KillDelay, r.Plan.Crowd, v.Served, v.Refused, v.Failed, v.Left, v.Crossed, v.Abrupt, v.Excused,
		len(v.Faults))
	for i, f := range v.Faults {
		if i == mostFaults {
			fmt.Fprintf(out, "and %d more\n", len(v.Faults)-i)
			break
		}
		fmt.Fprintln(out, f)
	}
}
