package soak

import (
	"math/rand/v2"
	"syscall"
	"time"

	"amberlb/internal/lab/hostile"
)

// Plan defines one run of the soak: its gateways, backends and clients, and the faults with their times. Times count
// from the start of the run. The same seed and duration give the same plan. A Plan is unrelated to the plans of
// customers.
type Plan struct {
	Seed              uint64
	Duration          time.Duration
	Gateways          int
	Backends          int
	HangingBackends   int             // number of backends that hang while a gateway stops
	ClientsPerGateway int             // number of concurrent clients for each gateway
	DescriptorLimit   int             // limit of open file descriptors of a gateway
	MemoryMB          int             // memory limit of a gateway, MiB
	IdleConns         int             // number of idle connections held open to each gateway
	BadClients        int             // number of clients for each gateway that send incomplete requests
	Crowds            []hostile.Crowd // hostile clients of each gateway
	Classes           []Class
	ClientFaults      NetworkFaults // faults between clients and gateways
	BackendFaults     NetworkFaults // faults between gateways and backends
	Stops             []Stop        // sorted by time
	Drains            []Drain       // sorted by time
	Outages           []Outage      // outages of discovery, sorted by time
	SlowDiscovery     SlowDiscovery
}

// SlowDiscovery makes responses of discovery slow. The zero value makes none slow.
type SlowDiscovery struct {
	From         time.Duration // time at which discovery becomes slow
	ResponseTime time.Duration // time that a slow response takes, not counting the wait of a watch
	Interval     int           // every Interval-th response is slow; 1: every response
}

// Drain takes a backend out of service and brings it back. The backend keeps responding to requests all the time.
type Drain struct {
	Backend   int           // number of the backend
	DrainAt   time.Duration // time at which the backend is listed as draining
	RemovedAt time.Duration // time at which the backend is removed from the list
	ReadyAt   time.Duration // time at which the backend is added to the list again
}

// Outage is a time during which discovery does not respond. Connections to discovery are accepted during an outage, but
// nothing is forwarded on them, not even after the outage.
type Outage struct{ From, To time.Duration }

// Stop is one restart of a gateway. The gateway's process gets SIGTERM and the planned signals. If it is still running
// at the earliest time that the protocol allows for SIGKILL (see KillAfter), it gets SIGKILL. A new process is started
// RestartDelay after the end of the old process. In a hard kill, the process gets SIGKILL only, and the requests that it
// has received need no responses.
type Stop struct {
	Gateway            int             // number of the gateway
	At                 time.Duration   // time of SIGTERM or, in a hard kill, of SIGKILL
	Signals            []PlannedSignal // signals in addition to SIGTERM
	OutOfRotationDelay time.Duration   // time after At during which clients may still open connections to the gateway
	RestartDelay       time.Duration   // time from the end of the process to the start of the new process
	HardKill           bool            // end the process by a hard kill
}

// PlannedSignal is a signal that is sent during a stop in addition to the first SIGTERM. A pair of SIGSTOP and SIGCONT
// pauses the process.
type PlannedSignal struct {
	Offset time.Duration // time after SIGTERM; negative: before SIGTERM
	Signal syscall.Signal
}

// longestDeadlines are the values from which a plan's longest class deadline is chosen. They include deadlines far below
// maxCountedDeadline, a deadline equal to maxCountedDeadline, a longer deadline, and the deadline of the incident that
// TestShutdownAnswersAdmittedRequests in cmd/amberlb describes.
var longestDeadlines = []time.Duration{
	300 * time.Millisecond,
	600 * time.Millisecond,
	1200 * time.Millisecond,
	2412 * time.Millisecond, // deadline of the incident
	3 * time.Second,
	4500 * time.Millisecond,
}

