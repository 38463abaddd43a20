package soak

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"syscall"
	"time"

	"amberlb/internal/lab/ctxtime"
)

// stopLead is the time from the start of the handling of a stop to Stop.At. A plan may send other signals at most
// stopLead before SIGTERM.
const stopLead = time.Second

// runStops carries out the planned stops of one gateway, each with the restart after it.
func (r *runner) runStops(ctx context.Context, n *gatewayNode) {
	for _, stop := range r.plan.Stops {
		if stop.Gateway != n.number {
			continue
		}
		if !r.sleepUntil(ctx, stop.At-stopLead) {
			return
		}
		r.stopProcess(n, stop)
		if !ctxtime.Sleep(ctx, stop.RestartDelay) {
			return
		}
		if err := r.startProcess(ctx, n); err != nil && ctx.Err() == nil {
			r.options.Log.Error("gateway failed to start", "gateway", n.number, "error", err)
		}
		if n.process == nil {
			return
		}
	}
}

// stopProcess carries out a stop and returns once the process has ended. Unless the stop is a hard kill, it sends the
// signals of the stop. If the process is still running when the SIGKILL is due, it also sends the SIGKILL.
func (r *runner) stopProcess(n *gatewayNode, stop Stop) {
	if stop.HardKill {
		r.hardKillProcess(n, stop)
		return
	}
	rotationTimer := time.AfterFunc(time.Until(r.clock.At(stop.At+stop.OutOfRotationDelay)), func() {
		n.setInRotation(false)
	})
	defer rotationTimer.Stop()
	killAt := r.sendSignals(n, stop)
	if r.waitUntil(n, killAt) {
		n.current.SigkillAt = r.clock.Now()
		n.process.Signal(syscall.SIGKILL)
	}
	n.setInRotation(false)
	r.recordEnd(n)
}

// timedSignal is a signal with the time at which to send it.
type timedSignal struct {
	at     time.Duration
	signal syscall.Signal
}

// timedSignals returns the signals of a stop in the order of their times, including SIGTERM.
func (s Stop) timedSignals() []timedSignal {
	signals := []timedSignal{{s.At, syscall.SIGTERM}}
	for _, planned := range s.Signals {
		signals = append(signals, timedSignal{s.At + planned.Offset, planned.Signal})
	}
	slices.SortStableFunc(signals, func(a, b timedSignal) int { return cmp.Compare(a.at, b.at) })
	return signals
}

// sendSignals sends the signals of a stop that are due before the SIGKILL, until the process ends. The result killAt is
// the time at which the SIGKILL is due: KillAfter after the first SIGTERM was actually sent.
func (r *runner) sendSignals(n *gatewayNode, stop Stop) (killAt time.Duration) {
	killAfter := KillAfter(r.plan.Classes)
	killAt = stop.At + killAfter
	for _, timed := range stop.timedSignals() {
		if timed.at >= killAt {
			continue
		}
		if !r.waitUntil(n, timed.at) {
			break
		}
		if timed.signal == syscall.SIGTERM && n.current.SigtermAt == 0 {
			n.current.SigtermAt = r.clock.Now()
			killAt = n.current.SigtermAt + killAfter
		}
		n.current.signals = append(n.current.signals, signalRecord{At: r.clock.Now(), Name: timed.signal.String()})
		n.process.Signal(timed.signal)
	}
	return killAt
}

// hardKillProcess ends a process by a hard kill. Clients keep connecting to it for the stop's OutOfRotationDelay.
func (r *runner) hardKillProcess(n *gatewayNode, stop Stop) {
	r.waitUntil(n, stop.At)
	n.setHardKilled()
	n.current.hardKilled = true
	n.current.SigkillAt = r.clock.Now()
	n.process.Signal(syscall.SIGKILL)
	time.Sleep(stop.OutOfRotationDelay)
	n.setInRotation(false)
	r.recordEnd(n)
}

// stopRemaining stops the processes that are still running at the end of the run.
func (r *runner) stopRemaining() {
	var stopping sync.WaitGroup
	for _, n := range r.gateways {
		if n.process != nil {
			stopping.Go(func() { r.stopProcess(n, Stop{At: r.clock.Now()}) })
		}
	}
	stopping.Wait()
}

// waitUntil waits until a time on the run's clock. It returns false if the gateway's process ends before that time.
func (r *runner) waitUntil(n *gatewayNode, at time.Duration) bool {
	select {
	case <-n.process.Done():
		return false
	case <-time.After(time.Until(r.clock.At(at))):
		return true
	}
}

// sleepUntil waits until a time on the run's clock. It returns false if ctx ends before that time.
func (r *runner) sleepUntil(ctx context.Context, at time.Duration) bool {
	return ctxtime.Sleep(ctx, time.Until(r.clock.At(at)))
}
