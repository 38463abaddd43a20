package hollow

import (
	"context"
	"fmt"
	"math/rand/v2"
	"runtime/debug"
	"sync"
	"syscall"
	"time"

	"amberlb/internal/gateway"
	"amberlb/internal/lab/load"
	"amberlb/policy"

	"amberlb/internal/lab/ctxtime"
)

const (
	maxCustomerIDs = 1 << 33         // their numbers are below it
	listTimeout    = 3 * time.Minute // for the first list, after the last gateway's start
	drainMargin    = 2 * time.Second // for the last answers, after the longest deadline
)

// fixedServiceTime is the backend of all hollow gateways: it serves each request, in the same time.
type fixedServiceTime time.Duration

func (s fixedServiceTime) Serve(policy.BackendID) (time.Duration, policy.Outcome) {
	return time.Duration(s), policy.Served
}

// Run runs the gateways of a job until its load is over and answered, or until ctx ends, and has ended them when
// it returns. The load begins once all gateways have their list. Where ctx ends before the load is over, the
// result tells what was done by then, and the error is ctx's.
func Run(ctx context.Context, j Job) (Result, error) {
	h, err := newJobRun(j)
	if err != nil {
		return Result{}, fmt.Errorf("job: %w", err)
	}
	if j.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(j.MemoryMB) << 20)
	}
	gatewaysCtx, stop := context.WithCancel(ctx)
	var gatewaysRunning sync.WaitGroup
	defer gatewaysRunning.Wait()
	defer stop()
	var ready load.LatencyHistogram
	if err := h.startGateways(gatewaysCtx, &gatewaysRunning, &ready); err != nil {
		return Result{}, err
	}
	groups := make([]*groupLoad, len(j.Groups))
	for n, g := range j.Groups {
		groups[n] = h.newGroupLoad(g)
	}
	loadStart := time.Now()
	// A gateway that is stuck may never answer; its open requests fail when it is ended.
	loadCtx, cancel := context.WithDeadline(gatewaysCtx, loadStart.Add(h.loadTimeout()))
	defer cancel()
	var loads sync.WaitGroup
	for _, g := range groups {
		loads.Go(func() { g.runLoad(loadCtx, loadStart) })
	}
	warmupTimer := time.NewTimer(seconds(j.WarmS))
	defer warmupTimer.Stop()
	select {
	case <-warmupTimer.C:
	case <-ctx.Done():
	}
	measuredFrom, cpuBefore := time.Now(), readUsage().cpu
	before := make([]counterCalls, len(groups))
	for n, g := range groups {
		before[n] = g.counterCalls()
	}
	loads.Wait()
	result := Result{Ready: ready.Quantiles(time.Second), Gateways: j.Gateways, SpanS: time.Since(measuredFrom).Seconds()}
	used := readUsage()
	result.CPUSeconds, result.PeakMB = (used.cpu - cpuBefore).Seconds(), used.peakMB
	stop()
	gatewaysRunning.Wait()
	for n, g := range groups {
		g.pendingClients.Wait() // the gateways have ended, so each has its answer
		after := g.counterCalls()
		g.result.Calls, g.result.CallsUnanswered = after.made-before[n].made, after.unanswered-before[n].unanswered
		g.result.Latency = g.latency.Quantiles(time.Millisecond)
		result.Groups = append(result.Groups, g.result)
		result.Requests += g.result.Tries
	}
	return result, ctx.Err()
}

// startGateways starts all gateways and waits for their lists.
func (h *jobRun) startGateways(ctx context.Context, running *sync.WaitGroup, ready *load.LatencyHistogram) error {
	failed := make(chan error, h.Gateways)
	var starting sync.WaitGroup
	starting.Add(h.Gateways)
	for n := range h.Gateways {
		running.Go(func() {
			listed := sync.OnceFunc(starting.Done)
			defer listed()
			if !ctxtime.Sleep(ctx, seconds(h.StartSpreadS*float64(n)/float64(h.Gateways))) {
				return
			}
			began := time.Now()
			g, err := gateway.NewHollow(h.gatewayConfig(h.First+n), fixedServiceTime(seconds(h.ServiceS)))
			if err != nil {
				failed <- err
				return
			}
			h.gateways[n] = g
			running.Go(func() { g.Run(ctx) })
			select {
			case <-g.Ready():
				ready.Record(time.Since(began))
			case <-ctx.Done():
			case <-time.After(seconds(h.StartSpreadS) + listTimeout):
				failed <- fmt.Errorf("gateway %d has no list", h.First+n)
			}
		})
	}
	starting.Wait()
	select {
	case err := <-failed:
		return err
	default:
		return ctx.Err()
	}
}

// gatewayConfig is that of the gateway with a number.
func (h *jobRun) gatewayConfig(rank int) *gateway.Config {
	c := &gateway.Config{Name: fmt.Sprintf("h-%05d", rank), Discovery: h.Discovery, Counter: h.Counter,
		Seed: rand.New(rand.NewPCG(h.Seed, uint64(rank)<<1|1)).Uint64(), Deployment: h.deployment}
	c.GatewayIndex, c.FleetSize = rank, h.Fleet
	return c
}

// loadTimeout is when the last request is over at the latest, since the load began.
func (h *jobRun) loadTimeout() time.Duration {
	most := 0.0
	for _, g := range h.Groups {
		most = max(most, h.deployment.Classes[g.Class].Deadline)
	}
	return seconds(h.WarmS+h.RunS+most+h.deployment.AnswerSlack) + drainMargin
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// resourceUsage are what the process has used since its start.
type resourceUsage struct {
	cpu    time.Duration
	peakMB float64
}

func readUsage() resourceUsage {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		panic(err) // it can't fail with these arguments
	}
	return resourceUsage{time.Duration(u.Utime.Nano() + u.Stime.Nano()), float64(u.Maxrss) / 1024}
}
