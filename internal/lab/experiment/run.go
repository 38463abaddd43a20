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

// phaseMargin is the time that a phase may take beside the times that the file states.
const phaseMargin = 20 * time.Second

// Version is a version of the programs that are measured.
type Version struct {
	Name     string                 // Candidate or Baseline
	Gateway  gatewayprocess.Program // starts a gateway process
	Fleetlab string                 // path of the program whose command `hollow` runs hollow gateways
}

// phase is one phase of a run under way: its gateways talk to stand-ins that no other phase uses.
type phase struct {
	experiment *Experiment
	version    Version
	standins   *standins
	run        *Run // takes what is measured
	log        *slog.Logger
}

// measureFunc measures the gateways of a phase.
type measureFunc func(*phase, context.Context) error

// errPhaseTimeout is the cause where a phase was ended by force.
var errPhaseTimeout = errors.New("it took too long")

// phaseTimeout is the time after which a phase is ended by force.
func (e *Experiment) phaseTimeout() time.Duration {
	return seconds(e.Fleet.ReadyTimeoutS+e.IdleSeconds+e.WarmupSeconds+e.Seconds+e.Restart.StaggerS) + phaseMargin
}

// runVersion measures one version: the gateway processes first, then, with the machine to themselves, the hollow
// gateways. A phase that failed is reported as partial.
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

// runPhase runs a phase and adds to the run what it measured, and why it is partial if it is.
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
		err = cause // what failed did so since the phase was ended
	}
	run.Partial = append(run.Partial, name+": "+oneLine(err))
}

// measureWithStandins starts the stand-ins for measure, and ends them when it returns.
func (p *phase) measureWithStandins(ctx context.Context, measure measureFunc) error {
	started, err := startStandins(ctx, p.experiment)
	if err != nil {
		return err
	}
	defer started.close()
	p.standins = started
	return measure(p, ctx)
}

// sleep waits, or returns why ctx ended.
func sleep(ctx context.Context, d time.Duration) error {
	if !ctxtime.Sleep(ctx, d) {
		return context.Cause(ctx)
	}
	return nil
}

// oneLine is the text of an error without its line breaks.
func oneLine(err error) string { return strings.Join(strings.Fields(err.Error()), " ") }
