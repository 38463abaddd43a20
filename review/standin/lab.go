// Package standin has the stand-ins that the review's cases start: discovery, counter, backends, a delaying proxy and
// clients, and the start of the gateway by the commands of the deploy file. Everything listens on loopback addresses
// and on ports that the system chooses.
package standin

import (
	"bufio"
	"bytes"
	"fmt"
	"net"
	"os"
	"os/signal"
	"path/filepath"
	"regexp"
	"sync"
	"syscall"
	"time"
)

// Exit statuses of a case.
const (
	RuleHeld   = 0
	RuleBroken = 1
	CannotRun  = 2
)

// Lab is one run of a case: its temporary folder, its record and what has to be ended at its end.
type Lab struct {
	Root    string // root of the repository
	Dir     string // temporary folder, removed at the end
	Trouble bool   // false if TROUBLE=0: the case runs without its disruption
	start   time.Time

	mu      sync.Mutex
	file    *os.File
	record  *bufio.Writer // writes to file
	closers []func()
}

// Main runs a case and exits with the status that it returns. The program's first argument is the root of the
// repository, and its second argument is the case's folder. The limit ends the process if the case hangs.
func Main(limit time.Duration, run func(*Lab) (status int, err error)) {
	lab, err := newLab(os.Args[1], os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(CannotRun)
	}
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, syscall.SIGTERM, os.Interrupt)
	go func() {
		lab.Logf("stopped by %v", <-stopped)
		lab.close()
		os.Exit(CannotRun)
	}()
	time.AfterFunc(limit, func() {
		lab.Logf("the case took longer than %v", limit)
		lab.close()
		os.Exit(CannotRun)
	})
	status, err := run(lab)
	if err != nil {
		lab.Logf("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		status = CannotRun
	}
	lab.Logf("exit status %d", status)
	lab.close()
	os.Exit(status)
}

func newLab(root, caseDir string) (*Lab, error) {
	dir, err := os.MkdirTemp("", "amberlb-review-")
	if err != nil {
		return nil, err
	}
	file, err := os.Create(filepath.Join(caseDir, "record.txt"))
	if err != nil {
		return nil, err
	}
	lab := &Lab{Root: root, Dir: dir, Trouble: os.Getenv("TROUBLE") != "0", start: time.Now()}
	lab.file, lab.record = file, bufio.NewWriterSize(file, 1<<16)
	lab.Logf("trouble: %v", lab.Trouble)
	return lab, nil
}

// Logf writes a line to the record, with the seconds since the start of the case.
func (l *Lab) Logf(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	fmt.Fprintf(l.record, "%9.4f %s\n", time.Since(l.start).Seconds(), fmt.Sprintf(format, args...))
}

// Printf writes a line to the record and to standard output.
func (l *Lab) Printf(format string, args ...any) {
	l.Logf(format, args...)
	fmt.Printf(format+"\n", args...)
}

// AtEnd adds a function that is called at the end of the case, last one first.
func (l *Lab) AtEnd(f func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closers = append(l.closers, f)
}

func (l *Lab) close() {
	l.mu.Lock()
	closers := l.closers
	l.closers = nil
	l.mu.Unlock()
	for n := len(closers) - 1; n >= 0; n-- {
		closers[n]()
	}
	os.RemoveAll(l.Dir)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.record.Flush()
	l.file.Close()
}

// Listen listens on a free port of 127.0.0.1 until the end of the case.
func (l *Lab) Listen() (*net.TCPListener, error) {
	listener, err := net.ListenTCP("tcp4", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return nil, err
	}
	l.AtEnd(func() { listener.Close() })
	return listener, nil
}

// FreeAddress returns a loopback address on which nothing listens, outside 127.0.0.1, so that no outgoing connection
// takes its port.
func (l *Lab) FreeAddress(number int) (string, error) {
	ip := net.IPv4(127, byte(20+os.Getpid()%200), byte(number>>8), byte(1+number&0x7f))
	listener, err := net.ListenTCP("tcp4", &net.TCPAddr{IP: ip})
	if err != nil {
		return "", err
	}
	defer listener.Close()
	return listener.Addr().String(), nil
}

// deployCommand returns a command of the deploy file.
func (l *Lab) deployCommand(key string) (string, error) {
	text, err := os.ReadFile(filepath.Join(l.Root, "deploy", "balancer.toml"))
	if err != nil {
		return "", err
	}
	found := regexp.MustCompile(`(?m)^` + key + ` = "(.*)"`).FindSubmatch(text)
	if found == nil {
		return "", fmt.Errorf("the deploy file has no %s", key)
	}
	return string(bytes.TrimSpace(found[1])), nil
}
