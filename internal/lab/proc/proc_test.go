package proc

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"
)

// childEnv is the environment variable that makes the test binary run as a child process. Its value is the child's
// behavior.
const childEnv = "PROC_TEST_CHILD"

// busyChildBytes is the memory that a child with the behavior "busy" uses.
const busyChildBytes = 64 << 20

// TestMain runs the tests or, in a child process, the behavior in childEnv.
func TestMain(m *testing.M) {
	switch os.Getenv(childEnv) {
	case "":
		os.Exit(m.Run())
	case "echo":
		io.Copy(os.Stdout, os.Stdin)
		fmt.Fprint(os.Stderr, strings.Repeat("x", maxStderr), "end")
		os.Exit(3)
	case "busy":
		memory := make([]byte, busyChildBytes)
		for used := time.Duration(0); used < 100*time.Millisecond; {
			for i := range memory {
				memory[i]++
			}
			var usage syscall.Rusage
			syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
			used = time.Duration(usage.Utime.Nano())
		}
	case "ignore-sigterm":
		signal.Ignore(syscall.SIGTERM)
	case "parent":
		p, err := Start(context.Background(), os.Args[0], []string{childEnv + "=ignore-sigterm"}, nil)
		fmt.Fprintln(os.Stderr, err, p.Pid)
	}
	fmt.Fprintln(os.Stderr, "ready")
	time.Sleep(time.Minute)
}

// startChild starts the test binary as a child with the given behavior.
func startChild(ctx context.Context, t *testing.T, behavior string, stdin io.Reader) *Process {
	t.Helper()
	p, err := Start(ctx, os.Args[0], []string{childEnv + "=" + behavior}, stdin)
	if err != nil {
		t.Fatal(err)
	}
	return p
}

// eventually waits until condition returns true. The text event describes the awaited event.
func eventually(t *testing.T, event string, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(30 * time.Second); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal(event, "did not come within 30 s")
		}
	}
}

// awaitReady waits until a child has written that it is ready.
func awaitReady(t *testing.T, p *Process) {
	t.Helper()
	eventually(t, "readiness of the child", func() bool { return strings.HasSuffix(p.Stderr(), "ready\n") })
}

// ReadUsage returns plausible values for a running child, and an error for a child that has exited.
func TestUsageOfABusyChild(t *testing.T) {
	p := startChild(t.Context(), t, "busy", nil)
	awaitReady(t, p)
	usage, err := ReadUsage(p.Pid)
	if err != nil {
		t.Fatal(err)
	}
	if usage.CPU < 90*time.Millisecond || usage.CPU > time.Minute || usage.PeakRSS < busyChildBytes || usage.PeakRSS > 64*busyChildBytes ||
		usage.RSS > usage.PeakRSS || usage.AnonymousRSS < busyChildBytes || usage.AnonymousRSS > usage.RSS {
		t.Errorf("%+v", usage)
	}
	if err := p.Stop(30 * time.Second); err == nil || !strings.Contains(err.Error(), "terminated") {
		t.Errorf("Stop: %v", err)
	}
	if usage, err := ReadUsage(p.Pid); err == nil {
		t.Errorf("usage of an exited process: %+v", usage)
	}
}

// The output of a child is kept up to the limits, and Wait returns an exit status other than 0 as an error.
func TestOutputAndExitStatus(t *testing.T) {
	p := startChild(t.Context(), t, "echo", strings.NewReader("a job"))
	if err := p.Wait(); err == nil || err.Error() != "exit status 3" {
		t.Error(err)
	}
	if out := string(p.Stdout()); out != "a job" {
		t.Errorf("output %q", out)
	}
	if text := p.Stderr(); len(text) != maxStderr || !strings.HasSuffix(text, "xend") {
		t.Errorf("%d bytes of standard error kept", len(text))
	}
}

// A child that ignores SIGTERM is killed when the grace period of Stop is over, and when its context ends.
func TestChildThatIgnoresSIGTERMIsKilled(t *testing.T) {
	p := startChild(t.Context(), t, "ignore-sigterm", nil)
	awaitReady(t, p)
	if err := p.Stop(time.Millisecond); err == nil || !strings.Contains(err.Error(), "killed") {
		t.Errorf("Stop: %v", err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	p = startChild(ctx, t, "ignore-sigterm", nil)
	awaitReady(t, p)
	cancel()
	if p.Wait() == nil {
		t.Error("the child exited with status 0")
	}
}

// A child is killed when the process that started it dies, even if that process was killed itself.
func TestNoChildOutlivesItsParent(t *testing.T) {
	p := startChild(t.Context(), t, "parent", nil)
	awaitReady(t, p)
	pid, err := strconv.Atoi(strings.Fields(p.Stderr())[1])
	if err != nil {
		t.Fatal(err)
	}
	if _, err := ReadUsage(pid); err != nil {
		t.Fatal(err)
	}
	p.Stop(0)
	eventually(t, "the exit of the child's child", func() bool { _, err := ReadUsage(pid); return err != nil })
}
