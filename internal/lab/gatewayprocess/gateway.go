// Package gatewayprocess starts real gateways as a deployment does, each a process of its
// own, and sends them the requests of many tenants.
package gatewayprocess

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"amberlb/internal/lab/proc"
)

const (
	readyPath              = "/health/ready"
	readyPollInterval      = 10 * time.Millisecond
	stopGrace              = 4 * time.Second // from SIGTERM to SIGKILL: the longest deadline and what an end takes
	defaultDescriptorLimit = 4096            // limit of a gateway
)

// Program is how a gateway is started.
type Program struct {
	Command string // for the shell; it must exec the program, so that the signals reach it
	Dir     string // where the command is meant to run
}

// Options are one gateway's.
type Options struct {
	Name               string
	Discovery, Counter string // addresses; no counter: ""
	Seed               uint64
	Cores              float64
	MemoryMB           int
	Settings           json.RawMessage
	Listen             string   // where clients connect; "": a free address
	DescriptorLimit    int      // limit of descriptors; 0: what the lab needs
	Env                []string // for the program, beside the configuration's path
}

// Gateway is a running gateway.
type Gateway struct {
	Address    string // where clients connect
	startedAt  time.Time
	configPath string
	process    *proc.Process
}

// ConfigFile is the gateway's configuration file.
func (o Options) ConfigFile() ([]byte, error) {
	if o.DescriptorLimit == 0 {
		o.DescriptorLimit = defaultDescriptorLimit
	}
	return json.Marshal(map[string]any{"name": o.Name, "listen": o.Listen, "discovery": o.Discovery,
		"counter": o.Counter, "seed": fmt.Sprintf("%016x", o.Seed), "settings": o.Settings,
		"limits": map[string]any{"cores": o.Cores, "memory_mb": o.MemoryMB, "sockets": o.DescriptorLimit}})
}

// Start starts a gateway, which ends when ctx does. Stop must be called in any case.
func Start(ctx context.Context, p Program, o Options) (*Gateway, error) {
	if o.Listen == "" {
		address, err := FreeAddress()
		if err != nil {
			return nil, err
		}
		o.Listen = address
	}
	text, err := o.ConfigFile()
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "fleetlab-")
	if err != nil {
		return nil, err
	}
	g := &Gateway{Address: o.Listen, startedAt: time.Now(), configPath: filepath.Join(dir, "config.json")}
	if err = os.WriteFile(g.configPath, text, 0o600); err == nil {
		g.process, err = proc.Start(ctx, "/bin/sh", append([]string{"EDGE_CONFIG=" + g.configPath}, o.Env...), nil,
			"-c", `cd "$0" && `+p.Command, p.Dir)
	}
	if err != nil {
		os.RemoveAll(dir)
		return nil, fmt.Errorf("gateway: %w", err)
	}
	return g, nil
}

// addressCount counts the calls of FreeAddress.
var addressCount atomic.Uint32

// FreeAddress finds an address that nothing listens at. Each call takes another one of 127.0.0.0/8, clear of 127.0.0.1: a
// port that is free there for a moment may be taken by a connection that some program makes.
func FreeAddress() (string, error) {
	n := addressCount.Add(1)
	ip := net.IPv4(127, byte(firstNetwork+os.Getpid()%networkCount), byte(n>>8), byte(n))
	l, err := net.ListenTCP("tcp4", &net.TCPAddr{IP: ip})
	if err != nil {
		return "", err
	}
	defer l.Close()
	return l.Addr().String(), nil
}

// Addresses of different processes are in different networks, most likely.
const (
	firstNetwork = 16
	networkCount = 200
)

// ErrReadyTimeout is returned for a gateway that runs and has not become ready in time.
var ErrReadyTimeout = errors.New("the gateway is not ready in time")

// WaitReady waits until the gateway is ready and returns how long that took from its start.
func (g *Gateway) WaitReady(ctx context.Context, timeout time.Duration) (time.Duration, error) {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for time.Since(g.startedAt) < timeout {
		select {
		case <-ctx.Done():
			return 0, context.Cause(ctx)
		case <-g.process.Done():
			return 0, fmt.Errorf("the gateway has ended: %s", lastLine(g.process.Stderr()))
		case <-time.After(readyPollInterval):
		}
		resp, err := client.Get("http://" + g.Address + readyPath)
		if err != nil {
			continue // it does not listen yet
		}
		resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return time.Since(g.startedAt), nil
		}
	}
	return 0, ErrReadyTimeout
}

func lastLine(text string) string {
	lines := strings.Split(strings.TrimSpace(text), "\n")
	return lines[len(lines)-1]
}

// Usage is what the gateway's process has used so far. It is an error if it has ended.
func (g *Gateway) Usage() (proc.Usage, error) { return proc.ReadUsage(g.process.Pid) }

// Signal sends a signal. One to a process that has ended does nothing.
func (g *Gateway) Signal(s syscall.Signal) {
	select {
	case <-g.process.Done():
	default:
		syscall.Kill(g.process.Pid, s)
	}
}

// Done is closed when the process has ended.
func (g *Gateway) Done() <-chan struct{} { return g.process.Done() }

// Close kills the process if it runs, and returns the error of its end: nil for exit status 0 alone.
func (g *Gateway) Close() error {
	defer os.RemoveAll(filepath.Dir(g.configPath))
	g.Signal(syscall.SIGKILL)
	return g.process.Wait()
}

// Log is the end of what the gateway has written to its log.
func (g *Gateway) Log() string { return g.process.Stderr() }

// Stop ends the gateway with SIGTERM, and by force if it stays. It returns the
// error of its end.
func (g *Gateway) Stop() error {
	defer os.RemoveAll(filepath.Dir(g.configPath))
	if err := g.process.Stop(stopGrace); err != nil {
		return fmt.Errorf("the gateway ended with %w: %s", err, lastLine(g.process.Stderr()))
	}
	return nil
}
