package soak

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"time"

	"amberlb/internal/lab/gatewayprocess"
)

// settleTime is the wait after the last gateway process has ended, so that the backends see the end of all attempts.
const settleTime = 2 * time.Second

// Options configure a run.
type Options struct {
	Program gatewayprocess.Program
	Env     []string // additional environment variables of the gateways
	Log     *slog.Logger

	// CheckMemory makes Run check that the gateways stay within their memory limit. A program with the race detector
	// needs several times as much memory.
	CheckMemory bool
}

// Result is the result of a run.
type Result struct {
	Plan    Plan
	History History
	Verdict Verdict
	Partial bool // the run was interrupted
}

// runner carries out one plan.
type runner struct {
	plan     Plan
	options  Options
	clock    Clock
	standins standins
	gateways []*gatewayNode

	mu             sync.Mutex
	clientAttempts []ClientAttempt
	processes      []Process // processes that have ended
	listChanges    []ListChange
	requestCount   int

	incompleteRequests []IncompleteRequest
	hostileExchanges   []HostileExchange
}

// Run carries out a plan and checks the records. It returns an error if the run could not be set up. When Run returns,
// everything that it started has ended.
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

// startGateways starts the gateways one after another.
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

// runPlan runs the clients and injects the faults until the plan's duration is over. The result interrupted is
// true if ctx ended before that.
func (r *runner) runPlan(ctx context.Context) (interrupted bool) {
	ctx, cancel := context.WithTimeout(ctx, time.Until(r.clock.At(r.plan.Duration)))
	defer cancel()
	var tasks sync.WaitGroup
	for i := range r.plan.Gateways * r.plan.ClientsPerGateway {
		tasks.Go(func() { r.runClient(ctx, uint64(i)) })
	}
	for _, n := range r.gateways {
		tasks.Go(func() { r.holdIdleConns(ctx, n) })
		for range r.plan.BadClients {
			tasks.Go(func() { r.runBadClient(ctx, n) })
		}
		for number, crowd := range r.plan.Crowds {
			tasks.Go(func() { r.runCrowd(ctx, n, crowd, number) })
		}
	}
	for _, n := range r.gateways {
		tasks.Go(func() { r.runStops(ctx, n) })
	}
	tasks.Go(func() { r.runDrains(ctx) })
	tasks.Go(func() { r.runOutages(ctx) })
	tasks.Wait()
	return !errors.Is(ctx.Err(), context.DeadlineExceeded)
}

// history returns all records. It may be called only after all clients, stops and drains have ended.
func (r *runner) history() History {
	history := History{
		ClientAttempts:     r.clientAttempts,
		BackendAttempts:    r.standins.backendAttempts(),
		Processes:          r.processes,
		ListChanges:        r.listChanges,
		Outages:            r.plan.Outages,
		SlowDiscovery:      r.plan.SlowDiscovery != SlowDiscovery{},
		IncompleteRequests: r.incompleteRequests,
		HostileExchanges:   r.hostileExchanges,
	}
	if r.options.CheckMemory {
		history.MemoryLimit = int64(r.plan.MemoryMB) << 20
	}
	return history
}

// close stops everything that is still running.
func (r *runner) close() {
	for _, n := range r.gateways {
		n.close()
	}
	r.standins.close()
}
