package soak

import (
	"math/rand/v2"
	"syscall"
	"time"
)

// Plan is what a run plays. Times in it count from the start of the run. The same seed and duration give the same plan.
type Plan struct {
	Seed              uint64
	Duration          time.Duration
	Gateways          int
	Backends          int
	HangingBackends   int // number of the backends that hang while a gateway stops
	ClientsPerGateway int // concurrent clients for each gateway
	DescriptorLimit   int // file descriptors that a gateway may use
	IdleConns         int // idle connections that are kept open at each gateway
	Classes           []Class
	ClientFaults      NetworkFaults // between clients and gateways
	BackendFaults     NetworkFaults // between gateways and backends
	Stops             []Stop        // by time
	Drains            []Drain       // by time
	Outages           []Outage      // of discovery, by time
}

// Drain takes a backend out of service and brings it back. The backend goes on answering all the while.
type Drain struct {
	Backend   int           // number
	DrainAt   time.Duration // when the list says that it drains
	RemovedAt time.Duration // when it is removed from the list
	ReadyAt   time.Duration // when it is back in the list
}

// Outage is a time in which discovery is silent: connections to it are accepted, but nothing is forwarded on them, then
// or later.
type Outage struct{ From, To time.Duration }

// Stop is one restart of a gateway: a series of signals, SIGKILL at the earliest moment if the process has not ended,
// and a start soon after its end.
type Stop struct {
	Gateway            int             // number
	At                 time.Duration   // of SIGTERM
	Signals            []PlannedSignal // beside that SIGTERM
	OutOfRotationDelay time.Duration   // from SIGTERM until clients open no new connections to the gateway
	RestartDelay       time.Duration   // from the end of the process to the next start
	HardKill           bool            // the process gets SIGKILL alone, with no SIGTERM before
}

// PlannedSignal is one more signal of a stop. SIGSTOP and SIGCONT as a pair pause the process.
type PlannedSignal struct {
	Offset time.Duration // since SIGTERM; below 0: before it
	Signal syscall.Signal
}

// longestDeadlines are those that plans draw from: some far below and above what counts for a SIGKILL, and that of an
// incident.
var longestDeadlines = []time.Duration{
	300 * time.Millisecond,
	600 * time.Millisecond,
	1200 * time.Millisecond,
	2412 * time.Millisecond, // the incident's
	3 * time.Second,
	4500 * time.Millisecond,
}

const (
	earliestFault = 1500 * time.Millisecond // clients are at work by then
	endMargin     = 500 * time.Millisecond  // from the last fault to the end of the run

	maxPause              = 150 * time.Millisecond // of a process, by SIGSTOP
	minOutOfRotationDelay = 200 * time.Millisecond
	maxOutOfRotationDelay = 400 * time.Millisecond
	maxOutage             = 3 * time.Second

	lowDescriptorLimit     = 192 // file descriptors of a gateway with as many idle connections
	defaultDescriptorLimit = 1024
)

// NewPlan draws a plan. The order of the draws is part of what a seed means: a change of it makes every seed another.
func NewPlan(seed uint64, duration time.Duration) Plan {
	rng := rand.New(rand.NewPCG(seed, 0))
	longestDeadline := longestDeadlines[rng.IntN(len(longestDeadlines))]
	p := Plan{
		Seed:              seed,
		Duration:          duration,
		Gateways:          2 + rng.IntN(3),
		Backends:          6 + rng.IntN(5),
		ClientsPerGateway: 8 + rng.IntN(9),
		DescriptorLimit:   defaultDescriptorLimit,
	}
	p.HangingBackends = p.Backends/4 + rng.IntN(p.Backends/2)
	p.Classes = newClasses(rng, longestDeadline)
	if rng.IntN(4) == 0 {
		p.DescriptorLimit = lowDescriptorLimit
		p.IdleConns = lowDescriptorLimit
	}
	p.ClientFaults = newClientFaults(rng)
	p.BackendFaults = newBackendFaults(rng)
	p.Drains = newDrains(rng, p.Backends, duration)
	p.Outages = newOutages(rng, duration)
	p.Stops = newStops(rng, p.Gateways, KillAfter(p.Classes), duration)
	return p
}

