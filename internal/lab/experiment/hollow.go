package experiment

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"time"

	"amberlb/internal/lab/proc"
)

const (
	hollowStopGrace  = 5 * time.Second // time from SIGTERM to SIGKILL for a process of hollow gateways
	listPollInterval = 20 * time.Millisecond
	sampleInterval   = 250 * time.Millisecond
)

// errListTimeout is returned if not all hollow gateways got their endpoint list in time.
var errListTimeout = errors.New("not all hollow gateways got an endpoint list in time")

// measureHollow measures the hollow gateways and the requests of the groups.
func (p *phase) measureHollow(ctx context.Context) error {
	e := p.experiment
	p.log.Info("starting hollow gateways", "gateways", e.hollowGateways(), "groups", len(e.Groups))
	start := p.standins.sample()
	children, err := p.startHollowProcesses(ctx)
	defer func() {
		for _, child := range children {
			child.Stop(hollowStopGrace) // stops a process that still runs after an error
		}
	}()
	if err != nil {
		return err
	}
	exited := allExited(children)
	if err := p.measureLists(ctx, start, exited); err != nil {
		return err
	}
	defer p.standins.startChurn(ctx, e.Churn.ReplacementsPerSecond)()
	samples, err := p.standins.sampleUntil(ctx, exited)
	if err != nil {
		return err
	}
	measuredSeconds, err := p.collectResults(children)
	if err != nil {
		return err
	}
	if len(e.Groups) > 0 {
		e.recordControlMetrics(samples, measuredSeconds, p.run.Metrics)
	}
	last := samples[len(samples)-1]
	p.run.Metrics["hollow_lists"] = float64(last.discovery.FullLists)
	p.run.Metrics["hollow_counter_calls"] = float64(last.counter.Calls)
	return nil
}

// startHollowProcesses starts the processes of the hollow gateways. If a process fails to start,
// startHollowProcesses returns the error together with the processes that were already started.
func (p *phase) startHollowProcesses(ctx context.Context) ([]*proc.Process, error) {
	var children []*proc.Process
	for _, job := range p.experiment.hollowJobs() {
		text, err := p.experiment.encodeJob(job, p.standins)
		if err != nil {
			return children, err
		}
		child, err := proc.Start(ctx, p.version.Fleetlab, nil, bytes.NewReader(text), "hollow")
		if err != nil {
			return children, fmt.Errorf("hollow gateways: %w", err)
		}
		children = append(children, child)
	}
	return children, nil
}

// allExited returns a channel that is closed when all processes have exited.
func allExited(children []*proc.Process) <-chan struct{} {
	exited := make(chan struct{})
	go func() {
		defer close(exited)
		for _, child := range children {
			<-child.Done()
		}
	}()
	return exited
}

// measureLists waits until discovery has sent as many full lists as there are hollow gateways, or exited is closed. It
// records the rate of full lists and the traffic of discovery. The sample start was taken before the gateways were
// started.
func (p *phase) measureLists(ctx context.Context, start sample, exited <-chan struct{}) error {
	e := p.experiment
	timeout := seconds(e.Fleet.ReadyTimeoutS + e.Restart.StaggerS)
	listed, err := p.standins.awaitLists(ctx, e.hollowGateways(), timeout, exited)
	if err != nil {
		return err
	}
	tookSeconds := listed.at.Sub(start.at).Seconds()
	p.run.Metrics["hollow_lists_per_s"] = float64(listed.discovery.FullLists) / tookSeconds
	p.run.Metrics["hollow_list_bytes"] = float64(listed.discovery.Traffic.Bytes())
	p.log.Info("endpoint lists sent", "seconds", tookSeconds)
	return nil
}

// awaitLists waits until discovery has sent count full lists or exited is closed, and returns a sample taken at that
// time. It returns errListTimeout if the timeout passes first.
func (s *standins) awaitLists(
	ctx context.Context, count int, timeout time.Duration, exited <-chan struct{},
) (sample, error) {
	deadline := time.After(timeout)
	for {
		if now := s.sample(); now.discovery.FullLists >= uint64(count) {
			return now, nil
		}
		select {
		case <-ctx.Done():
			return sample{}, context.Cause(ctx)
		case <-deadline:
			return sample{}, errListTimeout
		case <-exited:
			return s.sample(), nil // collectResults returns an error if a process failed
		case <-time.After(listPollInterval):
		}
	}
}

// sampleUntil samples the stand-ins every sampleInterval until done is closed. It takes the last sample after done is
// closed. If ctx ends first, it returns the cancellation cause of ctx.
func (s *standins) sampleUntil(ctx context.Context, done <-chan struct{}) ([]sample, error) {
	var samples []sample
	for {
		select {
		case <-done:
			return append(samples, s.sample()), nil
		case <-ctx.Done():
			return nil, context.Cause(ctx)
		case <-time.After(sampleInterval):
			samples = append(samples, s.sample())
		}
	}
}
