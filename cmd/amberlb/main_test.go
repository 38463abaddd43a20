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

// Environment variables that make the test binary run as the command.
const (
	asCommandKey       = "AMBERLB_TEST_AS_COMMAND"
	descriptorLimitKey = "AMBERLB_TEST_DESCRIPTOR_LIMIT" // RLIMIT_NOFILE of the process; unset: as inherited
)

// TestMain lets the test binary run as the command.
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

// gatewayCommand returns the gateway's command with a configuration, not yet started, and its standard error.
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

// A configuration that can't be used ends the process with one line on standard error and exit status 1.
func TestInvalidConfigurationEndsStart(t *testing.T) {
	cmd, stderr := gatewayCommand(t, `{"settings": {}}`)
	var exit *exec.ExitError
	if err := cmd.Run(); !errors.As(err, &exit) || exit.ExitCode() != 1 {
		t.Errorf("ended with %v", err)
	}
	if text := stderr.String(); strings.Count(text, "\n") != 1 || !strings.HasPrefix(text, "amberlb: configuration ") {
		t.Errorf("said %q", text)
	}
}

// SIGHUP before the gateway is ready, and together with SIGTERM, must not end it in another way than
// SIGTERM does.
func TestReloadSignalsDuringStartAndShutdown(t *testing.T) {
	polled := make(chan struct{}, 16)
	discovery := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		polled <- struct{}{}
		<-r.Context().Done() // never answers
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
	case <-polled: // the gateway runs
	case <-time.After(20 * time.Second):
		t.Fatal("discovery was not polled")
	}
	for _, s := range []os.Signal{syscall.SIGHUP, syscall.SIGHUP, syscall.SIGTERM, syscall.SIGHUP, syscall.SIGTERM} {
		if err := cmd.Process.Signal(s); err != nil {
			t.Fatal(err)
		}
	}
	if err := cmd.Wait(); err != nil {
		t.Errorf("ended with %v, saying %q", err, stderr)
	}
}
