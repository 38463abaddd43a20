// Package proc starts and stops child processes, and reads the resource usage of processes.
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
	maxStderr     = 64 << 10        // maximum number of kept bytes of standard error
	maxStdout     = 16 << 20        // maximum number of kept bytes of standard output
	pipeWaitDelay = 2 * time.Second // longest wait after a child's exit, while other processes hold its pipes open
)

// Process is a child process. Its methods are safe for concurrent use.
type Process struct {
	Pid int

	command *exec.Cmd
	stdout  boundedBuffer
	stderr  boundedBuffer
	done    chan struct{} // closed when the process has exited
	exitErr error         // result of Wait; set before done is closed
}

// Start runs the program with the given name and arguments as a child process. The environment
// of the child is the environment of this process plus the variables in env. The child reads
// stdin as its standard input. If stdin is nil, the input is empty. The child is killed when
// ctx ends, and when this process dies.
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

// run starts the child, sends the error of the start, or nil, to started, and waits until the child exits.
func (p *Process) run(started chan<- error) {
	// The kernel sends Pdeathsig as soon as the thread that started the child ends, even if
	// this process goes on. So the goroutine keeps its thread until the child has exited.
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

// Wait waits until the process has exited. It returns nil only for exit status 0.
func (p *Process) Wait() error {
	<-p.done
	return p.exitErr
}

// Done returns a channel that is closed when the process has exited.
func (p *Process) Done() <-chan struct{} { return p.done }

// Stop sends SIGTERM. If the process has not exited after the grace period, Stop sends SIGKILL.
// It returns the result of Wait.
func (p *Process) Stop(grace time.Duration) error {
	p.command.Process.Signal(syscall.SIGTERM) // fails only if the process has exited
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
