package soak

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"time"

	"amberlb/internal/lab/gatewayprocess"
)

// settleTime is waited after the end of the last gateway, for attempts to end at the backends.
const settleTime = 2 * time.Second

// Options are those of a run.
type Options struct {
	Program gatewayprocess.Program
	Env     []string // environment variables for the program
	Log     *slog.Logger
}

// Result is what a run gave.
type Result struct {
	Plan    Plan
	History History
	Verdict Verdict
	Partial bool // the run was interrupted
}

// runner plays one plan.
type runner struct {
	plan     Plan
	options  Options
	clock    Clock
	standins standins
	gateways []*gatewayNode

	mu             sync.Mutex
	clientAttempts []ClientAttempt
	processes      []Process // those that have ended
	listChanges    []ListChange
	requestCount   int
}

// Run plays a plan and checks what was recorded. The error is that of a run that could not be set up. All that was
// started has ended when Run returns.
func Run(ctx context.Context, plan Plan, options Options) (Result, error) {
	r := &runner{plan: plan, options: options, clock: NewClock()}
	defer r.close()
	if err := r.standins.start(ctx, plan, r.clock); err != nil {
		return Result{}, err
	}
	if err := r.startGateways(ctx); err != nil {
		return Result{}, err
	}
	interrupted := r.runPlan(ctx)
	r.stopRemaining()
	time.Sleep(settleTime)
	history := r.history()
	return Result{Plan: plan, History: history, Verdict: Check(history), Partial: interrupted}, nil
}

// startGateways starts the gateways one after another, each with a proxy in front of it.
func (r *runner) startGateways(ctx context.Context) error {
	for number := range r.plan.Gateways {
		n, err := r.newGatewayNode(number)
		if err != nil {
			return err
		}
		r.gateways = append(r.gateways, n)
		if err := r.startProcess(ctx, n); err != nil {
			return err
		}
	}
	return nil
}

// runPlan runs the clients and plays the faults until the plan's duration is over. It returns true if ctx ended before.
func (r *runner) runPlan(ctx context.Context) (interrupted bool) {
	ctx, cancel := context.WithTimeout(ctx, time.Until(r.clock.At(r.plan.Duration)))
	defer cancel()
	var tasks sync.WaitGroup
	for i := range r.plan.Gateways * r.plan.ClientsPerGateway {
		tasks.Go(func() { r.runClient(ctx, uint64(i)) })
	}
	for _, n := range r.gateways {
		tasks.Go(func() { r.holdIdleConns(ctx, n) })
	}
	for _, n := range r.gateways {
		tasks.Go(func() { r.runStops(ctx, n) })
	}
	tasks.Go(func() { r.runDrains(ctx) })
	tasks.Go(func() { r.runOutages(ctx) })
	tasks.Wait()
	return !errors.Is(ctx.Err(), context.DeadlineExceeded)
}

// history returns what was recorded. It is called once all that records has ended.
func (r *runner) history() History {
	return History{
		ClientAttempts:  r.clientAttempts,
		BackendAttempts: r.standins.backendAttempts(),
		Processes:       r.processes,
		ListChanges:     r.listChanges,
		Outages:         r.plan.Outages,
	}
}

// close ends what is still running.
func (r *runner) close() {
	for _, n := range r.gateways {
		n.close()
	}
	r.standins.close()
}
