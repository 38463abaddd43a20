package soak

import (
	"math/rand/v2"
	"syscall"
	"time"
)

// Plan is what a run plays. The same seed and length give the same plan.
type Plan struct {
	Seed     uint64
	Length   time.Duration
	Gateways int
	Backends int
	Hanging  int // of the backends, while a gateway stops
	Workers  int // clients at a time, for each gateway
	Sockets  int // descriptors that a gateway may use
	Crowd    int // idle connections that are kept open at each gateway
	Classes  []Class
	Clients  Trouble // between clients and gateways
	Backing  Trouble // between gateways and backends
	Stops    []Stop
	Drains   []Drain
	Outages  []Outage // of discovery
}

// Drain takes a backend out of service and brings it back. It goes on answering all the while.
type Drain struct {
	Backend          int
	At, Gone, BackAt time.Duration // it drains, leaves the list, and is ready again
}

// Outage is a time in which discovery is silent: connections to it come up, and nothing passes on them, then or later.
type Outage struct{ From, To time.Duration }

// Stop is one restart of a gateway: signals in series, SIGKILL at the earliest moment if the process hasn't ended, and
// a start soon after its end.
type Stop struct {
	Gateway int
	At      time.Duration // SIGTERM
	Signals []PlannedSignal
	Front   time.Duration // new connections come so long after SIGTERM
	Rest    time.Duration // from the end of the process to the next start
	Abrupt  bool          // it is SIGKILL alone, with no SIGTERM before
}

// PlannedSignal is one more signal of a stop. Two of them hold the process up.
type PlannedSignal struct {
	After  time.Duration // since SIGTERM; below 0: before it
	Signal syscall.Signal
}

// deadlines are the longest ones that plans draw from: far below and above what counts for a kill, and the
// incident's.
var deadlines = []time.Duration{300 * time.Millisecond, 600 * time.Millisecond, 1200 * time.Millisecond,
	2412 * time.Millisecond, 3 * time.Second, 4500 * time.Millisecond}

const (
	firstStop    = 1500 * time.Millisecond // clients are at work by then
	lastStop     = 500 * time.Millisecond  // before the end of the run
	stallLongest = 150 * time.Millisecond  // a process is held up so long at most
	frontLeast   = 200 * time.Millisecond  // new connections come for this after SIGTERM at least
	frontMost    = 400 * time.Millisecond
	outageMost   = 3 * time.Second
	crowdSockets = 192 // descriptors of a gateway with a crowd
	usualSockets = 1024
)

// NewPlan draws a plan.
func NewPlan(seed uint64, length time.Duration) Plan {
	rng := rand.New(rand.NewPCG(seed, 0))
	longest := deadlines[rng.IntN(len(deadlines))]
	p := Plan{Seed: seed, Length: length, Gateways: 2 + rng.IntN(3), Backends: 6 + rng.IntN(5), Workers: 8 + rng.IntN(9),
		Sockets: usualSockets}
	p.Hanging = p.Backends/4 + rng.IntN(p.Backends/2)
	for _, effect := range []Effect{Repeatable, ByKey, Once} {
		share := 0.4 + 0.6*rng.Float64()
		if effect == Once || rng.IntN(3) == 0 {
			share = 1
		}
		p.Classes = append(p.Classes, Class{Name: string(effect), Effect: effect, Deadline: time.Duration(share * float64(longest))})
	}
	if rng.IntN(4) == 0 {
		p.Sockets = crowdSockets
		p.Crowd = crowdSockets
	}
	if rng.IntN(2) == 0 {
		p.Clients = Trouble{MostDelay: time.Duration(rng.Int64N(int64(10 * time.Millisecond))), SplitShare: 0.3 * rng.Float64()}
	}
	if rng.IntN(2) == 0 {
		p.Backing = Trouble{MostDelay: time.Duration(rng.Int64N(int64(5 * time.Millisecond))), SplitShare: 0.3 * rng.Float64(),
			ResetShare: 0.2 * rng.Float64(), MostUse: 5 * time.Second}
	}
	p.Drains = newDrains(rng, p.Backends, length)
	if rng.IntN(3) == 0 && length > 4*outageMost {
		from := span(rng, firstStop, length-2*outageMost)
		p.Outages = append(p.Outages, Outage{From: from, To: from + span(rng, time.Second, outageMost)})
	}
	between := KillAfter(p.Classes) + time.Second // the next gateway's stop may begin before the last one's end
	for at, n := firstStop, 0; at < length-KillAfter(p.Classes)-lastStop; n++ {
		p.Stops = append(p.Stops, newStop(rng, n%p.Gateways, at))
		at += between/2 + time.Duration(rng.Int64N(int64(between/2)))
	}
	return p
}

// newDrains draws which backends drain and when, most of them never, and no two at a time.
func newDrains(rng *rand.Rand, backends int, length time.Duration) (all []Drain) {
	if rng.IntN(2) == 0 {
		return nil
	}
	for at := firstStop; ; {
		d := Drain{Backend: rng.IntN(backends), At: at + span(rng, 0, time.Second)}
		d.Gone = d.At + span(rng, time.Second, 4*time.Second)
		d.BackAt = d.Gone + span(rng, 0, time.Second)
		if d.BackAt > length-lastStop {
			return all
		}
		all = append(all, d)
		at = d.BackAt
	}
}

// newStop draws the signals of a stop.
func newStop(rng *rand.Rand, gateway int, at time.Duration) Stop {
	s := Stop{Gateway: gateway, At: at, Rest: span(rng, 100*time.Millisecond, 400*time.Millisecond),
		Front: span(rng, frontLeast, frontMost)}
	if rng.IntN(8) == 0 {
		s.Abrupt = true
		return s
	}
	add := func(after time.Duration, signal syscall.Signal) {
		s.Signals = append(s.Signals, PlannedSignal{After: after, Signal: signal})
	}
	if rng.IntN(2) == 0 {
		add(-span(rng, 0, time.Second), syscall.SIGHUP)
	}
	if rng.IntN(3) == 0 {
		add(span(rng, 0, time.Second), syscall.SIGHUP)
	}
	if rng.IntN(3) == 0 {
		add(span(rng, 0, time.Second), syscall.SIGTERM)
	}
	if rng.IntN(3) == 0 {
		stall := span(rng, 0, 2*time.Second)
		add(stall, syscall.SIGSTOP)
		add(stall+span(rng, 0, stallLongest), syscall.SIGCONT)
	}
	return s
}

// span draws a time between two others.
func span(rng *rand.Rand, least, most time.Duration) time.Duration {
	return least + time.Duration(rng.Int64N(int64(most-least)))
}
