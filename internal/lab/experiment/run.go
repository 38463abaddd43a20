package experiment

import (
	"context"
	"errors"
	"log/slog"
	"strings"
	"time"

	"amberlb/internal/lab/pause"
	"amberlb/internal/lab/real"
)

const (
	class       = "lookup" // the settings' only one
	patience    = 2 * time.Second
	drainGrace  = 2 * time.Second
	settleTime  = time.Second      // after a gateway is ready, before the quiet is measured
	phaseMargin = 20 * time.Second // of a phase, beside the times that the file states
	stopGrace   = 5 * time.Second  // for a process of hollow gateways
	listPoll    = 20 * time.Millisecond
	sampleGap   = 250 * time.Millisecond
)

// Version is a version of the programs that are measured.
type Version struct {
	Name     string       // After or Before
	Gateway  real.Program // a real gateway
	Fleetlab string       // path of the program whose verb `hollow` holds hollow gateways
}

// longest is the time after which a phase is ended by force.
func (e *Experiment) longest() time.Duration {
	return seconds(e.Fleet.ReadyIn+e.QuietSeconds+e.WarmSeconds+e.Seconds+e.Restart.WithinS) + phaseMargin
}

// run measures one version: the real gateways first, then, with the machine to
// themselves, the hollow ones.
func (e *Experiment) run(ctx context.Context, v Version, log *slog.Logger) Run {
	r := Run{Version: v.Name, Figures: Figures{}, Groups: map[string]Figures{}}
	phase := func(name string, measure func(context.Context, Version, *Run, *slog.Logger) error) {
		if ctx.Err() != nil {
			r.Partial = append(r.Partial, name+": not begun: "+context.Cause(ctx).Error())
			return
		}
		ctx, cancel := context.WithTimeoutCause(ctx, e.longest(), errors.New("it took too long"))
		defer cancel()
		if err := measure(ctx, v, &r, log.With("version", v.Name, "phase", name)); err != nil {
			if cause := context.Cause(ctx); cause != nil {
				err = cause
			}
			r.Partial = append(r.Partial, name+": "+oneLine(err))
		}
	}
	if e.Fleet.Real > 0 {
		phase("real", e.runReal)
	}
	if e.hollow() > 0 {
		phase("hollow", e.runHollow)
	}
	return r
}

// sleep waits, or returns why ctx ended.
func sleep(ctx context.Context, d time.Duration) error {
	if !pause.For(ctx, d) {
		return context.Cause(ctx)
	}
	return nil
}

func oneLine(err error) string { return strings.Join(strings.Fields(err.Error()), " ") }
