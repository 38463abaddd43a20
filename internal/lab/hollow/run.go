package hollow

import (
	"context"
	"fmt"
	"math/rand/v2"
	"runtime/debug"
	"sync"
	"time"

	"amberlb/internal/gateway"
	"amberlb/internal/lab/ctxtime"
	"amberlb/internal/lab/load"
	"amberlb/policy"
)

const (
	listTimeout  = 3 * time.Minute // for a gateway's first list, after the last gateway's start
	answerMargin = 2 * time.Second // for the last answers, after the longest deadline
)

// fixedServiceTime is the backend of all hollow gateways. It serves each request in the same time.
type fixedServiceTime time.Duration

// Serve returns the service time of a request, which is always served.
func (s fixedServiceTime) Serve(policy.BackendID) (time.Duration, policy.Outcome) {
	return time.Duration(s), policy.Served
}

// Run runs the gateways of a job until its load is over and answered, or until ctx ends; all gateways have ended when
// it returns. The load begins once all gateways have their list. Where ctx ends during the load, the result tells what
// was done by then, and the error is ctx's.
func Run(ctx context.Context, job Job) (Result, error) {
	h, err := newJobRun(job)
	if err != nil {
		return Result{}, fmt.Errorf("job: %w", err)
	}
	if job.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(job.MemoryMB) << 20)
	}
	gatewaysCtx, stopGateways := context.WithCancel(ctx)
	var gatewaysRunning sync.WaitGroup
	defer gatewaysRunning.Wait()
	defer stopGateways()
	var ready load.LatencyHistogram
	if err := h.startGateways(gatewaysCtx, &gatewaysRunning, &ready); err != nil {
		return Result{}, err
	}
	groups := h.newGroupLoads()
	result := Result{Ready: ready.Quantiles(time.Second), Gateways: job.Gateways}
	callsBefore := h.measureLoad(gatewaysCtx, groups, &result)
	stopGateways()
	gatewaysRunning.Wait()
	for i, g := range groups {
		groupResult := g.finish(callsBefore[i])
		result.Groups = append(result.Groups, groupResult)
		result.Requests += groupResult.Tries
	}
	return result, ctx.Err()
}

// measureLoad runs the load of all groups, and records in the result what the process used after the warm-up. It returns
// the calls to the counter that each group's gateways had made by the end of the warm-up.
func (h *jobRun) measureLoad(ctx context.Context, groups []*groupLoad, result *Result) (callsBefore []counterCalls) {
	start := time.Now()
	// A gateway that hangs may never answer; its open requests fail when it is ended.
	loadCtx, cancel := context.WithDeadline(ctx, start.Add(h.loadTimeout()))
	defer cancel()
	var loads sync.WaitGroup
	for _, g := range groups {
		loads.Go(func() { g.runLoad(loadCtx, start) })
	}
	ctxtime.Sleep(ctx, seconds(h.WarmS))
	measuredFrom := time.Now()
	usedBefore := readUsage()
	for _, g := range groups {
		callsBefore = append(callsBefore, g.counterCalls())
	}
	loads.Wait()
	result.SpanS = time.Since(measuredFrom).Seconds()
	used := readUsage()
	result.CPUSeconds = (used.cpu - usedBefore.cpu).Seconds()
	result.PeakMB = used.peakMB
	return callsBefore
}

// startGateways starts all gateways, on goroutines that running counts, and waits for their lists. It records how long
// each took to be ready.
func (h *jobRun) startGateways(ctx context.Context, running *sync.WaitGroup, ready *load.LatencyHistogram) error {
	failed := make(chan error, h.Gateways)
	var starting sync.WaitGroup
	starting.Add(h.Gateways)
	for index := range h.Gateways {
		running.Go(func() {
			defer starting.Done()
			if !ctxtime.Sleep(ctx, seconds(h.StartSpreadS*float64(index)/float64(h.Gateways))) {
				return
			}
			if err := h.startGateway(ctx, index, running, ready); err != nil {
				failed <- err
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

// startGateway starts a gateway and waits for its list. It returns nil also where ctx ends before.
func (h *jobRun) startGateway(
	ctx context.Context, index int, running *sync.WaitGroup, ready *load.LatencyHistogram,
) error {
	startedAt := time.Now()
	rank := h.First + index
	g, err := gateway.NewHollow(h.gatewayConfig(rank), fixedServiceTime(seconds(h.ServiceS)))
	if err != nil {
		return err
	}
	h.gateways[index] = g
	running.Go(func() { g.Run(ctx) })
	select {
	case <-g.Ready():
		ready.Record(time.Since(startedAt))
	case <-ctx.Done():
	case <-time.After(seconds(h.StartSpreadS) + listTimeout):
		return fmt.Errorf("gateway %d has no list", rank)
	}
	return nil
}

// gatewayConfig is that of the gateway of a rank.
func (h *jobRun) gatewayConfig(rank int) *gateway.Config {
	rng := rand.New(rand.NewPCG(h.Seed, uint64(rank)<<1|1))
	config := &gateway.Config{
		Name:       fmt.Sprintf("h-%05d", rank),
		Discovery:  h.Discovery,
		Counter:    h.Counter,
		Seed:       rng.Uint64(),
		Deployment: h.deployment,
	}
	config.GatewayIndex = rank
	config.FleetSize = h.Fleet
	return config
}

// loadTimeout is the time from the start of the load by which the last request is over.
func (h *jobRun) loadTimeout() time.Duration {
	longestDeadline := 0.0
	for _, g := range h.Groups {
		longestDeadline = max(longestDeadline, h.deployment.Classes[g.Class].Deadline)
	}
	return seconds(h.WarmS+h.RunS+longestDeadline+h.deployment.AnswerSlack) + answerMargin
}

// seconds converts seconds.
func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
