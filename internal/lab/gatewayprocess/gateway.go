// Package gatewayprocess starts gateways as child processes, as a deployment does, and sends
// them the requests of many tenants.
package gatewayprocess

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"amberlb/internal/lab/proc"
)

const (
	readyPath         = "/health/ready"
	readyPollInterval = 10 * time.Millisecond
	readyPollTimeout  = time.Second     // timeout of one poll
	stopGrace         = 4 * time.Second // time from SIGTERM to SIGKILL: the longest deadline plus time for the shutdown
	configEnv         = "EDGE_CONFIG"   // name of the environment variable with the path of the configuration file
)

// ErrReadyTimeout is returned for a gateway that runs but did not become ready in time.
var ErrReadyTimeout = errors.New("the gateway is not ready in time")

// Program says how to start a gateway.
type Program struct {
	Command string // shell command; it must exec the program, so that signals reach the program
	Dir     string // working directory of the command
}

// Gateway is a gateway process.
type Gateway struct {
	Address    string // host and port for clients
	startedAt  time.Time
	configPath string // path of the configuration file, the only file in its directory
	process    *proc.Process
}

// Start starts a gateway, which is killed when ctx ends. Stop or Close must be called even if ctx has ended.
func Start(ctx context.Context, program Program, options Options) (*Gateway, error) {
	if options.Listen == "" {
		address, err := FreeAddress()
		if err != nil {
			return nil, err
		}
		options.Listen = address
	}
	startedAt := time.Now()
	configPath, err := writeConfig(options)
	if err != nil {
		return nil, err
	}
	g := &Gateway{Address: options.Listen, startedAt: startedAt, configPath: configPath}
	env := append([]string{configEnv + "=" + configPath}, options.Env...)
	g.process, err = proc.Start(ctx, "/bin/sh", env, nil, "-c", `cd "$0" && `+program.Command, program.Dir)
	if err != nil {
		g.removeConfig()
		return nil, fmt.Errorf("gateway: %w", err)
	}
	return g, nil
}

// writeConfig writes the gateway's configuration file to a new temporary directory, and returns the file's path.
func writeConfig(options Options) (path string, err error) {
	text, err := options.ConfigFile()
	if err != nil {
		return "", err
	}
	dir, err := os.MkdirTemp("", "fleetlab-")
	if err != nil {
		return "", err
	}
	path = filepath.Join(dir, "config.json")
	if err := os.WriteFile(path, text, 0o600); err != nil {
		os.RemoveAll(dir)
		return "", fmt.Errorf("gateway: %w", err)
	}
	return path, nil
}

// removeConfig removes the configuration file and its directory.
func (g *Gateway) removeConfig() { os.RemoveAll(filepath.Dir(g.configPath)) }

// WaitReady waits until the gateway is ready, and returns the time from the gateway's start until then. The timeout is
// also counted from the gateway's start. WaitReady returns ErrReadyTimeout if the gateway is not ready within the
// timeout, and another error if ctx ends or the gateway exits.
func (g *Gateway) WaitReady(ctx context.Context, timeout time.Duration) (time.Duration, error) {
	client := &http.Client{Timeout: readyPollTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	for time.Since(g.startedAt) < timeout {
		select {
		case <-ctx.Done():
			return 0, context.Cause(ctx)
		case <-g.process.Done():
			return 0, fmt.Errorf("the gateway has exited: %s", lastLine(g.process.Stderr()))
		case <-time.After(readyPollInterval):
		}
		if g.isReady(client) {
			return time.Since(g.startedAt), nil
		}
	}
	return 0, ErrReadyTimeout
}

// isReady polls the gateway's readiness endpoint. It returns false if the gateway doesn't listen yet.
func (g *Gateway) isReady(client *http.Client) bool {
	response, err := client.Get("http://" + g.Address + readyPath)
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// lastLine returns the last line of text that is not blank.
func lastLine(text string) string {
	lines := strings.Split(strings.TrimSpace(text), "\n")
	return lines[len(lines)-1]
}

// Usage returns the resource usage of the gateway's process. It returns an error if the process has exited.
func (g *Gateway) Usage() (proc.Usage, error) { return proc.ReadUsage(g.process.Pid) }

// Log returns the last 64 KiB of the gateway's log.
func (g *Gateway) Log() string { return g.process.Stderr() }

// Signal sends a signal to the gateway's process, unless it has exited.
func (g *Gateway) Signal(signal syscall.Signal) {
	select {
	case <-g.process.Done():
	default:
		syscall.Kill(g.process.Pid, signal)
	}
}

// Done returns a channel that is closed when the gateway's process has exited.
func (g *Gateway) Done() <-chan struct{} { return g.process.Done() }

// Close kills the process if it still runs, and removes the configuration file. It returns nil only for exit status 0.
func (g *Gateway) Close() error {
	defer g.removeConfig()
	g.Signal(syscall.SIGKILL)
	return g.process.Wait()
}

// Stop sends SIGTERM. If the gateway has not exited after stopGrace, Stop sends SIGKILL. It
// removes the configuration file, and returns nil only for exit status 0.
func (g *Gateway) Stop() error {
	defer g.removeConfig()
	if err := g.process.Stop(stopGrace); err != nil {
		return fmt.Errorf("the gateway exited with %w: %s", err, lastLine(g.process.Stderr()))
	}
	return nil
}
