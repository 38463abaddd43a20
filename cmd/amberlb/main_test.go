package main

import (
	"bytes"
	"errors"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"
)

// Names of the environment variables that make the test binary run as the command.
const (
	asCommandKey       = "AMBERLB_TEST_AS_COMMAND"
	descriptorLimitKey = "AMBERLB_TEST_DESCRIPTOR_LIMIT" // RLIMIT_NOFILE of the process; inherited if unset
)

// TestMain runs the command instead of the tests if the environment variable asCommandKey is set.
func TestMain(m *testing.M) {
	if os.Getenv(asCommandKey) != "" {
		if n, err := strconv.ParseUint(os.Getenv(descriptorLimitKey), 10, 64); err == nil {
			if err := syscall.Setrlimit(syscall.RLIMIT_NOFILE, &syscall.Rlimit{Cur: n, Max: n}); err != nil {
				panic(err)
			}
		}
		main()
		return
	}
	os.Exit(m.Run())
}

// gatewayCommand returns a command that runs a gateway with the given configuration, and a buffer for the command's
// standard error. The caller starts the command.
func gatewayCommand(t *testing.T, config string) (cmd *exec.Cmd, stderr *bytes.Buffer) {
	t.Helper()
	path := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(path, []byte(config), 0o600); err != nil {
		t.Fatal(err)
	}
	cmd = exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), asCommandKey+"=1", configPathKey+"="+path)
	stderr = &bytes.Buffer{}
	cmd.Stderr = stderr
	return cmd, stderr
}

// If the configuration is invalid, the process exits with status 1 and one line on standard error.
func TestInvalidConfigurationEndsStart(t *testing.T) {
	cmd, stderr := gatewayCommand(t, `{"settings": {}}`)
	var exit *exec.ExitError
	if err := cmd.Run(); !errors.As(err, &exit) || exit.ExitCode() != 1 {
		t.Errorf("ended with %v", err)
	}
	if text := stderr.String(); strings.Count(text, "\n") != 1 || !strings.HasPrefix(text, "amberlb: configuration ") {
		t.Errorf("standard error was %q", text)
	}
}

// SIGHUP must not terminate the process or change its exit status, neither before the gateway is ready nor during a
// shutdown.
func TestReloadSignalsDuringStartAndShutdown(t *testing.T) {
	polled := make(chan struct{}, 16)
	discovery := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		polled <- struct{}{}
		<-r.Context().Done() // discovery never responds
	}))
	defer discovery.Close()
	cmd, stderr := gatewayCommand(t, `{"name": "n0", "listen": "127.0.0.1:0", "discovery": "`+
		strings.TrimPrefix(discovery.URL, "http://")+`", "seed": "1", "limits": {"cores": 1, "memory_mb": 64, "sockets": 256},
		"settings": {"fleetSize": 1, "tickS": 0.002, "allowed": {"connectTimeoutS": 1, "keepaliveS": 15},
		"classes": [{"name": "c", "objectiveS": 1, "deadlineS": 2}], "packages": [{"name": "p"}]}}`)
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	defer cmd.Process.Kill()
	select {
	case <-polled: // the gateway is running
	case <-time.After(20 * time.Second):
		t.Fatal("discovery was not polled")
	}
	for _, s := range []os.Signal{syscall.SIGHUP, syscall.SIGHUP, syscall.SIGTERM, syscall.SIGHUP, syscall.SIGTERM} {
		if err := cmd.Process.Signal(s); err != nil {
			t.Fatal(err)
		}
	}
	if err := cmd.Wait(); err != nil {
		t.Errorf("ended with %v, standard error was %q", err, stderr)
	}
}
