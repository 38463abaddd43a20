package main

import (
	"net/http"
	"os"
	"syscall"
	"testing"
	"time"

	"amberlb/internal/lab/soak"
)

// If nothing reads a gateway's log, the pipe of the log is closed or full. In neither case may the gateway terminate,
// and neither its requests nor its graceful shutdown may be blocked.
func TestUnreadLogBlocksNothing(t *testing.T) {
	t.Parallel()
	for name, closed := range map[string]bool{"closed": true, "full": false} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			reader, writer, err := os.Pipe()
			if err != nil {
				t.Fatal(err)
			}
			defer reader.Close()
			classes := []soak.Class{{Name: string(soak.NonIdempotent), Idempotency: soak.NonIdempotent, Deadline: time.Second}}
			_, discovery := startHangingBackends(t, soak.NewClock())
			options := gatewayOptions(t, classes, discovery)
			config, err := options.ConfigFile()
			if err != nil {
				t.Fatal(err)
			}
			cmd, _ := gatewayCommand(t, string(config))
			cmd.Env = append(cmd.Env, options.Env...)
			cmd.Stderr = writer
			if err := cmd.Start(); err != nil {
				t.Fatal(err)
			}
			writer.Close()
			exited := make(chan error, 1)
			go func() { exited <- cmd.Wait() }()
			defer cmd.Process.Kill()
			awaitReady(t, options.Listen)
			if closed {
				reader.Close()
			}
			for range 1000 { // each reload writes a log line; 1000 lines fill a pipe of 64 KiB
				cmd.Process.Signal(syscall.SIGHUP)
				time.Sleep(time.Millisecond)
			}
			awaitReady(t, options.Listen)
			cmd.Process.Signal(syscall.SIGTERM)
			select {
			case err := <-exited:
				if err != nil {
					t.Errorf("ended with %v", err)
				}
			case <-time.After(soak.KillAfter(classes)):
				t.Error("the process was still running at the earliest time that SIGKILL may be sent")
			}
		})
	}
}

// awaitReady waits until the health check of a gateway reports that the gateway is ready.
func awaitReady(t *testing.T, listen string) {
	t.Helper()
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for deadline := time.Now().Add(testTimeout / 2); time.Now().Before(deadline); time.Sleep(10 * time.Millisecond) {
		if resp, err := client.Get("http://" + listen + "/health/ready"); err == nil {
			resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return
			}
		}
	}
	t.Fatal("the gateway did not become ready, or exited")
}
