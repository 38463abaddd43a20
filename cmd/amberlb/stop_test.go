package main

import (
	"fmt"
	"log/slog"
	"os"
	"sync"
	"syscall"
	"testing"
	"time"

	"amberlb/internal/gateway"
	"amberlb/internal/lab/discovery"
	"amberlb/internal/lab/gatewayprocess"
	"amberlb/internal/lab/soak"
)

const sweepStep = 20 * time.Millisecond // between the moments of a sweep

// commandEnv lets the test binary stand in for the command. The race detector would sleep for a second before an exit.
var commandEnv = []string{"ELDERYARD_AS_COMMAND=1", "GORACE=atexit_sleep_ms=0"}

// sweep is one stop with a request on each of many connections that were opened before it.
type sweep struct {
	deadline time.Duration // of the one class, whose requests are unsafe to repeat
	until    time.Duration // after SIGTERM: the last moment
	half     bool          // the requests begin right after SIGTERM, and their last half comes at the moment
}

// A gateway that is told to stop answers every request that it takes, whatever moment of the stop the request comes at and
// whatever the deadlines are, while all backends hang. The incident's own values are a deadline of 2.412 s and a request
// 0.600 s after SIGTERM.
func TestStopAnswersWhatItTook(t *testing.T) {
	t.Parallel()
	for _, deadline := range []time.Duration{300 * time.Millisecond, time.Second, 2412 * time.Millisecond,
		3 * time.Second, 4500 * time.Millisecond} {
		t.Run(deadline.String(), func(t *testing.T) {
			t.Parallel()
			sendings := sweep{deadline: deadline, until: 800 * time.Millisecond}.play(t)
			answered := 0
			for _, s := range sendings {
				if s.Status != 0 {
					answered++
				}
			}
			if answered < len(sendings)/4 {
				t.Errorf("%d of %d requests were answered: the sweep did not play", answered, len(sendings))
			}
		})
	}
}

// A request that a stop finds half read, or that begins during it, is answered however late its last byte comes: the
// gateway has read a part of it, so its client can't tell the close of its connection from that of an idle one.
func TestStopAnswersHalfRequests(t *testing.T) {
	t.Parallel()
	for _, deadline := range []time.Duration{300 * time.Millisecond, time.Second} {
		t.Run(deadline.String(), func(t *testing.T) {
			t.Parallel()
			sendings := sweep{deadline: deadline, until: deadline + time.Second, half: true}.play(t)
			for _, s := range sendings {
				if s.Status == 0 {
					t.Errorf("%s: bytes %.3f to %.3f, ended %.3f with no answer: %v", s.ID, s.FirstByteAt.Seconds(), s.SentAt.Seconds(),
						s.EndedAt.Seconds(), s.Err)
				}
			}
		})
	}
}

// play starts a gateway, stops it, and reports each broken rule. The gateway gets SIGKILL at the earliest moment, and must
// have ended before.
func (s sweep) play(t *testing.T) []soak.ClientAttempt {
	t.Helper()
	clock := soak.NewClock()
	classes := []soak.Class{{Name: string(soak.NonIdempotent), Idempotency: soak.NonIdempotent, Deadline: s.deadline}}
	backends, discovery := hangingBackends(t, clock)
	process, listen := startProcess(t, classes, discovery)
	var conns []*soak.Conn
	for range s.until / sweepStep {
		conn, err := soak.Dial(clock, listen, 1, 1)
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		conns = append(conns, conn)
	}
	life := soak.Process{Gateway: 1, Number: 1, SigtermAt: clock.Now()}
	process.Signal(syscall.SIGTERM)
	sendings := make([]soak.ClientAttempt, len(conns))
	var sending sync.WaitGroup
	for i, conn := range conns {
		sending.Go(func() {
			moment := time.Duration(i) * sweepStep
			request := soak.Request{ID: fmt.Sprintf("%016x", i+1), Class: string(soak.NonIdempotent), Method: "POST", BodyBytes: 12,
				Timeout: s.deadline}
			if s.half {
				request.Pieces, request.PieceGap = 2, moment
			} else {
				time.Sleep(time.Until(clock.At(life.SigtermAt + moment)))
			}
			sendings[i], _ = conn.Do(request)
		})
	}
	select {
	case <-process.Done():
	case <-time.After(time.Until(clock.At(life.SigtermAt + soak.KillAfter(classes)))):
		life.SigkillAt = clock.Now()
		t.Errorf("the process had not ended %.3f s after SIGTERM, when SIGKILL may come", (life.SigkillAt - life.SigtermAt).Seconds())
	}
	life.Err, life.EndedAt, life.Log = process.Close(), clock.Now(), process.Log()
	sending.Wait()
	history := soak.History{ClientAttempts: sendings, Processes: []soak.Process{life}}
	for _, b := range backends {
		history.BackendAttempts = append(history.BackendAttempts, b.Attempts()...)
	}
	if len(history.BackendAttempts) == 0 {
		t.Error("no request reached a backend: the sweep did not play")
	}
	for _, fault := range soak.Check(history).Violations {
		t.Error(fault)
	}
	return sendings
}