const (
	earliestFault = 1500 * time.Millisecond // time of the earliest fault; clients are sending requests by then
	endMargin     = 500 * time.Millisecond  // shortest time from the last fault to the end of the run

	maxPause              = 150 * time.Millisecond // longest pause of a process, between SIGSTOP and SIGCONT
	minOutOfRotationDelay = 200 * time.Millisecond
	maxOutOfRotationDelay = 400 * time.Millisecond
	maxOutage             = 3 * time.Second
	minSlowResponse       = 300 * time.Millisecond
	maxSlowResponse       = 2 * time.Second // longest response with which changes still arrive within maxNotifyDelay
	slowDiscoveryStream   = 2               // number of the random number generator of addSlowDiscovery

	lowDescriptorLimit     = 192 // DescriptorLimit and IdleConns of some plans; idle connections use up the descriptors
	defaultDescriptorLimit = 1024

	lowMemoryMB     = 32 // memory limit of plans with bad clients
	defaultMemoryMB = 192
)

// NewPlan generates a random plan from a seed. The order of the calls to the random number generator must not change,
// since a change would give every seed another plan.
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
		MemoryMB:          defaultMemoryMB,
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
	if rng.IntN(4) == 0 && p.IdleConns == 0 {
		p.MemoryMB = lowMemoryMB
		p.BadClients = lowMemoryMB * 4 // the requests of a fifth of them fit in the memory for requests
	}
	p.addSlowDiscovery()
	return p
}

// addSlowDiscovery makes discovery slow in one plan of three. In such a plan, one backend drains to the end of the run,
// since gateways may take maxNotifyDelay and drainGrace to stop sending to it. The function has a random number
// generator of its own, so that the rest of the plan is the same as without it.
func (p *Plan) addSlowDiscovery() {
	rng := rand.New(rand.NewPCG(p.Seed, slowDiscoveryStream))
	if rng.IntN(3) != 0 {
		return
	}
	p.SlowDiscovery = SlowDiscovery{
		From:         earliestFault,
		ResponseTime: randomDuration(rng, minSlowResponse, maxSlowResponse),
		Interval:     1 + 2*rng.IntN(2),
	}
	p.Drains = []Drain{{
		Backend:   rng.IntN(p.Backends),
		DrainAt:   earliestFault + maxSlowResponse,
		RemovedAt: p.Duration,
		ReadyAt:   p.Duration,
	}}
}

// newClasses generates one class of each kind of idempotency. The non-idempotent class has the longest deadline, and the
// other classes may have it too.
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

// newClientFaults generates the network faults between clients and gateways.
func newClientFaults(rng *rand.Rand) NetworkFaults {
	if rng.IntN(2) != 0 {
		return NetworkFaults{}
	}
	return NetworkFaults{
		MaxDelay:   randomDuration(rng, 0, 10*time.Millisecond),
		SplitShare: 0.3 * rng.Float64(),
	}
}

// newBackendFaults generates the network faults between gateways and backends.
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

// newDrains chooses which backends drain and when. Most backends never drain, and no two drain at the same time.
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

// newOutages generates at most one outage of discovery. There is no outage if the run is not longer than 4*maxOutage.
func newOutages(rng *rand.Rand, duration time.Duration) []Outage {
	if rng.IntN(3) != 0 || duration <= 4*maxOutage {
		return nil
	}
	from := randomDuration(rng, earliestFault, duration-2*maxOutage)
	return []Outage{{From: from, To: from + randomDuration(rng, time.Second, maxOutage)}}
}

// newStops generates the stops, for one gateway after another. A stop may begin before the previous stop has ended.
func newStops(rng *rand.Rand, gateways int, killAfter, duration time.Duration) []Stop {
	maxInterval := killAfter + time.Second
	var stops []Stop
	for at := earliestFault; at < duration-killAfter-endMargin; {
		stops = append(stops, newStop(rng, len(stops)%gateways, at))
		at += maxInterval/2 + randomDuration(rng, 0, maxInterval/2)
	}
	return stops
}

// newStop generates one stop.
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

// randomDuration returns a random duration d with low <= d < high. It panics if high is not above low.
func randomDuration(rng *rand.Rand, low, high time.Duration) time.Duration {
	return low + time.Duration(rng.Int64N(int64(high-low)))
}
