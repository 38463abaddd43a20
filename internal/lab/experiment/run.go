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

const (
	class            = "lookup" // the settings' only one
	clientTimeout    = 2 * time.Second
	drainGrace       = 2 * time.Second
	settleTime       = time.Second      // after a gateway is ready, before the quiet is measured
	phaseMargin      = 20 * time.Second // of a phase, beside the times that the file states
	stopGrace        = 5 * time.Second  // for a process of hollow gateways
	listPollInterval = 20 * time.Millisecond
	sampleInterval   = 250 * time.Millisecond
)

// Version is a version of the programs that are measured.
type Version struct {
	Name     string                 // Candidate or Baseline
	Gateway  gatewayprocess.Program // a real gateway
	Fleetlab string                 // path of the program whose verb `hollow` holds hollow gateways
}

// phaseTimeout is the time after which a phase is ended by force.
func (e *Experiment) phaseTimeout() time.Duration {
	return seconds(e.Fleet.ReadyTimeoutS+e.IdleSeconds+e.WarmupSeconds+e.Seconds+e.Restart.StaggerS) + phaseMargin
}

// runVersion measures one version: the real gateways first, then, with the machine to
// themselves, the hollow ones.
func (e *Experiment) runVersion(ctx context.Context, v Version, log *slog.Logger) Run {
	r := Run{Version: v.Name, Metrics: Metrics{}, Groups: map[string]Metrics{}}
	phase := func(name string, measure func(context.Context, Version, *Run, *slog.Logger) error) {
		if ctx.Err() != nil {
			r.Partial = append(r.Partial, name+": not begun: "+context.Cause(ctx).Error())
			return
		}
		ctx, cancel := context.WithTimeoutCause(ctx, e.phaseTimeout(), errors.New("it took too long"))
		defer cancel()
		if err := measure(ctx, v, &r, log.With("version", v.Name, "phase", name)); err != nil {
			if cause := context.Cause(ctx); cause != nil {
				err = cause
			}
			r.Partial = append(r.Partial, name+": "+oneLine(err))
		}
	}
	if e.Fleet.GatewayProcesses > 0 {
		phase("real", e.measureProcesses)
	}
	if e.hollowGateways() > 0 {
		phase("hollow", e.measureHollow)
	}
	return r
}

// sleep waits, or returns why ctx ended.
func sleep(ctx context.Context, d time.Duration) error {
	if !ctxtime.Sleep(ctx, d) {
		return context.Cause(ctx)
	}
	return nil
}

func oneLine(err error) string { return strings.Join(strings.Fields(err.Error()), " ") }
