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

// commandEnv makes the test binary run as the command. The race detector would sleep for a second before an
// exit.
var commandEnv = []string{asCommandKey + "=1", "GORACE=atexit_sleep_ms=0"}

// shutdownSweep is one graceful shutdown with a request on each of many connections that were opened before
// it. The requests come at moments that are a step apart.
type shutdownSweep struct {
	deadline    time.Duration // of the one class, whose requests are not idempotent
	lastOffset  time.Duration // after SIGTERM
	inTwoPieces bool          // the requests begin right after SIGTERM, and their second half comes at the moment
}

// A gateway in graceful shutdown answers every request that it admits, whatever moment of the shutdown the
// request comes at and whatever the deadlines are, while all backends hang. The incident's own values are a
// deadline of 2.412 s and a request 0.600 s after SIGTERM.
func TestShutdownAnswersAdmittedRequests(t *testing.T) {
	t.Parallel()
	for _, deadline := range []time.Duration{300 * time.Millisecond, time.Second, 2412 * time.Millisecond,
		3 * time.Second, 4500 * time.Millisecond} {
		t.Run(deadline.String(), func(t *testing.T) {
			t.Parallel()
			attempts := shutdownSweep{deadline: deadline, lastOffset: 800 * time.Millisecond}.run(t)
			answered := 0
			for _, a := range attempts {
				if a.Status != 0 {
					answered++
				}
			}
			if answered < len(attempts)/4 {
				t.Errorf("%d of %d requests were answered: the sweep did not run as meant", answered, len(attempts))
			}
		})
	}
}

// A request that a shutdown finds half read, or that begins during it, is answered however late its last
// byte comes: the gateway has read a part of it, so its client can't tell the close of its connection from
// that of an idle one.
func TestShutdownAnswersPartlyReadRequests(t *testing.T) {
	t.Parallel()
	for _, deadline := range []time.Duration{300 * time.Millisecond, time.Second} {
		t.Run(deadline.String(), func(t *testing.T) {
			t.Parallel()
			attempts := shutdownSweep{deadline: deadline, lastOffset: deadline + time.Second, inTwoPieces: true}.run(t)
			for _, a := range attempts {
				if a.Status == 0 {
					t.Errorf("%s: bytes %.3f to %.3f, ended %.3f with no answer: %v", a.ID, a.FirstByteAt.Seconds(), a.SentAt.Seconds(),
						a.EndedAt.Seconds(), a.Err)
				}
			}
		})
	}
}

// run starts a gateway, shuts it down, and reports each violation of the rules. The gateway gets SIGKILL at
// the earliest moment that the rules allow, and must have exited before.
func (s shutdownSweep) run(t *testing.T) []soak.ClientAttempt {
	t.Helper()
	clock := soak.NewClock()
	classes := []soak.Class{{Name: string(soak.NonIdempotent), Idempotency: soak.NonIdempotent, Deadline: s.deadline}}
	backends, discovery := startHangingBackends(t, clock)
	process, listen := startProcess(t, classes, discovery)
	conns := s.dial(t, clock, listen)
	processRecord := soak.Process{Gateway: 1, Number: 1, SigtermAt: clock.Now()}
	process.Signal(syscall.SIGTERM)
	attempts := make([]soak.ClientAttempt, len(conns))
	var sending sync.WaitGroup
	for i, conn := range conns {
		sending.Go(func() { attempts[i] = s.send(conn, clock, processRecord.SigtermAt, i) })
	}
	select {
	case <-process.Done():
	case <-time.After(time.Until(clock.At(processRecord.SigtermAt + soak.KillAfter(classes)))):
		processRecord.SigkillAt = clock.Now()
		t.Errorf("the process had not ended %.3f s after SIGTERM, when SIGKILL may come",
			(processRecord.SigkillAt - processRecord.SigtermAt).Seconds())
	}
	processRecord.Err = process.Close()
	processRecord.EndedAt = clock.Now()
	processRecord.Log = process.Log()
	sending.Wait()
	history := soak.History{ClientAttempts: attempts, Processes: []soak.Process{processRecord}}
	for _, b := range backends {
		history.BackendAttempts = append(history.BackendAttempts, b.Attempts()...)
	}
	if len(history.BackendAttempts) == 0 {
		t.Error("no request reached a backend: the sweep did not run as meant")
	}
	for _, violation := range soak.Check(history).Violations {
		t.Error(violation)
	}
	return attempts
}

