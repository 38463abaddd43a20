package main

import (
	"fmt"
	"log/slog"
	"os/exec"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"amberlb/internal/lab/gatewayprocess"
	"amberlb/internal/lab/hostile"
	"amberlb/internal/lab/soak"
)

const (
	hostileClients  = 500
	hostileDuration = 4 * time.Second
	hostileRuns     = 2 // runs at the same time, so that the clients of each are fast
)

// gatewayLimits are the limits of a gateway in a test.
type gatewayLimits struct {
	memoryMB    int
	descriptors int
}

// hostileLimits are the lowest memory with the most descriptors that the pages name, and the limits of issue 31.
var hostileLimits = []gatewayLimits{{32, 1024}, {48, 1024}, {64, 384}}

// smallestLimits are the lowest memory that a gateway accepts, and many descriptors.
var smallestLimits = gatewayLimits{16, 1024}

// Heads of very many short fields cost far more memory in parsed form than on the wire. Neither incomplete nor complete
// heads of hundreds of clients take a gateway over its memory limit.
func TestHeadsOfManyFieldsStayWithinMemoryLimit(t *testing.T) {
	testMemoryOfCrowds(t, hostile.DistinctFields, hostile.RepeatedFields, hostile.ManyFields)
}

// A crowd that keeps all of a small gateway's memory in use does not make the garbage collector take so much processor time
// that answers of other clients come late or never.
func TestCollectorLeavesTimeToSmallestGateway(t *testing.T) {
	const maxCollectorShare = 0.25 // of the processor time
	plan := soak.NewHostilePlan(1, hostileDuration)
	plan.Gateways, plan.Stops = 1, nil
	plan.MemoryMB, plan.DescriptorLimit = smallestLimits.memoryMB, smallestLimits.descriptors
	plan.Crowds = []hostile.Crowd{
		{Shape: hostile.LongRequest, Ending: hostile.Close, Clients: hostileClients},
		{Shape: hostile.ManyFields, Ending: hostile.Stay, Clients: hostileClients},
		{Shape: hostile.ManyFields, Ending: hostile.HalfClose, Clients: hostileClients / 2},
	}
	options := soak.Options{Program: buildCommand(t), Log: slog.New(slog.DiscardHandler), CheckMemory: true}
	result, err := soak.Run(t.Context(), plan, options)
	if err != nil {
		t.Fatal(err)
	}
	process := result.History.Processes[0]
	collector, user := loggedSeconds(t, process.Log, "cpu.collector"), loggedSeconds(t, process.Log, "cpu.user")
	t.Logf("%.2f s for the collector, %.2f s for the rest; %d KiB of memory", collector, user, process.PeakMemory>>10)
	if collector > maxCollectorShare*(collector+user) {
		t.Errorf("the collector took %.2f s, all else %.2f s", collector, user)
	}
	if process.PeakMemory > int64(smallestLimits.memoryMB)<<20 {
		t.Errorf("%d KiB of memory were used", process.PeakMemory>>10)
	}
}

// loggedSeconds returns the last value of a key in a log.
func loggedSeconds(t *testing.T, log, key string) float64 {
	t.Helper()
	at := strings.LastIndex(log, " "+key+"=")
	if at < 0 {
		t.Fatalf("no %s in the log: %s", key, log)
	}
	text, _, _ := strings.Cut(log[at+len(key)+2:], " ")
	seconds, err := strconv.ParseFloat(text, 64)
	if err != nil {
		t.Fatal(err)
	}
	return seconds
}

// Crowds of hostile clients of mixed shapes, endings and paces, against gateways at the corners of the limits, end no
// gateway, take none over its memory limit, and make no request run twice. The race detector slows the clients down, so
// lateness is judged by fleetlab soak --hostile alone.
func TestHostileCrowds(t *testing.T) {
	const (
		seeds  = 6
		length = 6 * time.Second
	)
	program := buildCommand(t)
	concurrentRuns := make(chan struct{}, hostileRuns)
	judged := []soak.Invariant{soak.OverMemoryLimit, soak.UnexpectedExit, soak.NotReady, soak.DuplicateExecution}
	for seed := range uint64(seeds) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			concurrentRuns <- struct{}{}
			defer func() { <-concurrentRuns }()
			plan := soak.NewHostilePlan(seed, length)
			result, err := soak.Run(t.Context(), plan, soak.Options{Program: program, Log: slog.New(slog.DiscardHandler), CheckMemory: true})
			if err != nil {
				t.Fatal(err)
			}
			for _, violation := range result.Verdict.Violations {
				if slices.Contains(judged, violation.Invariant) {
					t.Error(violation)
				}
			}
			if v := result.Verdict; result.Partial || v.Hostile == 0 || v.Served == 0 {
				t.Errorf("partial %t: %d hostile connections, %d usual requests served", result.Partial, v.Hostile, v.Served)
			}
		})
	}
}

// testMemoryOfCrowds plays a crowd of each shape against gateways of all hostileLimits.
func testMemoryOfCrowds(t *testing.T, shapes ...hostile.Shape) {
	program := buildCommand(t)
	concurrentRuns := make(chan struct{}, hostileRuns)
	for _, limits := range hostileLimits {
		for _, shape := range shapes {
			t.Run(fmt.Sprintf("%s at %d MB", shape, limits.memoryMB), func(t *testing.T) {
				t.Parallel()
				concurrentRuns <- struct{}{}
				defer func() { <-concurrentRuns }()
				testMemoryOfCrowd(t, program, limits, shape)
			})
		}
	}
}

// testMemoryOfCrowd plays a crowd of a shape against a gateway, and checks the gateway's memory and that usual requests
// are served.
func testMemoryOfCrowd(t *testing.T, program gatewayprocess.Program, limits gatewayLimits, shape hostile.Shape) {
	plan := soak.NewHostilePlan(1, hostileDuration)
	plan.Gateways, plan.Stops = 1, nil
	plan.MemoryMB, plan.DescriptorLimit = limits.memoryMB, limits.descriptors
	plan.Crowds = []hostile.Crowd{{Shape: shape, Ending: hostile.Stay, Clients: hostileClients, From: time.Second}}
	result, err := soak.Run(t.Context(), plan, soak.Options{Program: program, Log: slog.New(slog.DiscardHandler), CheckMemory: true})
	if err != nil {
		t.Fatal(err)
	}
	for _, process := range result.History.Processes {
		t.Logf("%d of %d KiB of memory were used; %d hostile connections, %d usual requests served", process.PeakMemory>>10,
			limits.memoryMB<<10, result.Verdict.Hostile, result.Verdict.Served)
	}
	for _, violation := range result.Verdict.Violations {
		if violation.Invariant == soak.OverMemoryLimit || violation.Invariant == soak.UnexpectedExit {
			t.Error(violation)
		}
	}
	if result.Verdict.Hostile == 0 || result.Verdict.Served == 0 {
		t.Errorf("%d hostile connections and %d usual requests served: the crowd did not test the gateway",
			result.Verdict.Hostile, result.Verdict.Served)
	}
}

// buildCommand builds the command without the race detector, which multiplies the memory.
func buildCommand(t *testing.T) gatewayprocess.Program {
	t.Helper()
	dir := t.TempDir()
	if output, err := exec.Command("go", "build", "-o", dir, ".").CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, output)
	}
	return gatewayprocess.Program{Command: "exec ./amberlb", Dir: dir}
}
