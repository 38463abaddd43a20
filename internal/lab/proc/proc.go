// Package proc starts the programs of a run as child processes, ends them, and
// reads what a process has used.
package proc

import (
	"context"
	"io"
	"os"
	"os/exec"
	"runtime"
	"syscall"
	"time"
)

const (
	maxStderr     = 64 << 10        // bytes
	maxStdout     = 16 << 20        // bytes
	pipeWaitDelay = 2 * time.Second // after a child's end, for other processes that hold its pipes open
)

// Process is a child process. Its methods may be called from many goroutines.
type Process struct {
	Pid int

	command *exec.Cmd
	stdout  boundedBuffer
	stderr  boundedBuffer
	done    chan struct{} // closed when the process has ended
	exitErr error         // of the end; set before done is closed
}

// Start runs a program with env added to this process's environment and stdin as
// its input (nil: none). It is killed when ctx ends, and when this process dies.
func Start(ctx context.Context, name string, env []string, stdin io.Reader, args ...string) (*Process, error) {
	p := &Process{
		command: exec.CommandContext(ctx, name, args...),
		stdout:  boundedBuffer{limit: maxStdout, keepHead: true},
		stderr:  boundedBuffer{limit: maxStderr},
		done:    make(chan struct{}),
	}
	p.command.Env = append(os.Environ(), env...)
	p.command.Stdin = stdin
	p.command.Stdout = &p.stdout
	p.command.Stderr = &p.stderr
	p.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	p.command.WaitDelay = pipeWaitDelay
	started := make(chan error)
	go p.run(started)
	if err := <-started; err != nil {
		return nil, err
	}
	p.Pid = p.command.Process.Pid
	return p, nil
}

// run starts the child, reports whether that succeeded, and waits for the child's end.
func (p *Process) run(started chan<- error) {
	// The signal at the parent's death comes when the thread that started
	// the child ends, so that thread is kept until the child has ended.
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	err := p.command.Start()
	started <- err
	if err != nil {
		return
	}
	p.exitErr = p.command.Wait()
	close(p.done)
}

// Wait returns when the process has ended: nil for exit status 0 alone.
func (p *Process) Wait() error {
	<-p.done
	return p.exitErr
}

// Done is closed when the process has ended.
func (p *Process) Done() <-chan struct{} { return p.done }

// Stop sends SIGTERM, and SIGKILL if the process has not ended after grace. It
// returns what Wait does.
func (p *Process) Stop(grace time.Duration) error {
	p.command.Process.Signal(syscall.SIGTERM) // the error is that of a process that has ended
	killTimer := time.NewTimer(grace)
	defer killTimer.Stop()
	select {
	case <-p.done:
	case <-killTimer.C:
		p.command.Process.Kill()
	}
	return p.Wait()
}

// Stdout returns the first 16 MiB that the process wrote to its standard output.
func (p *Process) Stdout() []byte { return p.stdout.bytes() }

// Stderr returns the last 64 KiB that the process wrote to its standard error.
func (p *Process) Stderr() string { return string(p.stderr.bytes()) }
