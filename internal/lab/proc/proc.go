// Package proc starts the programs of a run as child processes, ends them, and
// reads what a process has used.
package proc

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	clockTick     = 10 * time.Millisecond // unit of the times in /proc/PID/stat
	maxStderr     = 64 << 10
	maxStdout     = 16 << 20
	pipeWaitDelay = 2 * time.Second // after a child's end, for what others may still hold of its pipes
)

// Usage is what a process has used.
type Usage struct {
	CPU          time.Duration // user and system, in steps of 10 ms
	PeakRSS, RSS int64         // resident memory: the most so far, and now
}

// ReadUsage reads the usage of a process. It is an error if the process has ended.
func ReadUsage(pid int) (Usage, error) {
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return Usage{}, err
	}
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return Usage{}, err
	}
	u, err := parseUsage(string(stat), string(status))
	if err != nil {
		return Usage{}, fmt.Errorf("process %d: %w", pid, err)
	}
	return u, nil
}

// parseUsage reads the two files. The name in stat may hold blanks and parentheses,
// so its fields are counted from the last parenthesis.
func parseUsage(stat, status string) (u Usage, err error) {
	name := strings.LastIndex(stat, ") ")
	fields := strings.Fields(stat[name+1:]) // the first is the third of the file
	if name < 0 || len(fields) < 13 {
		return u, errors.New("stat can't be read")
	}
	for _, f := range fields[11:13] { // utime, stime
		n, err := strconv.ParseInt(f, 10, 64)
		if err != nil {
			return u, fmt.Errorf("stat: %w", err)
		}
		u.CPU += time.Duration(n) * clockTick
	}
	if u.PeakRSS, err = memoryField(status, "VmHWM:"); err != nil {
		return u, err
	}
	u.RSS, err = memoryField(status, "VmRSS:")
	return u, err
}

// memoryField returns a line of status in bytes. An ended process has none.
func memoryField(status, key string) (int64, error) {
	for line := range strings.Lines(status) {
		if value, ok := strings.CutPrefix(line, key); ok {
			n, err := strconv.ParseInt(strings.TrimSuffix(strings.TrimSpace(value), " kB"), 10, 64)
			return n << 10, err
		}
	}
	return 0, fmt.Errorf("no %s it has ended", key)
}

// Process is a child. Its methods may be called from many goroutines.
type Process struct {
	Pid int

	cmd            *exec.Cmd
	stdout, stderr boundedBuffer
	done           chan struct{}
	exitErr        error // of the end; read after done
}

// Start runs a program with env added to this process's environment and stdin as
// its input (nil: none). It is killed when ctx ends, and when this process dies.
func Start(ctx context.Context, name string, env []string, stdin io.Reader, arg ...string) (*Process, error) {
	p := &Process{cmd: exec.CommandContext(ctx, name, arg...), done: make(chan struct{})}
	p.stdout = boundedBuffer{limit: maxStdout, keepHead: true}
	p.stderr = boundedBuffer{limit: maxStderr}
	p.cmd.Env = append(os.Environ(), env...)
	p.cmd.Stdin, p.cmd.Stdout, p.cmd.Stderr = stdin, &p.stdout, &p.stderr
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	p.cmd.WaitDelay = pipeWaitDelay
	started := make(chan error)
	go func() {
		// The signal at the parent's death comes when the thread that started
		// the child ends, so that thread is kept until the child has ended.
		runtime.LockOSThread()
		defer runtime.UnlockOSThread()
		err := p.cmd.Start()
		started <- err
		if err == nil {
			p.exitErr = p.cmd.Wait()
			close(p.done)
		}
	}()
	if err := <-started; err != nil {
		return nil, err
	}
	p.Pid = p.cmd.Process.Pid
	return p, nil
}

// Wait returns when the process has ended, with nil for exit status 0 alone.
func (p *Process) Wait() error {
	<-p.done
	return p.exitErr
}

// Done is closed when the process has ended.
func (p *Process) Done() <-chan struct{} { return p.done }

// Stop sends SIGTERM, and SIGKILL if the process has not ended after grace. It
// returns what Wait does.
func (p *Process) Stop(grace time.Duration) error {
	p.cmd.Process.Signal(syscall.SIGTERM) // an error says that it has ended
	killTimer := time.NewTimer(grace)
	defer killTimer.Stop()
	select {
	case <-p.done:
	case <-killTimer.C:
		p.cmd.Process.Kill()
	}
	return p.Wait()
}

// Stdout returns the first 16 MiB of what it wrote to its standard output.
func (p *Process) Stdout() []byte { return p.stdout.bytes() }

// Stderr returns the last 64 KiB of what it wrote to its standard error.
func (p *Process) Stderr() string { return string(p.stderr.bytes()) }

// boundedBuffer keeps the first or the last bytes written to it.
type boundedBuffer struct {
	mu       sync.Mutex
	limit    int
	keepHead bool
	data     []byte
}

func (b *boundedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.keepHead {
		b.data = append(b.data, p[:min(len(p), b.limit-len(b.data))]...)
		return len(p), nil
	}
	b.data = append(b.data, p...)
	if excess := len(b.data) - b.limit; excess > 0 {
		b.data = append(b.data[:0], b.data[excess:]...)
	}
	return len(p), nil
}

func (b *boundedBuffer) bytes() []byte {
	b.mu.Lock()
	defer b.mu.Unlock()
	return bytes.Clone(b.data)
}