// newClasses draws a class of each kind of idempotency. At least one has the longest deadline.
func newClasses(rng *rand.Rand, longestDeadline time.Duration) []Class {
	var classes []Class
	for _, idempotency := range []Idempotency{Idempotent, IdempotentByKey, NonIdempotent} {
		share := 0.4 + 0.6*rng.Float64()
		if idempotency == NonIdempotent || rng.IntN(3) == 0 {
			share = 1
		}
		classes = append(classes, Class{
			Name:        string(idempotency),
			Idempotency: idempotency,
			Deadline:    time.Duration(share * float64(longestDeadline)),
		})
	}
	return classes
}

// newClientFaults draws the faults between clients and gateways.
func newClientFaults(rng *rand.Rand) NetworkFaults {
	if rng.IntN(2) != 0 {
		return NetworkFaults{}
	}
	return NetworkFaults{
		MaxDelay:   randomDuration(rng, 0, 10*time.Millisecond),
		SplitShare: 0.3 * rng.Float64(),
	}
}

// newBackendFaults draws the faults between gateways and backends.
func newBackendFaults(rng *rand.Rand) NetworkFaults {
	if rng.IntN(2) != 0 {
		return NetworkFaults{}
	}
	return NetworkFaults{
		MaxDelay:      randomDuration(rng, 0, 5*time.Millisecond),
		SplitShare:    0.3 * rng.Float64(),
		ResetShare:    0.2 * rng.Float64(),
		MaxResetDelay: 5 * time.Second,
	}
}

// newDrains draws which backends drain and when. Most never do, and no two at a time.
func newDrains(rng *rand.Rand, backends int, duration time.Duration) []Drain {
	if rng.IntN(2) == 0 {
		return nil
	}
	var drains []Drain
	earliest := earliestFault
	for {
		drain := Drain{Backend: rng.IntN(backends), DrainAt: earliest + randomDuration(rng, 0, time.Second)}
		drain.RemovedAt = drain.DrainAt + randomDuration(rng, time.Second, 4*time.Second)
		drain.ReadyAt = drain.RemovedAt + randomDuration(rng, 0, time.Second)
		if drain.ReadyAt > duration-endMargin {
			return drains
		}
		drains = append(drains, drain)
		earliest = drain.ReadyAt
	}
}

// newOutages draws at most one outage of discovery, and none in a short run.
func newOutages(rng *rand.Rand, duration time.Duration) []Outage {
	if rng.IntN(3) != 0 || duration <= 4*maxOutage {
		return nil
	}
	from := randomDuration(rng, earliestFault, duration-2*maxOutage)
	return []Outage{{From: from, To: from + randomDuration(rng, time.Second, maxOutage)}}
}

// newStops draws the stops of all gateways in turn. The next gateway's stop may begin before the last one's end.
func newStops(rng *rand.Rand, gateways int, killAfter, duration time.Duration) []Stop {
	maxInterval := killAfter + time.Second
	var stops []Stop
	for at := earliestFault; at < duration-killAfter-endMargin; {
		stops = append(stops, newStop(rng, len(stops)%gateways, at))
		at += maxInterval/2 + randomDuration(rng, 0, maxInterval/2)
	}
	return stops
}

// newStop draws the signals of a stop.
func newStop(rng *rand.Rand, gateway int, at time.Duration) Stop {
	s := Stop{
		Gateway:            gateway,
		At:                 at,
		RestartDelay:       randomDuration(rng, 100*time.Millisecond, 400*time.Millisecond),
		OutOfRotationDelay: randomDuration(rng, minOutOfRotationDelay, maxOutOfRotationDelay),
	}
	if rng.IntN(8) == 0 {
		s.HardKill = true
		return s
	}
	add := func(offset time.Duration, signal syscall.Signal) {
		s.Signals = append(s.Signals, PlannedSignal{Offset: offset, Signal: signal})
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
		pauseAt := randomDuration(rng, 0, 2*time.Second)
		add(pauseAt, syscall.SIGSTOP)
		add(pauseAt+randomDuration(rng, 0, maxPause), syscall.SIGCONT)
	}
	return s
}

// randomDuration draws a time from low up to high, which is above low.
func randomDuration(rng *rand.Rand, low, high time.Duration) time.Duration {
	return low + time.Duration(rng.Int64N(int64(high-low)))
}
