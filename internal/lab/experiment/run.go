package experiment

import (
	"context"
	"errors"
	"log/slog"
	"strings"
	"time"

	"amberlb/internal/lab/ctxtime"
	"amberlb/internal/lab/gatewayprocess"
)

// phaseMargin is the time that a phase may take in addition to the times in the experiment file.
const phaseMargin = 20 * time.Second

// Version is a version of the measured programs.
type Version struct {
	Name     string                 // Candidate or Baseline
	Gateway  gatewayprocess.Program // how to start a gateway process
	Fleetlab string                 // path of the fleetlab program, whose command `hollow` runs hollow gateways
}

// phase is the part of a run that measures either the gateway processes or the hollow gateways. Each phase has its own
// stand-ins.
type phase struct {
	experiment *Experiment
	version    Version
	standins   *standins
	run        *Run // run to which the phase adds its metrics
	log        *slog.Logger
}

// measureFunc measures the gateways of a phase.
type measureFunc func(*phase, context.Context) error

// errPhaseTimeout is the cancellation cause of a phase that exceeds phaseTimeout.
var errPhaseTimeout = errors.New("the phase took too long")

// phaseTimeout returns the time after which a phase is cancelled.
func (e *Experiment) phaseTimeout() time.Duration {
	return seconds(e.Fleet.ReadyTimeoutS+e.IdleSeconds+e.WarmupSeconds+e.Seconds+e.Restart.StaggerS) + phaseMargin
}

// runVersion measures one version. The gateway processes and the hollow gateways are measured one after the other, so
// that they don't compete for the machine. If a phase fails, the run is partial.
func (e *Experiment) runVersion(ctx context.Context, v Version, log *slog.Logger) Run {
	run := Run{Version: v.Name, Metrics: Metrics{}, Groups: map[string]Metrics{}}
	if e.Fleet.GatewayProcesses > 0 {
		e.runPhase(ctx, "real", (*phase).measureProcesses, v, &run, log)
	}
	if e.hollowGateways() > 0 {
		e.runPhase(ctx, "hollow", (*phase).measureHollow, v, &run, log)
	}
	return run
}

// runPhase runs a phase and adds its metrics to the run. If the phase fails, runPhase adds the reason to
// run.Partial.
func (e *Experiment) runPhase(
	ctx context.Context, name string, measure measureFunc, version Version, run *Run, log *slog.Logger,
) {
	if ctx.Err() != nil {
		run.Partial = append(run.Partial, name+": not begun: "+context.Cause(ctx).Error())
		return
	}
	ctx, cancel := context.WithTimeoutCause(ctx, e.phaseTimeout(), errPhaseTimeout)
	defer cancel()
	p := &phase{experiment: e, version: version, run: run, log: log.With("version", version.Name, "phase", name)}
	err := p.measureWithStandins(ctx, measure)
	if err == nil {
		return
	}
	if cause := context.Cause(ctx); cause != nil {
		err = cause // the error is a consequence of the cancellation
	}
	run.Partial = append(run.Partial, name+": "+oneLine(err))
}

// measureWithStandins starts the stand-ins, calls measure, and closes the stand-ins.
func (p *phase) measureWithStandins(ctx context.Context, measure measureFunc) error {
	started, err := startStandins(ctx, p.experiment)
	if err != nil {
		return err
	}
	defer started.close()
	p.standins = started
	return measure(p, ctx)
}

// sleep waits for d. If ctx ends during the wait, sleep returns the cancellation cause of ctx.
func sleep(ctx context.Context, d time.Duration) error {
	if !ctxtime.Sleep(ctx, d) {
		return context.Cause(ctx)
	}
	return nil
}

// oneLine returns the text of an error, with line breaks and other white space replaced by single blanks.
func oneLine(err error) string { return strings.Join(strings.Fields(err.Error()), " ") }
