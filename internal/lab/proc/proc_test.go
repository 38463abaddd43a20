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

const block = 64 << 20

// TestMain is the child too, where the variable says what it does.
func TestMain(m *testing.M) {
	switch os.Getenv("PROC_TEST_CHILD") {
	case "":
		os.Exit(m.Run())
	case "echo":
		io.Copy(os.Stdout, os.Stdin)
		fmt.Fprint(os.Stderr, strings.Repeat("x", maxStderr), "end")
		os.Exit(3)
	case "busy":
		memory := make([]byte, block)
		for used := time.Duration(0); used < 100*time.Millisecond; {
			for i := range memory {
				memory[i]++
			}
			var r syscall.Rusage
			syscall.Getrusage(syscall.RUSAGE_SELF, &r)
			used = time.Duration(r.Utime.Nano())
		}
	case "stubborn":
		signal.Ignore(syscall.SIGTERM)
	case "parent":
		p, err := Start(context.Background(), os.Args[0], []string{"PROC_TEST_CHILD=stubborn"}, nil)
		fmt.Fprintln(os.Stderr, err, p.Pid)
	}
	fmt.Fprintln(os.Stderr, "ready")
	time.Sleep(time.Minute)
}

func child(t *testing.T, ctx context.Context, what string, stdin io.Reader) *Process {
	t.Helper()
	p, err := Start(ctx, os.Args[0], []string{"PROC_TEST_CHILD=" + what}, stdin)
	if err != nil {
		t.Fatal(err)
	}
	return p
}

func eventually(t *testing.T, what string, done func() bool) {
	t.Helper()
	for over := time.Now().Add(30 * time.Second); !done(); time.Sleep(time.Millisecond) {
		if time.Now().After(over) {
			t.Fatal(what, "did not come")
		}
	}
}

func ready(t *testing.T, p *Process) {
	t.Helper()
	eventually(t, "ready", func() bool { return strings.HasSuffix(p.Stderr(), "ready\n") })
}

func TestUsageOfABusyChild(t *testing.T) {
	p := child(t, t.Context(), "busy", nil)
	ready(t, p)
	u, err := ReadUsage(p.Pid)
	if err != nil {
		t.Fatal(err)
	}
	if u.CPU < 90*time.Millisecond || u.CPU > time.Minute || u.PeakRSS < block || u.PeakRSS > 64*block || u.RSS > u.PeakRSS {
		t.Errorf("%+v", u)
	}
	if err := p.Stop(30 * time.Second); err == nil || !strings.Contains(err.Error(), "terminated") {
		t.Errorf("stopped: %v", err)
	}
	if u, err := ReadUsage(p.Pid); err == nil {
		t.Errorf("an ended process uses %+v", u)
	}
}

func TestOutputAndStatus(t *testing.T) {
	p := child(t, t.Context(), "echo", strings.NewReader("a job"))
	if err := p.Wait(); err == nil || err.Error() != "exit status 3" {
		t.Error(err)
	}
	if out := string(p.Stdout()); out != "a job" {
		t.Errorf("output %q", out)
	}
	if s := p.Stderr(); len(s) != maxStderr || !strings.HasSuffix(s, "xend") {
		t.Errorf("%d bytes of standard error kept", len(s))
	}
}

func TestAStubbornChildIsKilled(t *testing.T) {
	p := child(t, t.Context(), "stubborn", nil)
	ready(t, p)
	if err := p.Stop(time.Millisecond); err == nil || !strings.Contains(err.Error(), "killed") {
		t.Errorf("stopped: %v", err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	p = child(t, ctx, "stubborn", nil)
	ready(t, p)
	cancel()
	if p.Wait() == nil {
		t.Error("it ended well")
	}
}

func TestNoChildOutlivesItsParent(t *testing.T) {
	p := child(t, t.Context(), "parent", nil)
	ready(t, p)
	pid, err := strconv.Atoi(strings.Fields(p.Stderr())[1])
	if err != nil {
		t.Fatal(err)
	}
	if _, err := ReadUsage(pid); err != nil {
		t.Fatal(err)
	}
	p.Stop(0)
	eventually(t, "the end of the child's child", func() bool { _, err := ReadUsage(pid); return err != nil })
}
