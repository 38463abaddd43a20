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
	listTimeout  = 3 * time.Minute // time limit for a gateway's first endpoint list, in addition to StartSpreadS
	answerMargin = 2 * time.Second // time that loadTimeout adds to the longest deadline and AnswerSlack
)

// fixedServiceTime simulates backends that serve every request in the same time.
type fixedServiceTime time.Duration

// Serve returns the service time and the outcome Served.
func (s fixedServiceTime) Serve(policy.BackendID) (time.Duration, policy.Outcome) {
	return time.Duration(s), policy.Served
}

// Run starts the gateways of a job. When all gateways have an endpoint list, it runs the load. It returns when all
// requests are answered or ctx ends. All gateways have stopped when Run returns. If ctx ends during the load, Run
// returns the error of ctx together with the results up to that time.
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

// measureLoad runs the load of all groups, and sets SpanS, CPUSeconds and PeakMB of result. For each group, it returns
// the number of calls to the counter that the group's gateways made before the end of the warm-up.
func (h *jobRun) measureLoad(ctx context.Context, groups []*groupLoad, result *Result) (callsBefore []counterCalls) {
	start := time.Now()
	// A gateway that hangs may never answer. After loadTimeout, Run stops the gateways, and the open requests fail.
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

// startGateways starts all gateways, adds their goroutines to running, and waits for their first endpoint lists. It
// records in ready the time that each gateway took.
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

// startGateway starts a gateway and waits for its first endpoint list. If ctx ends during the wait, it
// returns nil.
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
		return fmt.Errorf("gateway %d got no endpoint list in time", rank)
	}
	return nil
}

// gatewayConfig returns the configuration of the gateway with this rank.
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

// loadTimeout returns the time from the start of the load by which all requests should be answered.
func (h *jobRun) loadTimeout() time.Duration {
	longestDeadline := 0.0
	for _, g := range h.Groups {
		longestDeadline = max(longestDeadline, h.deployment.Classes[g.Class].Deadline)
	}
	return seconds(h.WarmS+h.RunS+longestDeadline+h.deployment.AnswerSlack) + answerMargin
}

// seconds converts seconds to a duration.
func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