// dial opens a connection for each moment of the sweep. They are closed at the end of the test.
func (s shutdownSweep) dial(t *testing.T, clock soak.Clock, listen string) []*soak.Conn {
	t.Helper()
	var conns []*soak.Conn
	for range s.lastOffset / sweepStep {
		conn, err := soak.Dial(clock, listen, 1, 1)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { conn.Close() })
		conns = append(conns, conn)
	}
	return conns
}

// send sends the request of moment i and returns what became of it.
func (s shutdownSweep) send(conn *soak.Conn, clock soak.Clock, sigtermAt time.Duration, i int) soak.ClientAttempt {
	offset := time.Duration(i) * sweepStep
	request := soak.Request{ID: fmt.Sprintf("%016x", i+1), Class: string(soak.NonIdempotent), Method: "POST", BodyBytes: 12,
		Timeout: s.deadline}
	if s.inTwoPieces {
		request.Pieces = 2
		request.PieceGap = offset
	} else {
		time.Sleep(time.Until(clock.At(sigtermAt + offset)))
	}
	attempt, _ := conn.Do(request)
	return attempt
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
	if _, err := process.WaitReady(t.Context(), testTimeout); err != nil {
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
	setup := soak.GatewayOptions{
		Name:            "n1",
		Listen:          listen,
		Discovery:       discovery,
		DescriptorLimit: 1024,
		Classes:         classes,
		Env:             commandEnv,
	}
	options, err := setup.ProcessOptions()
	if err != nil {
		t.Fatal(err)
	}
	return options
}

// startHangingBackends starts backends that take requests and never answer, and a discovery that lists them.
func startHangingBackends(t *testing.T, clock soak.Clock) (backends []*soak.Backend, discoveryAddress string) {
	t.Helper()
	var list []gateway.EndpointEntry
	hang := func(time.Duration) soak.Behavior { return soak.Behavior{Hang: true} }
	for i := range 12 {
		b, err := soak.StartBackend(fmt.Sprintf("b-%d", i), clock, hang)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(b.Close)
		backends = append(backends, b)
		list = append(list, gateway.EndpointEntry{
			ID: b.Name, HostPort: b.Address(), Zone: "a", MachineType: "m", Lifecycle: "Ready", Weight: 1})
	}
	server := discovery.New(list, discovery.Options{})
	address, err := server.Start(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { server.Close() })
	return backends, address
}

// Restarts under fault injection, short and seeded: series of signals, hanging backends, slow and
// disconnecting clients that use open connections until SIGKILL, many idle clients, proxies. fleetlab soak
// runs more seeds, and longer.
func TestSoak(t *testing.T) {
	t.Parallel()
	const (
		seeds  = 4
		length = 8 * time.Second
	)
	concurrentRuns := make(chan struct{}, 2)
	for seed := range uint64(seeds) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			concurrentRuns <- struct{}{}
			defer func() { <-concurrentRuns }()
			result, err := soak.Run(t.Context(), soak.NewPlan(seed, length), soak.Options{
				Program: gatewayprocess.Program{Command: "exec " + os.Args[0], Dir: "."},
				Env:     commandEnv, Log: slog.New(slog.DiscardHandler)})
			if err != nil {
				t.Fatal(err)
			}
			for _, violation := range result.Verdict.Violations {
				t.Error(violation)
			}
			if v := result.Verdict; result.Partial || v.Served < 100 || v.Rejected+v.Failed == 0 {
				t.Errorf("partial %t: %d served, %d rejected, %d failed: the run did not go as meant",
					result.Partial, v.Served, v.Rejected, v.Failed)
			}
		})
	}
}
