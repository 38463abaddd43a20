package soak

import (
	"math/rand/v2"
	"syscall"
	"time"
)

// Plan is what a run plays. The same seed and length give the same plan.
type Plan struct {
	Seed              uint64
	Duration          time.Duration
	Gateways          int
	Backends          int
	HangingBackends   int // of the backends, while a gateway stops
	ClientsPerGateway int // clients at a time, for each gateway
	DescriptorLimit   int // descriptors that a gateway may use
	IdleConns         int // idle connections that are kept open at each gateway
	Classes           []Class
	ClientFaults      NetworkFaults // between clients and gateways
	BackendFaults     NetworkFaults // between gateways and backends
	Stops             []Stop
	Drains            []Drain
	Outages           []Outage // of discovery
}

// Drain takes a backend out of service and brings it back. It goes on answering all the while.
type Drain struct {
	Backend                  int
	DrainAt, GoneAt, ReadyAt time.Duration // it drains, leaves the list, and is ready again
}

// Outage is a time in which discovery is silent: connections to it come up, and nothing passes on them, then or later.
type Outage struct{ From, To time.Duration }

// Stop is one restart of a gateway: signals in series, SIGKILL at the earliest moment if the process hasn't ended, and
// a start soon after its end.
type Stop struct {
	Gateway      int
	At           time.Duration // SIGTERM
	Signals      []PlannedSignal
	FrontDelay   time.Duration // new connections come so long after SIGTERM
	RestartDelay time.Duration // from the end of the process to the next start
	KillOnly     bool          // it is SIGKILL alone, with no SIGTERM before
}

// PlannedSignal is one more signal of a stop. Two of them hold the process up.
type PlannedSignal struct {
	Offset time.Duration // since SIGTERM; below 0: before it
	Signal syscall.Signal
}

// longestDeadlines are the longest ones that plans draw from: far below and above what counts for a kill, and the
// incident's.
var longestDeadlines = []time.Duration{300 * time.Millisecond, 600 * time.Millisecond, 1200 * time.Millisecond,
	2412 * time.Millisecond, 3 * time.Second, 4500 * time.Millisecond}

const (
	firstStop              = 1500 * time.Millisecond // clients are at work by then
	endMargin              = 500 * time.Millisecond  // before the end of the run
	maxStall               = 150 * time.Millisecond  // a process is held up so long at most
	minFrontDelay          = 200 * time.Millisecond  // new connections come for this after SIGTERM at least
	maxFrontDelay          = 400 * time.Millisecond
	maxOutage              = 3 * time.Second
	crowdedDescriptorLimit = 192 // descriptors of a gateway with a crowd
	defaultDescriptorLimit = 1024
)

// NewPlan draws a plan.
func NewPlan(seed uint64, duration time.Duration) Plan {
	rng := rand.New(rand.NewPCG(seed, 0))
	longest := longestDeadlines[rng.IntN(len(longestDeadlines))]
	p := Plan{Seed: seed, Duration: duration, Gateways: 2 + rng.IntN(3), Backends: 6 + rng.IntN(5), ClientsPerGateway: 8 + rng.IntN(9),
		DescriptorLimit: defaultDescriptorLimit}
	p.HangingBackends = p.Backends/4 + rng.IntN(p.Backends/2)
	for _, idempotency := range []Idempotency{Idempotent, IdempotentByKey, NonIdempotent} {
		share := 0.4 + 0.6*rng.Float64()
		if idempotency == NonIdempotent || rng.IntN(3) == 0 {
			share = 1
		}
		p.Classes = append(p.Classes, Class{Name: string(idempotency), Idempotency: idempotency, Deadline: time.Duration(share * float64(longest))})
	}
	if rng.IntN(4) == 0 {
		p.DescriptorLimit = crowdedDescriptorLimit
		p.IdleConns = crowdedDescriptorLimit
	}
	if rng.IntN(2) == 0 {
		p.ClientFaults = NetworkFaults{MaxDelay: time.Duration(rng.Int64N(int64(10 * time.Millisecond))), SplitShare: 0.3 * rng.Float64()}
	}
	if rng.IntN(2) == 0 {
		p.BackendFaults = NetworkFaults{MaxDelay: time.Duration(rng.Int64N(int64(5 * time.Millisecond))), SplitShare: 0.3 * rng.Float64(),
			ResetShare: 0.2 * rng.Float64(), MaxResetDelay: 5 * time.Second}
	}
	p.Drains = newDrains(rng, p.Backends, duration)
	if rng.IntN(3) == 0 && duration > 4*maxOutage {
		from := randomDuration(rng, firstStop, duration-2*maxOutage)
		p.Outages = append(p.Outages, Outage{From: from, To: from + randomDuration(rng, time.Second, maxOutage)})
	}
	stopInterval := KillAfter(p.Classes) + time.Second // the next gateway's stop may begin before the last one's end
	for at, n := firstStop, 0; at < duration-KillAfter(p.Classes)-endMargin; n++ {
		p.Stops = append(p.Stops, newStop(rng, n%p.Gateways, at))
		at += stopInterval/2 + time.Duration(rng.Int64N(int64(stopInterval/2)))
	}
	return p
}

// newDrains draws which backends drain and when, most of them never, and no two at a time.
func newDrains(rng *rand.Rand, backends int, duration time.Duration) (all []Drain) {
	if rng.IntN(2) == 0 {
		return nil
	}
	for at := firstStop; ; {
		d := Drain{Backend: rng.IntN(backends), DrainAt: at + randomDuration(rng, 0, time.Second)}
		d.GoneAt = d.DrainAt + randomDuration(rng, time.Second, 4*time.Second)
		d.ReadyAt = d.GoneAt + randomDuration(rng, 0, time.Second)
		if d.ReadyAt > duration-endMargin {
			return all
		}
		all = append(all, d)
		at = d.ReadyAt
	}
}

// newStop draws the signals of a stop.
func newStop(rng *rand.Rand, gateway int, at time.Duration) Stop {
	s := Stop{Gateway: gateway, At: at, RestartDelay: randomDuration(rng, 100*time.Millisecond, 400*time.Millisecond),
		FrontDelay: randomDuration(rng, minFrontDelay, maxFrontDelay)}
	if rng.IntN(8) == 0 {
		s.KillOnly = true
		return s
	}
	add := func(after time.Duration, signal syscall.Signal) {
		s.Signals = append(s.Signals, PlannedSignal{Offset: after, Signal: signal})
	}
	if rng.IntN(2) == 0 {
		add(-randomDuration(rng, 0, time.Second), syscall.SIGHUP)
	}
	if rng.IntN(3) == 0 {
		add(randomDuration(rng, 0, time.Second), syscall.SIGHUP)
	}
	if rng.IntN(3) == 0 {
		add(randomDuration(rng, 0, time.Second), syscall.SIGTERM)
	}
	if rng.IntN(3) == 0 {
		stall := randomDuration(rng, 0, 2*time.Second)
		add(stall, syscall.SIGSTOP)
		add(stall+randomDuration(rng, 0, maxStall), syscall.SIGCONT)
	}
	return s
}

// randomDuration draws a time between two others.
func randomDuration(rng *rand.Rand, low, high time.Duration) time.Duration {
	return low + time.Duration(rng.Int64N(int64(high-low)))
}