// startProcess starts a gateway as the command does and waits until it is ready.
func startProcess(t *testing.T, classes []soak.Class, discovery string) (process *gatewayprocess.Gateway, listen string) {
	t.Helper()
	options := gatewayOptions(t, classes, discovery)
	process, err := gatewayprocess.Start(t.Context(), gatewayprocess.Program{Command: "exec " + os.Args[0], Dir: "."}, options)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { process.Close() })
	if _, err := process.WaitReady(t.Context(), patience); err != nil {
		t.Fatal(err)
	}
	return process, options.Listen
}

// gatewayOptions are those of a gateway of its own at a free address.
func gatewayOptions(t *testing.T, classes []soak.Class, discovery string) gatewayprocess.Options {
	t.Helper()
	listen, err := gatewayprocess.FreeAddress()
	if err != nil {
		t.Fatal(err)
	}
	setup := soak.GatewayOptions{Name: "n1", Listen: listen, Discovery: discovery, DescriptorLimit: 1024, Classes: classes, Env: commandEnv}
	options, err := setup.ProcessOptions()
	if err != nil {
		t.Fatal(err)
	}
	return options
}

// hangingBackends starts backends that take requests and never answer, and a discovery that lists them.
func hangingBackends(t *testing.T, clock soak.Clock) (backends []*soak.Backend, discoveryAddress string) {
	t.Helper()
	var list []gateway.EndpointEntry
	for i := range 12 {
		b, err := soak.StartBackend(fmt.Sprintf("b-%d", i), clock, func(time.Duration) soak.Behavior { return soak.Behavior{Hang: true} })
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(b.Close)
		backends = append(backends, b)
		list = append(list, gateway.EndpointEntry{ID: b.Name, HostPort: b.Address(), Zone: "a", MachineType: "m", Lifecycle: "Ready", Weight: 1})
	}
	r := discovery.New(list, discovery.Options{})
	address, err := r.Start(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { r.Close() })
	return backends, address
}

// Restarts under trouble, short and seeded: signals in series, hanging backends, slow and leaving clients that use open
// connections until the kill, a crowd of idle ones, proxies. fleetlab soak plays more seeds, and longer.
func TestSoak(t *testing.T) {
	t.Parallel()
	const (
		seeds  = 4
		length = 8 * time.Second
	)
	slots := make(chan struct{}, 2) // runs at a time
	for seed := range uint64(seeds) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			slots <- struct{}{}
			defer func() { <-slots }()
			result, err := soak.Run(t.Context(), soak.NewPlan(seed, length), soak.Options{
				Program: gatewayprocess.Program{Command: "exec " + os.Args[0], Dir: "."},
				Env:     commandEnv, Log: slog.New(slog.DiscardHandler)})
			if err != nil {
				t.Fatal(err)
			}
			for _, fault := range result.Verdict.Violations {
				t.Error(fault)
			}
			if v := result.Verdict; result.Partial || v.Served < 100 || v.Rejected+v.Failed == 0 {
				t.Errorf("partial %t: %d served, %d refused, %d failed: it did not play", result.Partial, v.Served, v.Rejected, v.Failed)
			}
		})
	}
}
